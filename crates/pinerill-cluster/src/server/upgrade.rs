//! Selects the format of commands while machines of different builds run side by side.
//!
//! Each machine reports the newest format that it reads to the leader through the format of its
//! join requests. The leader writes commands in the format in force, which every known machine
//! reads. It switches to a newer format only once every machine has reported that it reads it: at
//! once for a command that needs the format, otherwise after [`UPGRADE_DELAY_MS`]. Until the
//! switch, each machine can be rolled back to its previous build; a machine that is rolled back
//! later is excluded.

use std::collections::BTreeMap;

use pinerill_calls::message::{Format, MachineRecord};
use pinerill_wire::message::Refusal;

use super::control::Control;
use super::refusal;
use crate::machine::{write_command, Command, StampedCommand};

/// Time for which all machines must have reported the newest format before it is put in force
/// although no command needs it, milliseconds. It leaves operators time to roll back.
const UPGRADE_DELAY_MS: u64 = 600_000;

/// Formats that control machines have reported during one leadership.
#[derive(Debug, Default)]
pub(super) struct MachineFormats {
    /// Newest format that each machine reads, by identity of its data folder.
    reported: BTreeMap<u64, Format>,
    /// Time since which all known machines have reported the newest format; `None` while one has
    /// not.
    complete_since_ms: Option<u64>,
}

impl MachineFormats {
    /// Records the format that a machine reads. Returns whether it differs from the last one
    /// recorded.
    pub(super) fn record(&mut self, replica: u64, format: Format) -> bool {
        self.reported.insert(replica, format) != Some(format)
    }

    /// Returns the known machines that have not reported the newest format.
    pub(super) fn lagging<'machines>(
        &self,
        known: impl IntoIterator<Item = &'machines u64>,
    ) -> Vec<u64> {
        let reads = |replica: &u64| self.reported.get(replica) == Some(&Format::NEWEST);
        let known = known.into_iter();
        known.filter(|replica| !reads(replica)).copied().collect()
    }

    /// Returns whether all machines have reported the newest format for [`UPGRADE_DELAY_MS`].
    /// `lagging` lists those that have not reported it now.
    fn is_upgrade_due(&mut self, now_ms: u64, lagging: &[u64]) -> bool {
        if !lagging.is_empty() {
            self.complete_since_ms = None;
            return false;
        }
        let since_ms = *self.complete_since_ms.get_or_insert(now_ms);
        now_ms >= since_ms + UPGRADE_DELAY_MS
    }
}

impl Control {
    /// Encodes a command in a format that all known machines read.
    ///
    /// # Errors
    /// Returns a refusal if the command needs a newer format; it names the machines that don't
    /// read that format.
    pub(super) fn encode_command(
        &self,
        step: &'static str,
        stamped: StampedCommand,
    ) -> Result<Vec<u8>, Box<Refusal>> {
        let in_force = self.group.with_machine(|machine| machine.format());
        if in_force == Format::NEWEST {
            return self.encode_in_format(step, stamped, in_force);
        }
        let now_ms = self.now_ms();
        let known = self
            .group
            .with_machine(|machine| machine.machines().clone());
        let (lagging, ripe) = self.with_leadership(step, |leadership| {
            let formats = &mut leadership.formats;
            let lagging = formats.lagging(known.keys());
            let ripe = formats.is_upgrade_due(now_ms, &lagging);
            (lagging, ripe)
        })?;
        let orders_zones = matches!(
            stamped.command,
            Command::EvacuateZone(_) | Command::ReturnZone(_)
        );
        let needed = orders_zones && in_force < Format::ZONES;
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
        self.encode_in_format(step, stamped, format)
    }

    fn encode_in_format(
        &self,
        step: &'static str,
        stamped: StampedCommand,
        format: Format,
    ) -> Result<Vec<u8>, Box<Refusal>> {
        write_command(stamped, format)
            .map_err(|error| refusal::unavailable(&self.record, step, error))
    }

    /// Admits a machine that reads this format, or excludes it. Messages of an excluded machine
    /// are also dropped in the replicated group: it might skip commands that it can't read and
    /// answer from incomplete state.
    ///
    /// # Errors
    /// Returns a refusal that names the format in force if the machine does not read it.
    pub(super) fn admit_machine(
        &self,
        machine: &MachineRecord,
        reads: Format,
    ) -> Result<(), Box<Refusal>> {
        let in_force = self.group.with_machine(|state| state.format());
        let mut excluded_replicas = self.excluded_replicas.lock();
        if reads >= in_force {
            excluded_replicas.remove(&machine.replica);
            return Ok(());
        }
        excluded_replicas.insert(machine.replica);
        let machine = machine.name.as_str();
        log::warn!(event = "machine_kept_out", machine, reads:%, in_force:%; "");
        let reason = format!("format {in_force} is in force, the asker's build reads {reads}");
        Err(refusal::unavailable(&self.record, "join", reason))
    }

    /// Returns whether a machine is excluded, by identity of its data folder.
    pub(super) fn is_excluded(&self, replica: u64) -> bool {
        self.excluded_replicas.lock().contains(&replica)
    }
}
