//! Commands and snapshots as a process of the version before stored them.

use std::collections::{BTreeMap, BTreeSet};

use pinerill_calls::evacuation::Evacuations;
use pinerill_calls::job::{CallJobId, ItemReport, NewCallJob};
use pinerill_calls::message::{
    decode, decode_version, MachineRecord, MessageError, PutTable, PREVIOUS_VERSION,
};
use pinerill_calls::table::PreviousRouteTable;
use serde::Deserialize;

use super::{ClusterMachine, Command, Jobs, StampedCommand};

/// Reads a command, of this version or the one before.
pub(super) fn read_command(bytes: &[u8]) -> Result<StampedCommand, MessageError> {
    match decode(bytes) {
        Err(MessageError::Version(Some(PREVIOUS_VERSION))) => {
            decode_version::<PreviousStampedCommand>(bytes, PREVIOUS_VERSION).map(Into::into)
        }
        decoded => decoded,
    }
}

/// Reads a snapshot, of this version or the one before.
pub(super) fn read_machine(bytes: &[u8]) -> Result<ClusterMachine, MessageError> {
    match decode(bytes) {
        Err(MessageError::Version(Some(PREVIOUS_VERSION))) => {
            decode_version::<PreviousMachine>(bytes, PREVIOUS_VERSION).map(Into::into)
        }
        decoded => decoded,
    }
}

#[derive(Deserialize)]
struct PreviousStampedCommand {
    elapsed_ms: u64,
    command: PreviousCommand,
}

#[derive(Deserialize)]
enum PreviousCommand {
    PutTable(Box<PreviousPutTable>),
    SubmitJob {
        job: Box<NewCallJob>,
        room_bytes: Option<u64>,
    },
    EndJob(CallJobId),
    ReportItems(Vec<ItemReport>),
    RecordMachine(MachineRecord),
    Retire(u64),
    Upkeep {
        retention_ms: u64,
    },
}

#[derive(Deserialize)]
struct PreviousPutTable {
    table: PreviousRouteTable,
    document: Vec<u8>,
}

#[derive(Deserialize)]
struct PreviousMachine {
    clock_ms: u64,
    table: Option<PreviousPutTable>,
    machines: BTreeMap<u64, MachineRecord>,
    replaced: BTreeSet<u64>,
    retiring: BTreeSet<u64>,
    jobs: Jobs,
}

impl From<PreviousStampedCommand> for StampedCommand {
    fn from(stamped: PreviousStampedCommand) -> Self {
        StampedCommand {
            elapsed_ms: stamped.elapsed_ms,
            command: stamped.command.into(),
        }
    }
}

impl From<PreviousCommand> for Command {
    fn from(command: PreviousCommand) -> Self {
        match command {
            PreviousCommand::PutTable(put) => Command::PutTable(Box::new((*put).into())),
            PreviousCommand::SubmitJob { job, room_bytes } => {
                Command::SubmitJob { job, room_bytes }
            }
            PreviousCommand::EndJob(id) => Command::EndJob(id),
            PreviousCommand::ReportItems(reports) => Command::ReportItems(reports),
            PreviousCommand::RecordMachine(record) => Command::RecordMachine(record),
            PreviousCommand::Retire(replica) => Command::Retire(replica),
            PreviousCommand::Upkeep { retention_ms } => Command::Upkeep { retention_ms },
        }
    }
}

impl From<PreviousPutTable> for PutTable {
    fn from(put: PreviousPutTable) -> Self {
        PutTable {
            table: put.table.into(),
            document: put.document,
        }
    }
}

impl From<PreviousMachine> for ClusterMachine {
    fn from(machine: PreviousMachine) -> Self {
        ClusterMachine {
            clock_ms: machine.clock_ms,
            table: machine.table.map(PutTable::from),
            machines: machine.machines,
            replaced: machine.replaced,
            retiring: machine.retiring,
            jobs: machine.jobs,
            evacuations: Evacuations::default(),
        }
    }
}
