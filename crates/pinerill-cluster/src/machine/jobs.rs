//! All jobs: acceptance, results, ends, and the order in which items wait.
//!
//! Invariants: an item is in `queue` exactly while it is [`ItemPhase::Waiting`];
//! `waiting_tokens` sums the tokens of just these by tenant and route, and has no zeros;
//! `listed` only grows, and the text of a position is written once, by the report that lists
//! it; `room` counts the calls of waiting items and the texts of listed ones, and no others.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use pinerill_calls::job::{CallJobId, ItemEnd, ItemReport, ListedState, NewCallJob};
use pinerill_calls::message::SubmitOutcome;
use pinerill_control::host::TableWriter;
use serde::{Deserialize, Serialize};

use super::job::{ItemPhase, ItemRecord, JobRecord, ListedRecord};
use super::keys::{call_key, text_key};
use super::room::StoreUsage;

/// Jobs that one upkeep forgets at most.
const FORGOTTEN_AT_ONCE: usize = 16;

/// Place of a waiting item: earliest due first, then in order of acceptance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QueuePosition {
    /// When its result is due, on the group's clock.
    pub due_ms: u64,
    /// Number of its job.
    pub job: u64,
    /// Its position in the job.
    pub index: u32,
}

/// What is to become of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is to be kept.
    New,
    /// It is kept since an earlier submission.
    Known,
    /// It does not fit.
    Rejected(SubmitOutcome),
}

/// All jobs of the group.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Jobs {
    next_number: u64,
    numbers: HashMap<CallJobId, u64>,
    records: BTreeMap<u64, JobRecord>,
    queue: BTreeSet<QueuePosition>,
    waiting_tokens: BTreeMap<String, u64>,
    room: StoreUsage,
}

impl Jobs {
    /// A job's number and record.
    pub fn find(&self, id: &CallJobId) -> Option<(u64, &JobRecord)> {
        let number = *self.numbers.get(id)?;
        let record = self.records.get(&number)?;
        Some((number, record))
    }

    /// The record with this number.
    pub fn record(&self, number: u64) -> Option<&JobRecord> {
        self.records.get(&number)
    }

    /// Waiting items, in their order.
    pub fn queue(&self) -> &BTreeSet<QueuePosition> {
        &self.queue
    }

    /// Whether there is any job.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Tokens that wait on a job's route and are of its tenant.
    pub fn waiting_tokens(&self, job: &CallJobId, route: &str) -> u64 {
        let scope = job.waiting_scope(route);
        self.waiting_tokens.get(&scope).copied().unwrap_or_default()
    }

    /// What jobs take in the store.
    pub fn store_usage(&self) -> &StoreUsage {
        &self.room
    }

    /// Where a waiting item stands in the queue; none once it is listed or
    /// dropped.
    pub fn position(&self, id: &CallJobId, index: u32) -> Option<QueuePosition> {
        let (number, record) = self.find(id)?;
        let item = record.items.get(index as usize)?;
        (item.phase == ItemPhase::Waiting).then_some(QueuePosition {
            due_ms: record.due_ms,
            job: number,
            index,
        })
    }

    /// Whether a job would be taken now.
    pub fn admit(&self, job: &NewCallJob, room_bytes: Option<u64>) -> Admission {
        if self.numbers.contains_key(&job.id) {
            return Admission::Known;
        }
        let tokens: u64 = job.items.iter().map(|item| item.tokens).sum();
        let waiting = self.waiting_tokens(&job.id, &job.route);
        if job.max_waiting_tokens > 0 && waiting + tokens > job.max_waiting_tokens {
            return Admission::Rejected(SubmitOutcome::OverLimit);
        }
        if room_bytes.is_some_and(|limit| !self.has_room(job, limit)) {
            return Admission::Rejected(SubmitOutcome::NoRoom);
        }
        Admission::New
    }

    /// Takes a job; one that is known already stays as it is.
    pub(super) fn submit(
        &mut self,
        job: NewCallJob,
        room_bytes: Option<u64>,
        now_ms: u64,
        table: &mut dyn TableWriter,
    ) -> SubmitOutcome {
        match self.admit(&job, room_bytes) {
            Admission::New => {}
            Admission::Known => return SubmitOutcome::Accepted,
            Admission::Rejected(outcome) => return outcome,
        }
        let tokens: u64 = job.items.iter().map(|item| item.tokens).sum();
        let number = self.next_number;
        self.next_number += 1;
        let scope = job.id.waiting_scope(&job.route);
        *self.waiting_tokens.entry(scope).or_default() += tokens;
        let due_ms = now_ms + job.result_target_ms;
        let mut items = Vec::with_capacity(job.items.len());
        for (index, item) in job.items.into_iter().enumerate() {
            let index = index as u32;
            table.put(&call_key(number, index), &item.call);
            self.room.call_stored(item.call.len());
            self.queue.insert(QueuePosition {
                due_ms,
                job: number,
                index,
            });
            items.push(ItemRecord {
                id: item.id,
                tokens: item.tokens,
                call_bytes: item.call.len() as u32,
                failed_runs: Vec::new(),
                phase: ItemPhase::Waiting,
            });
        }
        self.room.items_recorded(items.len());
        self.numbers.insert(job.id.clone(), number);
        let record = JobRecord {
            id: job.id,
            host: job.host,
            route: job.route,
            accepted_ms: now_ms,
            due_ms,
            give_up_at_ms: now_ms + job.give_up_ms,
            attempts: job.attempts.max(1),
            items,
            listed: Vec::new(),
            ended: false,
        };
        self.records.insert(number, record);
        SubmitOutcome::Accepted
    }

