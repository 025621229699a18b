//! Ends of items and jobs.

use pinerill_types::job::{AttemptEnd, ItemState, JobState};
use pinerill_wire::message::{AttemptReport, AttemptVerdict, EndAttempts};

use super::command::JobReply;
use super::defects::JobDefect;
use super::item::end_text;
use super::lease::ItemKey;
use super::leasing::item_key;
use super::machine::JobMachine;
use super::queue::Place;
use super::record::Job;
use super::table::{self, ResultRecord};
use crate::machine::TableWriter;

/// How long items of an ended job stay in memory, so that a report that is
/// sent again gets its first verdict, milliseconds.
pub const ENDED_CELLS_MS: u64 = 600_000;
/// Attempts without a known end after which an item fails, at most.
const LAPSES_LIMIT: u32 = u8::MAX as u32;
/// Why an item not to be repeated has no known end after a cancellation.
const CANCELLED_WHILE_LEASED: &str = "cancelled while a node may have been running it";

impl JobMachine {
    pub(super) fn end(&mut self, ends: &EndAttempts, table: &mut dyn TableWriter) -> JobReply {
        let reports = ends.reports.iter();
        let verdicts = reports.map(|report| self.end_attempt(report, table));
        JobReply::Ended(verdicts.collect())
    }

    fn end_attempt(
        &mut self,
        report: &AttemptReport,
        table: &mut dyn TableWriter,
    ) -> AttemptVerdict {
        let key = item_key(&report.attempt);
        let of_group = report.attempt.job.group == self.group;
        let Some(job) = self.jobs.get(&key.job).filter(|_| of_group) else {
            return AttemptVerdict::Unknown;
        };
        let Some(cell) = job.cells.get(key.index as usize).copied() else {
            let known = key.index < job.received;
            return if known {
                AttemptVerdict::Late
            } else {
                AttemptVerdict::Unknown
            };
        };
        // The attempt number is the fence: only the newest one may end it.
        let is_old = cell.attempt != report.attempt.attempt || cell.attempt == 0;
        if is_old && !self.has(JobDefect::OldAttemptCounts) {
            return AttemptVerdict::Late;
        }
        if cell.came_from(&report.end) {
            return AttemptVerdict::Counted;
        }
        if !cell.awaits_report() {
            if self.has(JobDefect::LaterEndCounts) {
                self.replace_result(key, &report.end, table);
                return AttemptVerdict::Counted;
            }
            return AttemptVerdict::Late;
        }
        self.take_report(key, cell.at_most_once, &report.end, table);
        AttemptVerdict::Counted
    }

    /// Only a deliberate defect comes here.
    fn replace_result(&mut self, key: ItemKey, end: &AttemptEnd, table: &mut dyn TableWriter) {
        let record = ResultRecord {
            state: ItemState::Completed,
            body: end_text(end).to_owned(),
        };
        table::write_result(table, key, &record);
    }

    fn take_report(
        &mut self,
        key: ItemKey,
        at_most_once: bool,
        end: &AttemptEnd,
        table: &mut dyn TableWriter,
    ) {
        let state = match end {
            AttemptEnd::Completed(_) => ItemState::Completed,
            AttemptEnd::Failed(_) => ItemState::Failed,
            AttemptEnd::Released => return self.release(key),
            AttemptEnd::Indeterminate(_) if at_most_once => ItemState::Indeterminate,
            // It may be run again, but an attempt is used up.
            AttemptEnd::Indeterminate(_) => return self.lapse(key, Some(end), "", table),
        };
        self.end_item(key, state, Some(end), end_text(end), table);
    }

    /// Ends the newest attempt of an item without anybody knowing how: the
    /// node reports so, or its lease is over.
    pub(super) fn lapse(
        &mut self,
        key: ItemKey,
        report: Option<&AttemptEnd>,
        reason: &str,
        table: &mut dyn TableWriter,
    ) {
        let forgets = self.has(JobDefect::LapsedAtMostOnceLeases);
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(cell) = job.cells.get_mut(key.index as usize) else {
            return;
        };
        if cell.state != ItemState::Leased {
            // Its lease lapsed before: that used up the attempt.
            cell.lapse(report.is_some());
            return;
        }
        let reason = report.map_or(reason, end_text);
        if cell.at_most_once && !forgets {
            return self.end_item(key, ItemState::Indeterminate, report, reason, table);
        }
        cell.lapses = cell.lapses.saturating_add(1);
        if u32::from(cell.lapses) >= job.attempts_limit.min(LAPSES_LIMIT) {
            return self.end_item(key, ItemState::Failed, report, reason, table);
        }
        cell.lapse(report.is_some());
        self.back_to_pending(key);
    }

