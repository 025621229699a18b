//! Leasing items to nodes, and renewing the leases.

use pinerill_types::job::ItemState;
use pinerill_types::JobId;
use pinerill_wire::message::{AttemptRef, LeaseItems, LeaseWant, RenewLeases};

use super::command::{JobReply, Rejection};
use super::defects::JobDefect;
use super::lease::{ItemKey, Question};
use super::machine::JobMachine;
use super::queue::{Place, Turn};
use crate::machine::TableWriter;

/// Longest lease, milliseconds.
pub const LEASE_LIMIT_MS: u64 = 600_000;
/// Most items of one answer.
pub const LEASE_ITEMS_LIMIT: u32 = 1024;
/// Most bytes of inputs in one answer; a single longer input goes alone.
pub const LEASE_BYTES_LIMIT: u64 = 8 * 1024 * 1024;
const NODE_RESTARTED: &str = "the node that held the lease was restarted";

/// What one answer may still take.
struct Budget {
    items: u32,
    bytes: u64,
}

impl JobMachine {
    pub(super) fn lease(
        &mut self,
        ask: &LeaseItems,
        table: &mut dyn TableWriter,
    ) -> Result<JobReply, Rejection> {
        check_duration(ask.lease_ms)?;
        let now_ms = self.clock.now_ms();
        let anew = self.has(JobDefect::RepeatedQuestionLeasesAnew);
        let sequence = if anew { now_ms } else { ask.sequence };
        let question = self
            .leases
            .ask(&ask.node, ask.incarnation, sequence, now_ms);
        let expires_ms = self.clock.lease_ms() + ask.lease_ms;
        let items = match question {
            Question::New { holder, lapsed } => {
                for key in lapsed {
                    self.lapse(key, None, NODE_RESTARTED, table);
                }
                let items = self.take_items(&ask.wants, holder, expires_ms);
                self.leases.note_answer(&ask.node, items.clone());
                items
            }
            Question::Repeated { answer } => self.renew_all(answer, expires_ms),
            Question::Overtaken => Vec::new(),
        };
        let items = items.into_iter();
        let attempts = items.map(|(key, attempt)| self.attempt_ref(key, attempt));
        Ok(JobReply::Leased(attempts.collect()))
    }

    pub(super) fn renew(&mut self, renewal: &RenewLeases) -> Result<JobReply, Rejection> {
        check_duration(renewal.lease_ms)?;
        let expires_ms = self.clock.lease_ms() + renewal.lease_ms;
        let mut lost = Vec::new();
        for attempt in &renewal.attempts {
            let key = item_key(attempt);
            let of_group = attempt.job.group == self.group;
            if of_group && self.is_leased(key, attempt.attempt) {
                self.leases.renew(key, expires_ms);
            } else {
                lost.push(*attempt);
            }
        }
        Ok(JobReply::Renewed { lost })
    }

    /// Whether an attempt is the newest one and its lease is in force.
    fn is_leased(&self, key: ItemKey, attempt: u32) -> bool {
        let job = self.jobs.get(&key.job);
        let cell = job.and_then(|job| job.cells.get(key.index as usize));
        cell.is_some_and(|cell| cell.state == ItemState::Leased && cell.attempt == attempt)
    }

    /// What is left of an earlier answer. Attempts that ended since are left
    /// out, so that nobody starts them now.
    fn renew_all(&mut self, answer: Vec<(ItemKey, u32)>, expires_ms: u64) -> Vec<(ItemKey, u32)> {
        let mut answer = answer;
        answer.retain(|(key, attempt)| self.is_leased(*key, *attempt));
        for (key, _) in &answer {
            self.leases.renew(*key, expires_ms);
        }
        answer
    }

    fn take_items(
        &mut self,
        wants: &[LeaseWant],
        holder: u64,
        expires_ms: u64,
    ) -> Vec<(ItemKey, u32)> {
        let mut budget = Budget {
            items: LEASE_ITEMS_LIMIT,
            bytes: LEASE_BYTES_LIMIT,
        };
        let mut taken = Vec::new();
        for want in wants {
            let mut wanted = want.limit;
            while let Some(turn) = self.queues.next_turn(&want.service) {
                let before = taken.len();
                self.take_turn(turn, wanted, &mut budget, &mut taken);
                let items = (taken.len() - before) as u32;
                if items == 0 {
                    break;
                }
                wanted -= items;
            }
        }
        for (key, _) in &taken {
            self.leases.set(*key, holder, expires_ms);
        }
        taken
    }

    /// Takes items of one job, as many as turn, want and budget allow.
    fn take_turn(
        &mut self,
        turn: Turn,
        wanted: u32,
        budget: &mut Budget,
        taken: &mut Vec<(ItemKey, u32)>,
    ) {
        let Some(job) = self.jobs.get_mut(&turn.sequence) else {
            return;
        };
        let size = u64::from(job.largest_input.max(1));
        let fitting = match budget.bytes / size {
            0 if taken.is_empty() => 1,
            fitting => fitting,
        };
        let limit = u64::from(wanted.min(budget.items));
        let limit = limit.min(turn.items).min(fitting);
        let mut count = 0;
        while u64::from(count) < limit {
            let Some(index) = job.pending.take(job.received) else {
                break;
            };
            let attempt = job.cells[index as usize].start_attempt();
            job.recount(ItemState::Pending, ItemState::Leased);
            let key = ItemKey {
                job: turn.sequence,
                index,
            };
            taken.push((key, attempt));
            count += 1;
        }
        budget.items -= count;
        budget.bytes = budget.bytes.saturating_sub(size * u64::from(count));
        let place = Place {
            service: &job.service,
            tenant: &job.tenant,
            job: job.slot(turn.sequence),
        };
        self.queues.take_turn(place, count, job.counts.pending);
    }

    fn attempt_ref(&self, key: ItemKey, attempt: u32) -> AttemptRef {
        AttemptRef {
            job: JobId {
                group: self.group,
                sequence: key.job,
            },
            index: key.index,
            attempt,
        }
    }
}

/// The item of an attempt.
pub(super) fn item_key(attempt: &AttemptRef) -> ItemKey {
    ItemKey {
        job: attempt.job.sequence,
        index: attempt.index,
    }
}

fn check_duration(lease_ms: u64) -> Result<(), Rejection> {
    if (1..=LEASE_LIMIT_MS).contains(&lease_ms) {
        return Ok(());
    }
    let message = format!("a lease lasts 1 to {LEASE_LIMIT_MS} ms, not {lease_ms}");
    Err(Rejection::Invalid(message))
}
