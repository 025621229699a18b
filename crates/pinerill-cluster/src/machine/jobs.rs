//! All jobs of the group: acceptance, results, completion and the order of the queue.
//!
//! Invariants: an item is in `queue` exactly while it is [`ItemPhase::Waiting`];
//! `waiting_tokens` sums the tokens of exactly these items by tenant and route, and holds no
//! zeros; `listed` only grows, and the text at a position is written once, by the report that
//! appends it; `room` counts the calls of waiting items, the texts of listed ones and the
//! records of all items, and nothing else; `route_queues` holds the items of `queue`, each under the
//! route of its job.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use pinerill_calls::job::{CallJobId, ItemOutcome, ItemReport, ListedState, NewCallJob};
use pinerill_calls::message::SubmitOutcome;
use pinerill_control::host::TableWriter;
use serde::{Deserialize, Serialize};

use super::given_up::{GiveUpReason, GivenUpItem, GivenUpItems};
use super::job::{ItemPhase, ItemRecord, JobRecord, ListedRecord};
use super::keys::{call_key, text_key};
use super::route_queues::RouteQueues;
use super::store_usage::StoreUsage;

/// Limit on the number of jobs that one upkeep command deletes.
const MAX_JOBS_DELETED_PER_UPKEEP: usize = 16;

/// Position of a waiting item in the queue: earliest due time first, then in order of
/// acceptance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QueuePosition {
    /// Time at which the item's result is due on the group's clock, milliseconds.
    pub due_ms: u64,
    /// Number of the job, in order of acceptance.
    pub job: u64,
    /// Index of the item in the job.
    pub index: u32,
}

/// Decision on a submitted job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The job is new and within all limits.
    New,
    /// The job was already accepted by an earlier submission.
    Known,
    /// The job exceeds a limit; the outcome names which one.
    Rejected(SubmitOutcome),
}

/// Jobs with their queue and the counters that limit them.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(from = "StoredJobs")]
pub struct Jobs {
    next_number: u64,
    numbers: HashMap<CallJobId, u64>,
    records: BTreeMap<u64, JobRecord>,
    queue: BTreeSet<QueuePosition>,
    waiting_tokens: BTreeMap<String, u64>,
    room: StoreUsage,
    #[serde(skip)]
    given_up: GivenUpItems,
    #[serde(skip)]
    route_queues: RouteQueues,
}

/// The stored part of [`Jobs`].
#[derive(Deserialize)]
struct StoredJobs {
    next_number: u64,
    numbers: HashMap<CallJobId, u64>,
    records: BTreeMap<u64, JobRecord>,
    queue: BTreeSet<QueuePosition>,
    waiting_tokens: BTreeMap<String, u64>,
    room: StoreUsage,
}

impl From<StoredJobs> for Jobs {
    fn from(stored: StoredJobs) -> Self {
        let mut route_queues = RouteQueues::default();
        for position in &stored.queue {
            if let Some(record) = stored.records.get(&position.job) {
                route_queues.insert(&record.route, *position);
            }
        }
        Jobs {
            next_number: stored.next_number,
            numbers: stored.numbers,
            records: stored.records,
            queue: stored.queue,
            waiting_tokens: stored.waiting_tokens,
            room: stored.room,
            given_up: GivenUpItems::default(),
            route_queues,
        }
    }
}

impl Jobs {
    /// Returns a job's number and record; `None` if the job is unknown or was deleted.
    pub fn find(&self, id: &CallJobId) -> Option<(u64, &JobRecord)> {
        let number = *self.numbers.get(id)?;
        let record = self.records.get(&number)?;
        Some((number, record))
    }

    /// Returns the record of the job with this number; `None` if it was deleted.
    pub fn record(&self, number: u64) -> Option<&JobRecord> {
        self.records.get(&number)
    }

    /// Queue of waiting items, first to run first.
    pub fn queue(&self) -> &BTreeSet<QueuePosition> {
        &self.queue
    }

    /// Queues of waiting items by route.
    pub fn route_queues(&self) -> &RouteQueues {
        &self.route_queues
    }

    /// Returns whether no jobs are recorded, finished ones included.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of tokens of waiting items on a route that belong to the tenant of
    /// `job`.
    pub fn waiting_tokens(&self, job: &CallJobId, route: &str) -> u64 {
        let scope = job.waiting_tokens_key(route);
        self.waiting_tokens.get(&scope).copied().unwrap_or_default()
    }

