//! Commands of the replicated log and what applying them answers.

use pinerill_calls::job::{CallJobId, ItemReport, NewCallJob};
use pinerill_calls::message::{MachineRecord, PutTable, SubmitOutcome};
use serde::{Deserialize, Serialize};

/// A command with the time that has passed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StampedCommand {
    /// Time since the leader's last command, milliseconds of a steady clock.
    pub elapsed_ms: u64,
    /// The command.
    pub command: Command,
}

/// What is to change.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Command {
    /// A route table; in force if its version is the highest.
    PutTable(Box<PutTable>),
    /// A job.
    SubmitJob {
        /// The job.
        job: Box<NewCallJob>,
        /// Bytes that jobs may take in the store of each control machine; none
        /// for no bound.
        room_bytes: Option<u64>,
    },
    /// No more of a job is to run.
    EndJob(CallJobId),
    /// What became of items.
    ReportItems(Vec<ItemReport>),
    /// A control machine has come, perhaps with a new data folder.
    RecordMachine(MachineRecord),
    /// A control machine, by its data folder, is to be emptied.
    Retire(u64),
    /// Lets time pass, gives up old items and forgets old jobs.
    Upkeep {
        /// How long a finished job is kept, milliseconds.
        retention_ms: u64,
    },
    /// Workers of a zone shall get nothing new.
    EvacuateZone(String),
    /// A zone is in service again.
    ReturnZone(String),
}

/// What applying a command answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Applied {
    /// Done.
    Done,
    /// To [`Command::SubmitJob`].
    Submitted(SubmitOutcome),
    /// To [`Command::EndJob`].
    Ended {
        /// Whether there is such a job.
        known: bool,
    },
}
