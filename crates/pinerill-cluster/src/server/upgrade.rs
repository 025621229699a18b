//! Formats of commands while machines of several builds stand side by side.
//!
//! Each machine tells the leader by the format of its requests to join which one it reads. The
//! leader writes commands in the format in force, which all machines that are known read, and a
//! newer one only when all of them have told that they read it: for a command that needs it, or
//! once they have told so for [`RISE_AFTER_MS`]. Until then each machine may go back to the
//! build that it had; a machine that comes back with it later is kept out.

use std::collections::BTreeMap;

use pinerill_calls::message::{Format, MachineRecord};
use pinerill_wire::message::Refusal;

use super::control::Control;
use super::refusal;
use crate::machine::{write_command, Command, StampedCommand};

/// Time for which all machines must have read the newest format before it is put in force
/// without need, milliseconds: time for an operator to go back.
const RISE_AFTER_MS: u64 = 600_000;

/// Formats that control machines have told in one leadership.
#[derive(Debug, Default)]
pub(super) struct MachineFormats {
    /// The newest that each one reads, by data folder.
    told: BTreeMap<u64, Format>,
    /// Since when all that are known have told the newest one.
    complete_since_ms: Option<u64>,
}

impl MachineFormats {
    /// Notes what a machine reads. Returns true if it is news.
    pub(super) fn hear(&mut self, replica: u64, format: Format) -> bool {
        self.told.insert(replica, format) != Some(format)
    }

    /// Machines that have not told that they read the newest format.
    pub(super) fn lagging<'machines>(
        &self,
        known: impl IntoIterator<Item = &'machines u64>,
    ) -> Vec<u64> {
        let reads = |replica: &u64| self.told.get(replica) == Some(&Format::NEWEST);
        let known = known.into_iter();
        known.filter(|replica| !reads(replica)).copied().collect()
    }

    /// Whether all machines have read the newest format for long, given those that lag now.
    fn is_ripe(&mut self, now_ms: u64, lagging: &[u64]) -> bool {
        if !lagging.is_empty() {
            self.complete_since_ms = None;
            return false;
        }
        let since_ms = *self.complete_since_ms.get_or_insert(now_ms);
        now_ms >= since_ms + RISE_AFTER_MS
    }
}

impl Control {
    /// Writes a command in a format that all known machines read.
    ///
    /// # Errors
    /// A refusal that names the machines that hold the command back.
    pub(super) fn encoded(
        &self,
        step: &'static str,
        stamped: StampedCommand,
    ) -> Result<Vec<u8>, Box<Refusal>> {
        let in_force = self.group.with_machine(|machine| machine.format());
        if in_force == Format::NEWEST {
            return self.written(step, stamped, in_force);
        }
        let now_ms = self.now_ms();
        let known = self
            .group
            .with_machine(|machine| machine.machines().clone());
        let (lagging, ripe) = self.with_leadership(step, |leadership| {
            let formats = &mut leadership.formats;
            let lagging = formats.lagging(known.keys());
            let ripe = formats.is_ripe(now_ms, &lagging);
            (lagging, ripe)
        })?;
        let needed = matches!(
            stamped.command,
            Command::EvacuateZone(_) | Command::ReturnZone(_)
        );
        if needed && !lagging.is_empty() {
            let names = lagging.iter().map(|replica| known[replica].name.as_str());
            let names: Vec<&str> = names.collect();
            log::warn!(
                event = "format_held_back", in_force:%, wanted:% = Format::NEWEST, lagging:? = names; ""
            );
            let reason = format!(
                "format {in_force} is in force until these machines run a newer build: {}",
                names.join(", ")
            );
            return Err(refusal::unavailable(&self.record, step, reason));
        }
        let format = match ripe || needed {
            true => Format::NEWEST,
            false => in_force,
        };
        if format != in_force {
            log::info!(event = "format_rises", from:% = in_force, to:% = format, needed, ripe; "");
        }
        self.written(step, stamped, format)
    }

    fn written(
        &self,
        step: &'static str,
        stamped: StampedCommand,
        format: Format,
    ) -> Result<Vec<u8>, Box<Refusal>> {
        write_command(stamped, format)
            .map_err(|error| refusal::unavailable(&self.record, step, error))
    }

    /// Whether a machine that reads this format may take part. One that may not is not heard
    /// in the group either: it might skip what it can't read and answer from what is left.
    ///
    /// # Errors
    /// A refusal that says which format is in force.
    pub(super) fn may_take_part(
        &self,
        machine: &MachineRecord,
        reads: Format,
    ) -> Result<(), Box<Refusal>> {
        let in_force = self.group.with_machine(|state| state.format());
        let mut kept_out = self.kept_out.lock();
        if reads >= in_force {
            kept_out.remove(&machine.replica);
            return Ok(());
        }
        kept_out.insert(machine.replica);
        let machine = machine.name.as_str();
        log::warn!(event = "machine_kept_out", machine, reads:%, in_force:%; "");
        let reason = format!("format {in_force} is in force, the asker's build reads {reads}");
        Err(refusal::unavailable(&self.record, "join", reason))
    }

    /// Whether a machine may not take part.
    pub(super) fn is_kept_out(&self, replica: u64) -> bool {
        self.kept_out.lock().contains(&replica)
    }
}