    /// Space that jobs take in the store.
    pub fn store_usage(&self) -> &StoreUsage {
        &self.room
    }

    /// Items given up since this process started or restored a snapshot.
    pub fn given_up(&self) -> &GivenUpItems {
        &self.given_up
    }

    /// Returns the position of a waiting item in the queue; `None` if the item is unknown,
    /// listed or dropped.
    pub fn position(&self, id: &CallJobId, index: u32) -> Option<QueuePosition> {
        let (number, record) = self.find(id)?;
        let item = record.items.get(index as usize)?;
        (item.phase == ItemPhase::Waiting).then_some(QueuePosition {
            due_ms: record.due_ms,
            job: number,
            index,
        })
    }

    /// Decides whether a job would be accepted now. `room_bytes` limits the bytes that all jobs
    /// take in the store; `None` means no limit.
    pub fn admit(&self, job: &NewCallJob, room_bytes: Option<u64>) -> Admission {
        if self.numbers.contains_key(&job.id) {
            return Admission::Known;
        }
        let tokens: u64 = job.items.iter().map(|item| item.tokens).sum();
        let waiting = self.waiting_tokens(&job.id, &job.route);
        if job.max_waiting_tokens > 0 && waiting + tokens > job.max_waiting_tokens {
            return Admission::Rejected(SubmitOutcome::OverLimit);
        }
        if room_bytes.is_some_and(|limit| !self.has_space(job, limit)) {
            return Admission::Rejected(SubmitOutcome::NoRoom);
        }
        Admission::New
    }

    /// Accepts a job if its limits allow it. A job that is already known is left unchanged.
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
        let scope = job.id.waiting_tokens_key(&job.route);
        *self.waiting_tokens.entry(scope).or_default() += tokens;
        let due_ms = now_ms + job.result_target_ms;
        let mut items = Vec::with_capacity(job.items.len());
        for (index, item) in job.items.into_iter().enumerate() {
            let index = index as u32;
            table.put(&call_key(number, index), &item.call);
            self.room.add_call(item.call.len());
            let position = QueuePosition {
                due_ms,
                job: number,
                index,
            };
            self.queue.insert(position);
            self.route_queues.insert(&job.route, position);
            items.push(ItemRecord {
                id: item.id,
                tokens: item.tokens,
                call_bytes: item.call.len() as u32,
                failed_runs: Vec::new(),
                phase: ItemPhase::Waiting,
            });
        }
        self.room.add_records(items.len());
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

    fn has_space(&self, job: &NewCallJob, limit: u64) -> bool {
        let call_lengths = job.items.iter().map(|item| item.call.len());
        self.room.fits(self.queue.len(), call_lengths, limit)
    }

    /// Ends a job and keeps its results. Returns false if there is no such job.
    pub(super) fn end(&mut self, id: &CallJobId, table: &mut dyn TableWriter) -> bool {
        let Some(number) = self.numbers.get(id).copied() else {
            return false;
        };
        let waiting = self.waiting_indices(number);
        for index in waiting {
            self.remove_from_queue(number, index, ItemPhase::Dropped, table);
        }
        if let Some(record) = self.records.get_mut(&number) {
            record.ended = true;
        }
        true
    }

    /// Applies the outcome of an item. Only a waiting item can get a result, so the first
    /// report that completes it counts and later ones change nothing.
    pub(super) fn report(&mut self, report: ItemReport, table: &mut dyn TableWriter) {
        let Some(position) = self.position(&report.item.job, report.item.index) else {
            return;
        };
        match report.end {
            ItemOutcome::Completed(text) => {
                self.append_result(position, ListedState::Completed, &text, table);
            }
            ItemOutcome::Impossible => self.give_up(position, GiveUpReason::Impossible, table),
            ItemOutcome::Failed { run } => {
                if let Some(reason) = self.count_failure(position, run) {
                    self.give_up(position, reason, table);
                }
            }
        }
    }

