//! What becomes due by time: leases, jobs that never arrived whole, results.

use serde::{Deserialize, Serialize};

use super::command::JobReply;
use super::lease::ItemKey;
use super::machine::JobMachine;
use super::table;
use crate::machine::TableWriter;

/// Most leases that lapse in one step.
const LAPSE_LIMIT: usize = 4096;
/// Most timers of jobs that fire in one step.
const TIMER_LIMIT: usize = 256;
/// Most items that one step deletes from the table.
pub const DELETE_LIMIT: u32 = 4096;
/// While leases are in force, the group's time is told at least so often.
pub const LEASE_TICK_MS: u64 = 1_000;
const LEASE_LAPSED: &str = "the lease ran out";

/// A job whose items are being deleted from the table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Deletion {
    job: u64,
    next_index: u32,
    items: u32,
}

impl JobMachine {
    /// Whether [`super::JobCommand::Maintain`] with this stamp has something
    /// to do.
    pub fn is_maintenance_due(&self, stamp_ms: u64) -> bool {
        let clock = self.clock_at(stamp_ms);
        let leases = &self.leases;
        let lapses = leases
            .next_due_ms()
            .is_some_and(|end| end <= clock.lease_ms());
        let ticks = leases.len() > 0 && stamp_ms >= self.clock.now_ms() + LEASE_TICK_MS;
        let fires = self.next_timer_ms().is_some_and(|at| at <= clock.now_ms());
        lapses || ticks || fires || !self.deletions.is_empty()
    }

    /// When something is to be done about a job, Unix milliseconds.
    pub fn next_timer_ms(&self) -> Option<u64> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// In how many milliseconds the next lease runs out.
    pub fn next_lease_end_in_ms(&self) -> Option<u64> {
        let end = self.leases.next_due_ms()?;
        Some(end.saturating_sub(self.clock.lease_ms()))
    }

    /// The group's time, Unix milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    pub(super) fn maintain(&mut self, table: &mut dyn TableWriter) -> JobReply {
        for key in self.leases.due(self.clock.lease_ms(), LAPSE_LIMIT) {
            self.lapse(key, None, LEASE_LAPSED, table);
        }
        for _ in 0..TIMER_LIMIT {
            if !self.fire_timer() {
                break;
            }
        }
        self.delete_some(table);
        self.leases.forget_idle(self.clock.now_ms());
        JobReply::Maintained {
            more: self.is_maintenance_due(self.clock.now_ms()),
        }
    }

    /// Fires the first timer that is due, if any.
    fn fire_timer(&mut self) -> bool {
        let now_ms = self.clock.now_ms();
        let Some((at_ms, sequence)) = self.timers.first().copied() else {
            return false;
        };
        if at_ms > now_ms {
            return false;
        }
        let Some(job) = self.jobs.get_mut(&sequence) else {
            self.timers.remove(&(at_ms, sequence));
            return true;
        };
        let expires_ms = job.expires_ms;
        if job.has_ended() && expires_ms > now_ms {
            job.cells = Vec::new();
            self.set_timer(sequence, expires_ms);
        } else {
            self.remove_job(sequence);
        }
        true
    }

    /// Forgets a job at once; its items go from the table in steps.
    fn remove_job(&mut self, sequence: u64) {
        self.set_timer(sequence, 0);
        let Some(job) = self.jobs.remove(&sequence) else {
            return;
        };
        self.tenants.close_items(&job.tenant, job.open_items());
        self.tenants
            .remove(&job.tenant, &job.idempotency_key, sequence);
        self.deletions.push_back(Deletion {
            job: sequence,
            next_index: 0,
            items: job.received,
        });
    }

    fn delete_some(&mut self, table: &mut dyn TableWriter) {
        let mut budget = DELETE_LIMIT;
        while budget > 0 {
            let Some(deletion) = self.deletions.front_mut() else {
                return;
            };
            let job = deletion.job;
            let end = deletion.items.min(deletion.next_index + budget);
            for index in deletion.next_index..end {
                table::delete_item(table, ItemKey { job, index });
            }
            budget -= end - deletion.next_index;
            deletion.next_index = end;
            if end < deletion.items {
                return;
            }
            table::delete_cancelled(table, job);
            self.deletions.pop_front();
        }
    }
}