    fn release(&mut self, key: ItemKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(cell) = job.cells.get_mut(key.index as usize) else {
            return;
        };
        let was_leased = cell.state == ItemState::Leased;
        cell.release();
        if was_leased {
            self.back_to_pending(key);
        }
    }

    /// Queues an item whose cell has just become pending.
    fn back_to_pending(&mut self, key: ItemKey) {
        self.leases.remove(key);
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        job.recount(ItemState::Leased, ItemState::Pending);
        job.pending.put_back(key.index);
        self.queues.add(place(job, key.job), 1);
    }

    /// Ends an item that is leased or came back, and its job if it was the
    /// last one.
    fn end_item(
        &mut self,
        key: ItemKey,
        state: ItemState,
        report: Option<&AttemptEnd>,
        body: &str,
        table: &mut dyn TableWriter,
    ) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let cell = &mut job.cells[key.index as usize];
        let before = cell.state;
        cell.end(state, report);
        job.recount(before, state);
        if before == ItemState::Pending {
            job.pending.remove(key.index);
            self.queues
                .remove(place(job, key.job), 1, job.counts.pending);
        }
        self.leases.remove(key);
        self.tenants.close_items(&job.tenant, 1);
        let record = ResultRecord {
            state,
            body: body.to_owned(),
        };
        table::write_result(table, key, &record);
        if job.open_items() == 0 {
            self.end_job(key.job, JobState::Completed);
        }
    }

    /// Ends every item of a job that has not ended.
    pub(super) fn cancel_open_items(&mut self, sequence: u64, table: &mut dyn TableWriter) {
        if self.has(JobDefect::CancelledJobLeases) {
            return self.end_job(sequence, JobState::Cancelled);
        }
        let Some(job) = self.jobs.get_mut(&sequence) else {
            return;
        };
        if job.state == JobState::InProgress {
            let pending = job.counts.pending;
            self.queues.remove(place(job, sequence), pending, 0);
        }
        self.tenants.close_items(&job.tenant, job.open_items());
        job.pending.clear(job.received);
        for (index, cell) in (0..).zip(job.cells.iter_mut()) {
            if cell.state.is_final() {
                continue;
            }
            let key = ItemKey {
                job: sequence,
                index,
            };
            let may_have_run = cell.state == ItemState::Leased && cell.at_most_once;
            self.leases.remove(key);
            if !may_have_run {
                cell.end(ItemState::Cancelled, None);
                continue;
            }
            cell.end(ItemState::Indeterminate, None);
            job.counts.indeterminate += 1;
            let record = ResultRecord {
                state: ItemState::Indeterminate,
                body: CANCELLED_WHILE_LEASED.to_owned(),
            };
            table::write_result(table, key, &record);
        }
        job.counts.pending = 0;
        job.counts.leased = 0;
        // What is still open now is cancelled, items never received too.
        job.counts.cancelled += job.open_items();
        table::write_cancelled(table, sequence);
        self.end_job(sequence, JobState::Cancelled);
    }

    fn end_job(&mut self, sequence: u64, state: JobState) {
        let now_ms = self.clock.now_ms();
        let Some(job) = self.jobs.get_mut(&sequence) else {
            return;
        };
        job.state = state;
        job.expires_ms = now_ms + job.retention_ms;
        let timer_ms = job.expires_ms.min(now_ms + ENDED_CELLS_MS);
        self.set_timer(sequence, timer_ms);
    }
}

/// A job's place in the queues.
pub(super) fn place(job: &Job, sequence: u64) -> Place<'_> {
    Place {
        service: &job.service,
        tenant: &job.tenant,
        job: job.slot(sequence),
    }
}
