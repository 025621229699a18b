//! The job group's state machine.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pinerill_types::job::JobStatus;
use pinerill_types::{JobId, TenantName};
use pinerill_wire::message::CancelJob;
use serde::{Deserialize, Serialize};

use super::clock::GroupClock;
use super::clock::LEASE_STEP_LIMIT_MS;
use super::command::{JobCommand, JobEntry, JobReplies, JobReply, Rejection};
use super::defects::{JobDefect, JobDefects};
use super::lease::Leases;
use super::maintain::Deletion;
use super::queue::LeaseQueues;
use super::record::Job;
use super::tenant::Tenants;
use crate::codec::{decode, encode};
use crate::machine::{StateMachine, TableWriter, UnreadableState};

/// State of a job group.
///
/// Memory holds a few bytes per item of a job that has not ended long ago;
/// inputs and results are in the state table.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct JobMachine {
    pub(super) group: u32,
    pub(super) clock: GroupClock,
    /// Sequence of the newest job; never used twice.
    pub(super) last_job: u64,
    pub(super) jobs: BTreeMap<u64, Job>,
    pub(super) tenants: Tenants,
    pub(super) queues: LeaseQueues,
    pub(super) leases: Leases,
    /// When something is to be done about a job, by time and sequence.
    pub(super) timers: BTreeSet<(u64, u64)>,
    pub(super) deletions: VecDeque<Deletion>,
    /// Deliberate defects; none except in the simulation's mutants.
    #[serde(skip)]
    pub(super) defects: JobDefects,
}

impl JobMachine {
    /// An empty machine of a group.
    pub fn new(group: u32) -> Self {
        Self {
            group,
            ..Self::default()
        }
    }

    /// An empty machine with a deliberate defect.
    #[cfg(feature = "defects")]
    pub fn with_defect(group: u32, defect: JobDefect) -> Self {
        Self {
            defects: JobDefects::only(defect),
            ..Self::new(group)
        }
    }

    pub(super) fn has(&self, defect: JobDefect) -> bool {
        self.defects.contains(defect)
    }

    /// The clocks once an entry with this stamp is applied.
    pub(super) fn clock_at(&self, stamp_ms: u64) -> GroupClock {
        let unbounded = self.has(JobDefect::LeasesAgeWithoutLeader);
        let limit_ms = if unbounded {
            u64::MAX
        } else {
            LEASE_STEP_LIMIT_MS
        };
        let mut clock = self.clock;
        clock.advance(stamp_ms, limit_ms);
        clock
    }

    /// Applies the commands of one entry in order.
    pub fn apply_entry(&mut self, entry: JobEntry, table: &mut dyn TableWriter) -> JobReplies {
        self.clock = self.clock_at(entry.now_ms);
        let commands = entry.commands.into_iter();
        commands
            .map(|command| self.apply_command(command, table))
            .collect()
    }

    fn apply_command(&mut self, command: JobCommand, table: &mut dyn TableWriter) -> JobReply {
        let reply = match command {
            JobCommand::Submit(part) => self.submit(&part, table),
            JobCommand::Lease(ask) => self.lease(&ask, table),
            JobCommand::End(ends) => Ok(self.end(&ends, table)),
            JobCommand::Renew(renewal) => self.renew(&renewal),
            JobCommand::Cancel(cancel) => self.cancel(&cancel, table),
            JobCommand::Maintain => Ok(self.maintain(table)),
        };
        reply.unwrap_or_else(JobReply::Rejected)
    }

    fn cancel(
        &mut self,
        cancel: &CancelJob,
        table: &mut dyn TableWriter,
    ) -> Result<JobReply, Rejection> {
        let found = self.find(&cancel.tenant, cancel.job);
        let job = found.ok_or(Rejection::NotFound(cancel.job))?;
        if !job.has_ended() {
            self.cancel_open_items(cancel.job.sequence, table);
        }
        let status = self.status(&cancel.tenant, cancel.job);
        let status = status.ok_or(Rejection::NotFound(cancel.job))?;
        Ok(JobReply::Cancelled(status))
    }

    /// The job's status; none when it is not the tenant's.
    pub fn status(&self, tenant: &TenantName, id: JobId) -> Option<JobStatus> {
        Some(self.find(tenant, id)?.status(id))
    }

    /// A job of a tenant.
    pub(super) fn find(&self, tenant: &TenantName, id: JobId) -> Option<&Job> {
        let of_group = id.group == self.group;
        let job = self.jobs.get(&id.sequence).filter(|_| of_group)?;
        Some(job).filter(|job| job.tenant == *tenant)
    }

    /// The identifier of a job.
    pub(super) fn job_id(&self, sequence: u64) -> JobId {
        JobId {
            group: self.group,
            sequence,
        }
    }

    /// Sets when something is to be done about a job; 0 for never.
    pub(super) fn set_timer(&mut self, sequence: u64, at_ms: u64) {
        let Some(job) = self.jobs.get_mut(&sequence) else {
            return;
        };
        self.timers.remove(&(job.timer_ms, sequence));
        job.timer_ms = at_ms;
        if at_ms > 0 {
            self.timers.insert((at_ms, sequence));
        }
    }
}

impl StateMachine for JobMachine {
    fn apply(
        &mut self,
        _index: u64,
        command: &[u8],
        table: &mut dyn TableWriter,
    ) -> Result<Vec<u8>, UnreadableState> {
        let entry = decode::<JobEntry>(command);
        let entry = entry.map_err(|error| UnreadableState(error.to_string()))?;
        Ok(encode(&self.apply_entry(entry, table)))
    }

    fn snapshot(&self) -> Vec<u8> {
        encode(self)
    }

    fn restore(&mut self, bytes: &[u8]) -> anyhow::Result<()> {
        let defects = std::mem::take(&mut self.defects);
        *self = decode(bytes)?;
        self.defects = defects;
        Ok(())
    }
}