    /// Gives up items that are too old and deletes finished jobs after their retention.
    pub(super) fn upkeep(&mut self, now_ms: u64, retention_ms: u64, table: &mut dyn TableWriter) {
        let too_old: Vec<(QueuePosition, GiveUpReason)> = self
            .queue
            .iter()
            .filter_map(|queued| Some((*queued, self.past_give_up(queued.job, now_ms)?)))
            .collect();
        for (queued, reason) in too_old {
            self.give_up(queued, reason, table);
        }
        let expired: Vec<u64> = self
            .records
            .iter()
            .filter(|(_, record)| {
                record.is_finished() && now_ms > record.accepted_ms + retention_ms
            })
            .map(|(number, _)| *number)
            .take(MAX_JOBS_DELETED_PER_UPKEEP)
            .collect();
        for number in expired {
            self.delete(number, table);
        }
    }

    fn past_give_up(&self, number: u64, now_ms: u64) -> Option<GiveUpReason> {
        let record = self.records.get(&number)?;
        (now_ms > record.give_up_at_ms).then_some(GiveUpReason::TooOld {
            accepted_ms: record.accepted_ms,
            give_up_at_ms: record.give_up_at_ms,
            clock_ms: now_ms,
        })
    }

    /// Records a failed run and returns the reason to give the item up once it has failed too
    /// often. A run counts once however often it is reported, because a node repeats a report
    /// whose answer it did not receive.
    fn count_failure(&mut self, position: QueuePosition, run: u64) -> Option<GiveUpReason> {
        let record = self.records.get_mut(&position.job)?;
        let attempts = record.attempts;
        let item = record.items.get_mut(position.index as usize)?;
        if !item.failed_runs.contains(&run) {
            item.failed_runs.push(run);
        }
        let failed_too_often = item.failed_runs.len() >= attempts as usize;
        failed_too_often.then(|| GiveUpReason::FailedRuns {
            runs: item.failed_runs.clone(),
            attempts,
        })
    }

    fn give_up(
        &mut self,
        position: QueuePosition,
        reason: GiveUpReason,
        table: &mut dyn TableWriter,
    ) {
        self.append_result(position, ListedState::Dead, &[], table);
        let Some(record) = self.records.get(&position.job) else {
            return;
        };
        self.given_up.record(GivenUpItem {
            job: record.id.clone(),
            id: record.items[position.index as usize].id.clone(),
            reason,
        });
    }

    fn append_result(
        &mut self,
        queued: QueuePosition,
        state: ListedState,
        text: &[u8],
        table: &mut dyn TableWriter,
    ) {
        self.remove_from_queue(queued.job, queued.index, ItemPhase::Listed, table);
        let Some(record) = self.records.get_mut(&queued.job) else {
            return;
        };
        let position = record.listed.len() as u32;
        record.listed.push(ListedRecord {
            index: queued.index,
            state,
            text_bytes: text.len() as u32,
        });
        if state == ListedState::Completed {
            table.put(&text_key(queued.job, position), text);
            self.room.add_text(text.len());
        }
    }

    fn remove_from_queue(
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
        let position = QueuePosition {
            due_ms: record.due_ms,
            job: number,
            index,
        };
        self.queue.remove(&position);
        self.route_queues.remove(&record.route, &position);
        let scope = record.id.waiting_tokens_key(&record.route);
        if let Some(waiting) = self.waiting_tokens.get_mut(&scope) {
            *waiting = waiting.saturating_sub(item.tokens);
            if *waiting == 0 {
                self.waiting_tokens.remove(&scope);
            }
        }
        table.delete(&call_key(number, index));
        self.room.remove_value(item.call_bytes as usize);
    }

    fn waiting_indices(&self, number: u64) -> Vec<u32> {
        let Some(record) = self.records.get(&number) else {
            return Vec::new();
        };
        let items = record.items.iter().enumerate();
        items
            .filter(|(_, item)| item.phase == ItemPhase::Waiting)
            .map(|(index, _)| index as u32)
            .collect()
    }

    fn delete(&mut self, number: u64, table: &mut dyn TableWriter) {
        let Some(record) = self.records.remove(&number) else {
            return;
        };
        self.numbers.remove(&record.id);
        self.room.remove_records(record.items.len());
        for (position, listed) in record.listed.iter().enumerate() {
            if listed.state == ListedState::Completed {
                table.delete(&text_key(number, position as u32));
                self.room.remove_value(listed.text_bytes as usize);
            }
        }
    }
}
