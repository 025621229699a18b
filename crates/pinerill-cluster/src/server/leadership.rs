//! Soft state of the leader: what it can ask again and never writes down.

use std::collections::BTreeMap;

use pinerill_calls::message::ControlAddress;
use pinerill_calls::packed::Packed;
use pinerill_calls::table::RouteTable;
use pinerill_quota::lender::Lender;
use pinerill_quota::limit::Tolerance;

use super::quota::LimitIndex;
use super::upgrade::MachineFormats;
use crate::cells::Cells;
use crate::leases::{LeaseBook, LeaseSettings};

/// Nodes are not sent to a control machine that was silent for this long.
const MACHINE_LIFE_MS: u64 = 4_000;

/// Time for which a look at the control machines serves all nodes, milliseconds.
const CONTROLS_LIFE_MS: u64 = 200;

/// How far limits may be exceeded, over all nodes.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tolerances {
    /// Those of tenants.
    pub(super) quota: Tolerance,
    /// Those of workers that are still cold.
    pub(super) slow_start: Tolerance,
}

/// One leadership of this machine.
pub(super) struct Leadership {
    term: u64,
    began_ms: u64,
    last_command_ms: u64,
    /// Nodes that watch and workers of the platform list, by cell.
    pub(super) cells: Cells,
    /// When each control machine was last heard, by data folder.
    machines: BTreeMap<u64, u64>,
    /// Which node runs which item.
    pub(super) leases: LeaseBook,
    /// Lends the tokens of tenants' calls.
    pub(super) lender: Lender,
    /// The limits by which it does.
    pub(super) limits: LimitIndex,
    /// Lends permits for requests to workers that are still cold, by worker.
    pub(super) slow_starts: Lender,
    /// The route table in force with its version, as nodes are told it.
    pub(super) packed_table: Option<(u64, Packed<RouteTable>)>,
    /// Control machines as nodes were told last, and when they were looked at.
    controls: Option<(u64, Vec<ControlAddress>)>,
    /// Which formats the control machines read.
    pub(super) formats: MachineFormats,
    /// When a majority was last asked whether this machine leads, and said so.
    pub(super) confirmed_ms: Option<u64>,
}

impl Leadership {
    pub(super) fn begin(term: u64, now_ms: u64, tolerances: Tolerances) -> Self {
        Leadership {
            term,
            began_ms: now_ms,
            last_command_ms: now_ms,
            cells: Cells::default(),
            machines: BTreeMap::new(),
            leases: LeaseBook::new(LeaseSettings::default(), now_ms),
            lender: Lender::new(tolerances.quota, now_ms),
            limits: LimitIndex::default(),
            slow_starts: Lender::new(tolerances.slow_start, now_ms),
            packed_table: None,
            controls: None,
            formats: MachineFormats::default(),
            confirmed_ms: None,
        }
    }

    pub(super) fn term(&self) -> u64 {
        self.term
    }

    /// How long it has lasted.
    pub(super) fn lasted_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.began_ms)
    }

    /// Time since the last command of this leadership.
    pub(super) fn elapsed_ms(&mut self, now_ms: u64) -> u64 {
        let elapsed = now_ms.saturating_sub(self.last_command_ms);
        self.last_command_ms = now_ms;
        elapsed
    }

    /// Notes that a control machine was heard.
    pub(super) fn hear_machine(&mut self, replica: u64, now_ms: u64) {
        self.machines.insert(replica, now_ms);
    }

    /// Time since each control machine was heard.
    pub(super) fn silence(&self, now_ms: u64) -> BTreeMap<u64, u64> {
        let heard = self.machines.iter();
        heard
            .map(|(replica, at)| (*replica, now_ms.saturating_sub(*at)))
            .collect()
    }

    /// Control machines as they were looked at a moment ago: the look goes through all of them,
    /// and all nodes ask twice a second.
    pub(super) fn controls_told(&self, now_ms: u64) -> Option<Vec<ControlAddress>> {
        let (at_ms, controls) = self.controls.as_ref()?;
        (now_ms < at_ms + CONTROLS_LIFE_MS).then(|| controls.clone())
    }

    pub(super) fn keep_controls(&mut self, now_ms: u64, controls: Vec<ControlAddress>) {
        self.controls = Some((now_ms, controls));
    }

    /// Control machines that were heard in this leadership and are silent
    /// for long.
    pub(super) fn lost_machines(&self, now_ms: u64) -> Vec<u64> {
        let silence = self.silence(now_ms).into_iter();
        silence
            .filter(|(_, silent_ms)| *silent_ms > MACHINE_LIFE_MS)
            .map(|(replica, _)| replica)
            .collect()
    }
}
