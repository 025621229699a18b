//! The replicated state machine: route table, jobs, control machines.
//!
//! What is in memory is saved in snapshots; calls of items and texts of
//! results live in the state table, which `apply` writes and never reads.
//! Time is a clock of the group's own: each command brings the time that has
//! passed since its leader's last one, so that no machine's time of day counts
//! and no time runs while nobody leads.
//!
//! Machines of several builds replicate it side by side. The format in force is the newest one
//! of any command applied, so that all replicas agree on it; snapshots are written in it, and
//! the leader writes a newer one only once all machines have told that they read it
//! (`server::upgrade`). A command that can't be read ends the replica's part: another one may
//! have read and applied it.

mod command;
mod formats;
mod job;
mod jobs;
mod keys;
mod room;

use std::collections::{BTreeMap, BTreeSet};

use pinerill_calls::evacuation::Evacuations;
use pinerill_calls::message::{encode, Format, MachineRecord, PutTable};
use pinerill_control::host::{StateMachine, TableWriter, UnreadableState};
use serde::{Deserialize, Serialize};

pub use command::{Applied, Command, StampedCommand};
pub use formats::{read_command, write_command};
pub use job::{ItemPhase, ItemRecord, JobRecord, ListedRecord};
pub use jobs::{Admission, Jobs, QueuePosition};
pub use keys::{call_key, text_key};
pub use room::StoreUsage;

/// Longest step of the group's clock between two commands, milliseconds: a
/// leader that was frozen does not make everything late at once.
const LONGEST_STEP_MS: u64 = 2_000;

/// State of the group.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct ClusterMachine {
    /// Newest format of what was applied or restored; its byte stands before the snapshot.
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
    /// The format in force: in which commands and snapshots are written. A state that nothing
    /// was applied to is the beginning of a new group.
    pub fn format(&self) -> Format {
        self.format.unwrap_or(Format::NEWEST)
    }

    /// The group's clock, milliseconds.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// The route table in force with its document.
    pub fn table(&self) -> Option<&PutTable> {
        self.table.as_ref()
    }

    /// Control machines that ever joined and were not replaced, by the
    /// identity of their data folders.
    pub fn machines(&self) -> &BTreeMap<u64, MachineRecord> {
        &self.machines
    }

    /// Data folders whose machine came back with another one.
    pub fn replaced(&self) -> &BTreeSet<u64> {
        &self.replaced
    }

    /// Machines that are to be emptied.
    pub fn retiring(&self) -> &BTreeSet<u64> {
        &self.retiring
    }

    /// All jobs.
    pub fn jobs(&self) -> &Jobs {
        &self.jobs
    }

    /// Zones whose workers get nothing new.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    fn carry_out(&mut self, command: Command, table: &mut dyn TableWriter) -> Applied {
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

    /// The highest version is in force; an equal or lower one changes nothing,
    /// whatever its content.
    fn put_table(&mut self, put: PutTable) -> Applied {
        let newer = |held: &PutTable| put.table.version > held.table.version;
        if self.table.as_ref().is_none_or(newer) {
            self.table = Some(put);
        }
        Applied::Done
    }

    /// A machine that comes with another data folder has lost its old one.
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

    /// The table's version; none without a table.
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
        self.clock_ms += stamped.elapsed_ms.min(LONGEST_STEP_MS);
        Ok(encode(&self.carry_out(stamped.command, table)))
    }

    fn snapshot(&self) -> Vec<u8> {
        formats::write_machine(self)
    }

    fn restore(&mut self, bytes: &[u8]) -> anyhow::Result<()> {
        *self = formats::read_machine(bytes)?;
        Ok(())
    }
}
