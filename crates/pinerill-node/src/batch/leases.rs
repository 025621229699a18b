//! Leases of one node: questions for items, renewals, and when each lease
//! ends. Pure.
//!
//! A lease's end is counted from before its question or renewal was first
//! sent, so it never lasts longer here than at its group. A question keeps its
//! number until it is answered: the group gives the same items again, so none
//! is leased to a node that does not know it.

use std::collections::BTreeMap;

use pinerill_wire::message::{AttemptRef, LeaseItems, LeaseWant, RenewLeases};

use super::message::NodeIdentity;

/// How long a lease lasts without renewal, milliseconds. Longer than an
/// election of a group takes, so that none is lost to one.
pub const LEASE_MS: u64 = 30_000;
/// Age at which leases are renewed, milliseconds. The answer also tells which
/// items were cancelled, so this bounds how long they go on.
const RENEWAL_AGE_MS: u64 = 3_000;
/// A lease that ends within this time starts nothing, milliseconds.
const START_MARGIN_MS: u64 = 3_000;
/// Pause after a call that failed, milliseconds.
const FAILED_PAUSE_MS: u64 = 200;
/// Most attempts of one renewal.
const RENEWAL_LIMIT: usize = 1_024;

#[derive(Debug, Clone)]
struct Question {
    message: LeaseItems,
    first_sent_ms: u64,
    in_flight: bool,
    retry_at_ms: u64,
}

#[derive(Debug, Clone)]
struct Renewal {
    attempts: Vec<AttemptRef>,
    sent_ms: u64,
}

#[derive(Debug, Default)]
struct GroupLeases {
    sequence: u64,
    question: Option<Question>,
    renewal: Option<Renewal>,
    renew_at_ms: u64,
    /// When each lease ends.
    ends: BTreeMap<AttemptRef, u64>,
}

/// All leases of the node.
#[derive(Debug)]
pub struct LeaseBook {
    node: NodeIdentity,
    groups: BTreeMap<u32, GroupLeases>,
}

impl LeaseBook {
    /// No leases.
    pub fn new(node: NodeIdentity) -> Self {
        Self {
            node,
            groups: BTreeMap::new(),
        }
    }

    /// Whether a question of this group is open.
    pub fn has_question(&self, group: u32) -> bool {
        let leases = self.groups.get(&group);
        leases.is_some_and(|leases| leases.question.is_some())
    }

    /// Whether any question is open.
    pub fn has_questions(&self) -> bool {
        self.groups.values().any(|one| one.question.is_some())
    }

    /// Items that open questions ask for, by service.
    pub fn asked(&self) -> impl Iterator<Item = &LeaseWant> {
        let questions = self.groups.values().filter_map(|one| one.question.as_ref());
        questions.flat_map(|question| &question.message.wants)
    }

    /// A new question to a group that has none open.
    pub fn ask(&mut self, now_ms: u64, group: u32, wants: Vec<LeaseWant>) {
        let leases = self.groups.entry(group).or_default();
        leases.sequence += 1;
        leases.question = Some(Question {
            message: LeaseItems {
                group,
                node: self.node.name.clone(),
                incarnation: self.node.incarnation,
                sequence: leases.sequence,
                wants,
                lease_ms: LEASE_MS,
            },
            first_sent_ms: now_ms,
            in_flight: false,
            retry_at_ms: 0,
        });
    }

    /// Questions that are to be sent now, first ones and repeated ones.
    pub fn due_questions(&mut self, now_ms: u64) -> Vec<LeaseItems> {
        let questions = self
            .groups
            .values_mut()
            .filter_map(|one| one.question.as_mut());
        let due = questions.filter(|one| !one.in_flight && one.retry_at_ms <= now_ms);
        due.map(|question| {
            question.in_flight = true;
            question.message.clone()
        })
        .collect()
    }

