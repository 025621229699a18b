//! Commands of the replicated log and the results of applying them.

use pinerill_calls::job::{CallJobId, ItemReport, NewCallJob};
use pinerill_calls::message::{MachineRecord, PutTable, SubmitOutcome};
use serde::{Deserialize, Serialize};

/// Command together with the time since the previous one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StampedCommand {
    /// Time since the leader's previous command, milliseconds of a monotonic clock.
    pub elapsed_ms: u64,
    /// Change to apply once the clock has advanced.
    pub command: Command,
}

/// Change to the replicated state.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Command {
    /// Puts a route table in force if its version is the highest.
    PutTable(Box<PutTable>),
    /// Submits a job, unless it is already known or exceeds a limit.
    SubmitJob {
        /// Job with the calls of all its items.
        job: Box<NewCallJob>,
        /// Limit on the bytes that all jobs take in the store of each control machine; `None`
        /// for no limit.
        room_bytes: Option<u64>,
    },
    /// Ends a job: its remaining items don't run.
    EndJob(CallJobId),
    /// Reports the outcomes of items.
    ReportItems(Vec<ItemReport>),
    /// Records a control machine that joined, possibly with a new data folder.
    RecordMachine(MachineRecord),
    /// Marks a control machine, named by the identity of its data folder, for draining.
    Retire(u64),
    /// Advances the clock, gives up items that are too old, and deletes finished jobs after
    /// their retention.
    Upkeep {
        /// Time from acceptance after which a finished job may be deleted, milliseconds.
        retention_ms: u64,
    },
    /// Stops assigning work to the workers of a zone.
    EvacuateZone(String),
    /// Returns an evacuated zone to service.
    ReturnZone(String),
}

/// Result of applying a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Applied {
    /// The command was applied and has no further result.
    Done,
    /// Result of [`Command::SubmitJob`].
    Submitted(SubmitOutcome),
    /// Result of [`Command::EndJob`].
    Ended {
        /// Whether the job exists.
        known: bool,
    },
}