    fn has_room(&self, job: &NewCallJob, limit: u64) -> bool {
        let call_lengths = job.items.iter().map(|item| item.call.len());
        self.room.fits(self.queue.len(), call_lengths, limit)
    }

    /// Ends a job; what is listed stays. False if there is no such job.
    pub(super) fn end(&mut self, id: &CallJobId, table: &mut dyn TableWriter) -> bool {
        let Some(number) = self.numbers.get(id).copied() else {
            return false;
        };
        let waiting = self.waiting_items(number);
        for index in waiting {
            self.leave_queue(number, index, ItemPhase::Dropped, table);
        }
        if let Some(record) = self.records.get_mut(&number) {
            record.ended = true;
        }
        true
    }

    /// Takes in what became of an item. Only a waiting item can get a result,
    /// so the first report that ends it counts and later ones change nothing.
    pub(super) fn report(&mut self, report: ItemReport, table: &mut dyn TableWriter) {
        let Some(position) = self.position(&report.item.job, report.item.index) else {
            return;
        };
        match report.end {
            ItemEnd::Completed(text) => {
                self.list(position, ListedState::Completed, &text, table);
            }
            ItemEnd::Impossible => self.list(position, ListedState::Dead, &[], table),
            ItemEnd::Failed { run } => {
                if self.count_failure(position, run) {
                    self.list(position, ListedState::Dead, &[], table);
                }
            }
        }
    }

    /// Gives up what is too old and forgets finished jobs after their time.
    pub(super) fn upkeep(&mut self, now_ms: u64, retention_ms: u64, table: &mut dyn TableWriter) {
        let too_old: Vec<QueuePosition> = self
            .queue
            .iter()
            .filter(|place| self.gives_up(place.job, now_ms))
            .copied()
            .collect();
        for place in too_old {
            self.list(place, ListedState::Dead, &[], table);
        }
        let forgotten: Vec<u64> = self
            .records
            .iter()
            .filter(|(_, record)| {
                record.is_finished() && now_ms > record.accepted_ms + retention_ms
            })
            .map(|(number, _)| *number)
            .take(FORGOTTEN_AT_ONCE)
            .collect();
        for number in forgotten {
            self.forget(number, table);
        }
    }

    fn gives_up(&self, number: u64, now_ms: u64) -> bool {
        let record = self.records.get(&number);
        record.is_some_and(|record| now_ms > record.give_up_at_ms)
    }

    /// True once the item has failed too often. A run counts once, however often
    /// it is reported: a node reports again when no answer reached it.
    fn count_failure(&mut self, position: QueuePosition, run: u64) -> bool {
        let Some(record) = self.records.get_mut(&position.job) else {
            return false;
        };
        let attempts = record.attempts;
        let Some(item) = record.items.get_mut(position.index as usize) else {
            return false;
        };
        if !item.failed_runs.contains(&run) {
            item.failed_runs.push(run);
        }
        item.failed_runs.len() >= attempts as usize
    }

    fn list(
        &mut self,
        place: QueuePosition,
        state: ListedState,
        text: &[u8],
        table: &mut dyn TableWriter,
    ) {
        self.leave_queue(place.job, place.index, ItemPhase::Listed, table);
        let Some(record) = self.records.get_mut(&place.job) else {
            return;
        };
        let position = record.listed.len() as u32;
        record.listed.push(ListedRecord {
            index: place.index,
            state,
            text_bytes: text.len() as u32,
        });
        if state == ListedState::Completed {
            table.put(&text_key(place.job, position), text);
            self.room.text_stored(text.len());
        }
    }

    fn leave_queue(
        &mut self,
        number: u64,
        index: u32,
        phase: ItemPhase,
        table: &mut dyn TableWriter,
    ) {
        let Some(record) = self.records.get_mut(&number) else {
            return;
        };
        let Some(item) = record.items.get_mut(index as usize) else {
            return;
        };
        item.phase = phase;
        self.queue.remove(&QueuePosition {
            due_ms: record.due_ms,
            job: number,
            index,
        });
        let scope = record.id.waiting_scope(&record.route);
        if let Some(waiting) = self.waiting_tokens.get_mut(&scope) {
            *waiting = waiting.saturating_sub(item.tokens);
            if *waiting == 0 {
                self.waiting_tokens.remove(&scope);
            }
        }
        table.delete(&call_key(number, index));
        self.room.removed(item.call_bytes as usize);
    }

    fn waiting_items(&self, number: u64) -> Vec<u32> {
        let Some(record) = self.records.get(&number) else {
            return Vec::new();
        };
        let items = record.items.iter().enumerate();
        items
            .filter(|(_, item)| item.phase == ItemPhase::Waiting)
            .map(|(index, _)| index as u32)
            .collect()
    }

    fn forget(&mut self, number: u64, table: &mut dyn TableWriter) {
        let Some(record) = self.records.remove(&number) else {
            return;
        };
        self.numbers.remove(&record.id);
        self.room.items_forgotten(record.items.len());
        for (position, listed) in record.listed.iter().enumerate() {
            if listed.state == ListedState::Completed {
                table.delete(&text_key(number, position as u32));
                self.room.removed(listed.text_bytes as usize);
            }
        }
    }
}