    /// A question was answered. Returns what was asked.
    pub fn answered(&mut self, group: u32, items: &[AttemptRef]) -> Vec<LeaseWant> {
        let leases = self.groups.entry(group).or_default();
        let Some(question) = leases.question.take() else {
            return Vec::new();
        };
        let end = question.first_sent_ms + LEASE_MS;
        leases.ends.extend(items.iter().map(|item| (*item, end)));
        question.message.wants
    }

    /// A question was not answered: it is sent again under its number, since
    /// its items may have been leased.
    pub fn question_failed(&mut self, now_ms: u64, group: u32) {
        let leases = self.groups.entry(group).or_default();
        if let Some(question) = &mut leases.question {
            question.in_flight = false;
            question.retry_at_ms = now_ms + FAILED_PAUSE_MS;
        }
    }

    /// The end of a lease that lasts long enough to start something under it.
    pub fn end_for_start(&self, now_ms: u64, attempt: AttemptRef) -> Option<u64> {
        let leases = self.groups.get(&attempt.job.group)?;
        let end = leases.ends.get(&attempt).copied();
        end.filter(|end| now_ms + START_MARGIN_MS < *end)
    }

    /// A lease is of no use any more.
    pub fn drop(&mut self, attempt: AttemptRef) {
        if let Some(leases) = self.groups.get_mut(&attempt.job.group) {
            leases.ends.remove(&attempt);
        }
    }

    /// Leases that have run out; they are forgotten.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<AttemptRef> {
        let mut expired = Vec::new();
        for leases in self.groups.values_mut() {
            leases.ends.retain(|attempt, end| {
                let holds = now_ms < *end;
                if !holds {
                    expired.push(*attempt);
                }
                holds
            });
        }
        expired
    }

    /// Renewals that are to be sent now, one a group.
    pub fn due_renewals(&mut self, now_ms: u64) -> Vec<RenewLeases> {
        let mut due = Vec::new();
        for (group, leases) in &mut self.groups {
            if leases.renewal.is_some() || now_ms < leases.renew_at_ms {
                continue;
            }
            let attempts = oldest_due(&leases.ends, now_ms);
            if attempts.is_empty() {
                continue;
            }
            leases.renewal = Some(Renewal {
                attempts: attempts.clone(),
                sent_ms: now_ms,
            });
            due.push(RenewLeases {
                group: *group,
                node: self.node.name.clone(),
                lease_ms: LEASE_MS,
                attempts,
            });
        }
        due
    }

    /// A renewal was answered; `lost` are no more and are forgotten.
    pub fn renewed(&mut self, group: u32, lost: &[AttemptRef]) {
        let leases = self.groups.entry(group).or_default();
        let Some(renewal) = leases.renewal.take() else {
            return;
        };
        for attempt in renewal.attempts {
            if let Some(end) = leases.ends.get_mut(&attempt) {
                *end = (*end).max(renewal.sent_ms + LEASE_MS);
            }
        }
        for attempt in lost {
            leases.ends.remove(attempt);
        }
    }

    /// A renewal failed: its leases keep their ends.
    pub fn renewal_failed(&mut self, now_ms: u64, group: u32) {
        let leases = self.groups.entry(group).or_default();
        leases.renewal = None;
        leases.renew_at_ms = now_ms + FAILED_PAUSE_MS;
    }
}

/// Leases old enough for a renewal, with all others of the group that fit, so
/// that one message renews them together.
fn oldest_due(ends: &BTreeMap<AttemptRef, u64>, now_ms: u64) -> Vec<AttemptRef> {
    let aged = now_ms + LEASE_MS - RENEWAL_AGE_MS;
    if !ends.values().any(|end| *end <= aged) {
        return Vec::new();
    }
    let mut attempts: Vec<(u64, AttemptRef)> =
        ends.iter().map(|(attempt, end)| (*end, *attempt)).collect();
    attempts.sort_unstable();
    attempts.truncate(RENEWAL_LIMIT);
    attempts.into_iter().map(|(_, attempt)| attempt).collect()
}
