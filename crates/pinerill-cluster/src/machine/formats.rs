//! Reads and writes commands and snapshots in every format that this build supports.
//!
//! Formats up to 7 differ only in their route tables. Format 8 adds the commands that evacuate
//! and return zones; commands and snapshots of format 9 have the same layout.

use std::collections::{BTreeMap, BTreeSet};

use pinerill_calls::encoding::{decode_any, encode_as, format_of, Format, MessageError};
use pinerill_calls::evacuation::Evacuations;
use pinerill_calls::formats::{
    NotExpressible, OlderPutTable, OlderTable, TableV5, TableV6, TableV7,
};
use pinerill_calls::job::{CallJobId, ItemReport, NewCallJob};
use pinerill_calls::message::{MachineRecord, PutTable};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::{ClusterMachine, Command, Jobs, StampedCommand};

/// Reads a command and returns it with its format.
///
/// # Errors
/// [`MessageError`] if the format is unknown or the bytes are malformed.
pub fn read_command(bytes: &[u8]) -> Result<(Format, StampedCommand), MessageError> {
    let format = format_of(bytes)?;
    let command = match format.byte() {
        4 | 5 => read_older::<TableV5>(bytes)?,
        6 => read_older::<TableV6>(bytes)?,
        7 => read_older::<TableV7>(bytes)?,
        _ => decode_any(bytes)?,
    };
    Ok((format, command))
}

/// Writes a command in the given format.
///
/// # Errors
/// [`NotExpressible`] if the format has no such command.
pub fn write_command(command: StampedCommand, format: Format) -> Result<Vec<u8>, NotExpressible> {
    match format.byte() {
        4 | 5 => write_older::<TableV5>(command, format),
        6 => write_older::<TableV6>(command, format),
        7 => write_older::<TableV7>(command, format),
        _ => Ok(encode_as(format, &command)),
    }
}

/// Reads a snapshot in any supported format.
///
/// # Errors
/// [`MessageError`] if the format is unknown or the bytes are malformed.
pub(super) fn read_machine(bytes: &[u8]) -> Result<ClusterMachine, MessageError> {
    let format = format_of(bytes)?;
    let mut machine = match format.byte() {
        4 | 5 => decode_any::<OlderMachine<TableV5>>(bytes)?.into(),
        6 => decode_any::<OlderMachine<TableV6>>(bytes)?.into(),
        7 => decode_any::<OlderMachine<TableV7>>(bytes)?.into(),
        _ => decode_any::<ClusterMachine>(bytes)?,
    };
    machine.format = Some(format);
    Ok(machine)
}

/// Writes a snapshot in the format in force.
pub(super) fn write_machine(machine: &ClusterMachine) -> Vec<u8> {
    let format = machine.format();
    match format.byte() {
        4 | 5 => encode_as(format, &MachineView::<TableV5>::from_machine(machine)),
        6 => encode_as(format, &MachineView::<TableV6>::from_machine(machine)),
        7 => encode_as(format, &MachineView::<TableV7>::from_machine(machine)),
        _ => encode_as(format, machine),
    }
}

#[derive(Serialize, Deserialize)]
struct OlderStampedCommand<T> {
    elapsed_ms: u64,
    command: OlderCommand<T>,
}

#[derive(Serialize, Deserialize)]
enum OlderCommand<T> {
    PutTable(Box<OlderPutTable<T>>),
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
struct OlderMachine<T> {
    clock_ms: u64,
    table: Option<OlderPutTable<T>>,
    machines: BTreeMap<u64, MachineRecord>,
    replaced: BTreeSet<u64>,
    retiring: BTreeSet<u64>,
    jobs: Jobs,
}

/// Borrowed form of a machine's state, with the layout that [`OlderMachine`] reads.
#[derive(Serialize)]
struct MachineView<'machine, T> {
    clock_ms: u64,
    table: Option<OlderPutTable<T>>,
    machines: &'machine BTreeMap<u64, MachineRecord>,
    replaced: &'machine BTreeSet<u64>,
    retiring: &'machine BTreeSet<u64>,
    jobs: &'machine Jobs,
}

fn read_older<T: OlderTable + DeserializeOwned>(
    bytes: &[u8],
) -> Result<StampedCommand, MessageError> {
    let stamped: OlderStampedCommand<T> = decode_any(bytes)?;
    Ok(StampedCommand {
        elapsed_ms: stamped.elapsed_ms,
        command: stamped.command.into(),
    })
}

fn write_older<T: OlderTable>(
    stamped: StampedCommand,
    format: Format,
) -> Result<Vec<u8>, NotExpressible> {
    let command = OlderCommand::<T>::try_from(stamped.command)
        .map_err(|what| NotExpressible { format, what })?;
    let stamped = OlderStampedCommand {
        elapsed_ms: stamped.elapsed_ms,
        command,
    };
    Ok(encode_as(format, &stamped))
}

impl<T: OlderTable> From<OlderCommand<T>> for Command {
    fn from(command: OlderCommand<T>) -> Self {
        match command {
            OlderCommand::PutTable(put) => Command::PutTable(Box::new((*put).into())),
            OlderCommand::SubmitJob { job, room_bytes } => Command::SubmitJob { job, room_bytes },
            OlderCommand::EndJob(id) => Command::EndJob(id),
            OlderCommand::ReportItems(reports) => Command::ReportItems(reports),
            OlderCommand::RecordMachine(record) => Command::RecordMachine(record),
            OlderCommand::Retire(replica) => Command::Retire(replica),
            OlderCommand::Upkeep { retention_ms } => Command::Upkeep { retention_ms },
        }
    }
}

impl<T: OlderTable> TryFrom<Command> for OlderCommand<T> {
    /// Description of what the format can't express.
    type Error = &'static str;

    fn try_from(command: Command) -> Result<Self, &'static str> {
        Ok(match command {
            Command::PutTable(put) => OlderCommand::PutTable(Box::new((*put).into())),
            Command::SubmitJob { job, room_bytes } => OlderCommand::SubmitJob { job, room_bytes },
            Command::EndJob(id) => OlderCommand::EndJob(id),
            Command::ReportItems(reports) => OlderCommand::ReportItems(reports),
            Command::RecordMachine(record) => OlderCommand::RecordMachine(record),
            Command::Retire(replica) => OlderCommand::Retire(replica),
            Command::Upkeep { retention_ms } => OlderCommand::Upkeep { retention_ms },
            Command::EvacuateZone(_) | Command::ReturnZone(_) => return Err("orders about zones"),
        })
    }
}

impl<T: OlderTable> From<OlderMachine<T>> for ClusterMachine {
    fn from(machine: OlderMachine<T>) -> Self {
        ClusterMachine {
            format: None,
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

impl<'machine, T: OlderTable> MachineView<'machine, T> {
    fn from_machine(machine: &'machine ClusterMachine) -> Self {
        MachineView {
            clock_ms: machine.clock_ms,
            table: machine.table.clone().map(OlderPutTable::from),
            machines: &machine.machines,
            replaced: &machine.replaced,
            retiring: &machine.retiring,
            jobs: &machine.jobs,
        }
    }
}
