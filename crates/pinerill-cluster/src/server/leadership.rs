//! Soft state of the leader. It is not replicated or stored: a new leader starts without it and
//! rebuilds it from the requests of nodes and control machines.

use std::collections::BTreeMap;

use pinerill_calls::message::ControlAddress;
use pinerill_calls::packed::Packed;
use pinerill_calls::table::RouteTable;
use pinerill_quota::lender::Lender;
use pinerill_quota::limit::Tolerance;

use super::quota::LimitIndex;
use super::upgrade::MachineFormats;
use crate::cells::Cells;
use crate::command_clock::CommandClock;
use crate::leases::{LeaseBook, LeaseSettings};

/// Time without an announcement after which a control machine is left out of the list that nodes
/// receive, milliseconds.
const MACHINE_TIMEOUT_MS: u64 = 4_000;

/// Time for which a computed list of control machines is reused for all nodes, milliseconds.
const CONTROLS_CACHE_MS: u64 = 200;

/// How far the limits may be exceeded by all nodes together.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tolerances {
    /// Tolerance for the limits of tenants.
    pub(super) quota: Tolerance,
    /// Tolerance for the limits of workers in slow start.
    pub(super) slow_start: Tolerance,
}

/// Soft state of one term in which this machine leads.
pub(super) struct Leadership {
    term: u64,
    began_ms: u64,
    command_clock: CommandClock,
    /// Watching nodes and the workers of the platform list, by cell.
    pub(super) cells: Cells,
    /// Time of the last announcement of each control machine, by identity of its data folder.
    last_contact_ms: BTreeMap<u64, u64>,
    /// Leases of items granted to nodes.
    pub(super) leases: LeaseBook,
    /// Lends tokens for the calls of tenants.
    pub(super) lender: Lender,
    /// Limits that `lender` applies, by tenant.
    pub(super) limits: LimitIndex,
    /// Lends permits for requests to workers in slow start, by worker.
    pub(super) slow_starts: Lender,
    /// Version of the route table in force and the table as it is sent to nodes; `None` until a
    /// node needs it.
    pub(super) packed_table: Option<(u64, Packed<RouteTable>)>,
    /// Time at which the list of control machines was last computed, and the list.
    controls_cache: Option<(u64, Vec<ControlAddress>)>,
    /// Newest message format that each control machine reads.
    pub(super) formats: MachineFormats,
    /// Start of the last request by which a majority confirmed this leadership; `None` before the
    /// first confirmation.
    pub(super) confirmed_ms: Option<u64>,
}

impl Leadership {
    pub(super) fn begin(
        term: u64,
        now_ms: u64,
        tolerances: Tolerances,
        lease_settings: LeaseSettings,
    ) -> Self {
        Leadership {
            term,
            began_ms: now_ms,
            command_clock: CommandClock::begin(now_ms),
            cells: Cells::default(),
            last_contact_ms: BTreeMap::new(),
            leases: LeaseBook::new(lease_settings, now_ms),
            lender: Lender::new(tolerances.quota, now_ms),
            limits: LimitIndex::default(),
            slow_starts: Lender::new(tolerances.slow_start, now_ms),
            packed_table: None,
            controls_cache: None,
            formats: MachineFormats::default(),
            confirmed_ms: None,
        }
    }

    pub(super) fn term(&self) -> u64 {
        self.term
    }

    /// Returns the time since this leadership began, milliseconds.
    pub(super) fn duration_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.began_ms)
    }

    /// Returns the time since the previous command of this leadership, see [`CommandClock`].
    pub(super) fn take_elapsed_ms(&mut self, now_ms: u64) -> u64 {
        self.command_clock.take_elapsed_ms(now_ms)
    }

    /// Records that a control machine announced itself.
    pub(super) fn record_contact(&mut self, replica: u64, now_ms: u64) {
        self.last_contact_ms.insert(replica, now_ms);
    }

    /// Returns the milliseconds since the last announcement of each control machine, by identity
    /// of its data folder.
    pub(super) fn silent_ms(&self, now_ms: u64) -> BTreeMap<u64, u64> {
        let contacts = self.last_contact_ms.iter();
        contacts
            .map(|(replica, at)| (*replica, now_ms.saturating_sub(*at)))
            .collect()
    }

    /// Returns the list of control machines if it was computed within [`CONTROLS_CACHE_MS`].
    /// Computing it visits all control machines, and every node asks for it twice a second.
    pub(super) fn cached_controls(&self, now_ms: u64) -> Option<Vec<ControlAddress>> {
        let (at_ms, controls) = self.controls_cache.as_ref()?;
        (now_ms < at_ms + CONTROLS_CACHE_MS).then(|| controls.clone())
    }

    pub(super) fn cache_controls(&mut self, now_ms: u64, controls: Vec<ControlAddress>) {
        self.controls_cache = Some((now_ms, controls));
    }

    /// Returns the control machines that announced themselves in this leadership, but not within
    /// the last [`MACHINE_TIMEOUT_MS`].
    pub(super) fn lost_machines(&self, now_ms: u64) -> Vec<u64> {
        let silence = self.silent_ms(now_ms).into_iter();
        silence
            .filter(|(_, silent_ms)| *silent_ms > MACHINE_TIMEOUT_MS)
            .map(|(replica, _)| replica)
            .collect()
    }
}
