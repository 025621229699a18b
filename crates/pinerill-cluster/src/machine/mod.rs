//! Replicated state machine: route table, jobs and control machines.
//!
//! The state in memory is saved in snapshots. The calls of items and the texts of results are
//! kept in the state table, which `apply` writes and never reads. Time is the group's own
//! clock: each command carries the time since the leader's previous command, so no machine's
//! wall clock matters, and the clock stands still while there is no leader.
//!
//! Machines of several builds replicate the state side by side. The format in force is the
//! newest format of any applied command, so all replicas agree on it. Snapshots are written in
//! it, and the leader writes commands in a newer format only after all machines have reported
//! that they can read it (`server::upgrade`). A command that can't be read stops the replica,
//! because another replica may have read and applied it.

mod command;
mod formats;
mod given_up;
mod job;
mod jobs;
mod keys;
mod route_queues;
mod store_usage;

use std::collections::{BTreeMap, BTreeSet};

use pinerill_calls::evacuation::Evacuations;
use pinerill_calls::message::{encode, Format, MachineRecord, PutTable};
use pinerill_control::host::{StateMachine, TableWriter, UnreadableState};
use serde::{Deserialize, Serialize};

pub use command::{Applied, Command, StampedCommand};
pub use formats::{read_command, write_command};
pub use given_up::{GiveUpReason, GivenUpItem, GivenUpItems};
pub use job::{ItemPhase, ItemRecord, JobRecord, ListedRecord};
pub use jobs::{Admission, Jobs, QueuePosition};
pub use keys::{call_key, text_key};
pub use route_queues::RouteQueues;
pub use store_usage::StoreUsage;

/// Longest step of the group's clock between two commands, milliseconds. It keeps a leader that
/// was suspended from making all items late at once.
const MAX_CLOCK_STEP_MS: u64 = 2_000;

/// State that every replica of the group holds.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct ClusterMachine {
    /// Newest format applied or restored; `None` for an empty state. Snapshots start with its
    /// byte instead of containing this field.
    #[serde(skip)]
    format: Option<Format>,
    clock_ms: u64,
    table: Option<PutTable>,
    machines: BTreeMap<u64, MachineRecord>,
    replaced: BTreeSet<u64>,
    retiring: BTreeSet<u64>,
    jobs: Jobs,
    evacuations: Evacuations,
}

impl ClusterMachine {
    /// Format in force, in which commands and snapshots are written. A state to which nothing
    /// was applied belongs to a new group and uses the newest format.
    pub fn format(&self) -> Format {
        self.format.unwrap_or(Format::NEWEST)
    }

    /// Time on the group's clock, milliseconds.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Route table in force, together with its source document; `None` before the first one.
    pub fn table(&self) -> Option<&PutTable> {
        self.table.as_ref()
    }

    /// Control machines that have joined and were not replaced, by the identity of their data
    /// folder.
    pub fn machines(&self) -> &BTreeMap<u64, MachineRecord> {
        &self.machines
    }

    /// Data folders that were lost: their machine returned with a new one.
    pub fn replaced(&self) -> &BTreeSet<u64> {
        &self.replaced
    }

    /// Machines that an operator wants drained, by the identity of their data folder.
    pub fn retiring(&self) -> &BTreeSet<u64> {
        &self.retiring
    }

    /// Jobs that have not been deleted, finished ones included.
    pub fn jobs(&self) -> &Jobs {
        &self.jobs
    }

    /// Zones whose workers receive no new calls or items.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    fn execute(&mut self, command: Command, table: &mut dyn TableWriter) -> Applied {
        match command {
            Command::PutTable(put) => self.put_table(*put),
            Command::SubmitJob { job, room_bytes } => {
                let now_ms = self.clock_ms;
                Applied::Submitted(self.jobs.submit(*job, room_bytes, now_ms, table))
            }
            Command::EndJob(id) => Applied::Ended {
                known: self.jobs.end(&id, table),
            },
            Command::ReportItems(reports) => {
                for report in reports {
                    self.jobs.report(report, table);
                }
                Applied::Done
            }
            Command::RecordMachine(record) => self.record_machine(record),
            Command::Retire(replica) => {
                self.retiring.insert(replica);
                Applied::Done
            }
            Command::Upkeep { retention_ms } => {
                self.jobs.upkeep(self.clock_ms, retention_ms, table);
                Applied::Done
            }
            Command::EvacuateZone(zone) => {
                self.evacuations.evacuate(&zone);
                Applied::Done
            }
            Command::ReturnZone(zone) => {
                self.evacuations.return_zone(&zone);
                Applied::Done
            }
        }
    }

    /// Replaces the route table if the new version is higher. An equal or lower version changes
    /// nothing, whatever its content.
    fn put_table(&mut self, put: PutTable) -> Applied {
        let newer = |held: &PutTable| put.table.version > held.table.version;
        if self.table.as_ref().is_none_or(newer) {
            self.table = Some(put);
        }
        Applied::Done
    }

    /// Records a control machine. A machine that returns with another data folder has lost its
    /// old one, which then counts as replaced.
    fn record_machine(&mut self, record: MachineRecord) -> Applied {
        if self.replaced.contains(&record.replica) {
            return Applied::Done;
        }
        let same_machine =
            |known: &MachineRecord| known.name == record.name || known.address == record.address;
        let replaced: Vec<u64> = self
            .machines
            .iter()
            .filter(|(replica, known)| **replica != record.replica && same_machine(known))
            .map(|(replica, _)| *replica)
            .collect();
        for replica in replaced {
            self.machines.remove(&replica);
            self.retiring.remove(&replica);
            self.replaced.insert(replica);
        }
        self.machines.insert(record.replica, record);
        Applied::Done
    }

    /// Version of the route table in force; `None` without a table.
    pub fn table_version(&self) -> Option<u64> {
        self.table.as_ref().map(|held| held.table.version)
    }
}

impl StateMachine for ClusterMachine {
    fn apply(
        &mut self,
        _index: u64,
        command: &[u8],
        table: &mut dyn TableWriter,
    ) -> Result<Vec<u8>, UnreadableState> {
        let read = read_command(command);
        let (format, stamped) = read.map_err(|error| UnreadableState(error.to_string()))?;
        self.format = self.format.max(Some(format));
        self.clock_ms += stamped.elapsed_ms.min(MAX_CLOCK_STEP_MS);
        Ok(encode(&self.execute(stamped.command, table)))
    }

    fn snapshot(&self) -> Vec<u8> {
        formats::write_machine(self)
    }

    fn restore(&mut self, bytes: &[u8]) -> anyhow::Result<()> {
        *self = formats::read_machine(bytes)?;
        Ok(())
    }
}
