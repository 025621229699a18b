//! What nodes tell each other.

use serde::{Deserialize, Serialize};

use crate::crash::ledger::CrashReport;
use crate::dispatch::demand::ServiceDemand;
use crate::fleet::{ReportOrder, WorkerCount, WorkerKey};

/// Longest datagram, bytes: one packet of the usual networks.
pub(super) const DATAGRAM_BYTES: usize = 1_400;
/// Counts in one message at most, some 6 bytes each; what is in flight at other workers
/// is not told.
pub(super) const COUNTS_TOLD: usize = 200;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum PeerMessage {
    /// To nodes of the zone: a prompt was sent to a worker.
    PromptSent {
        /// The worker.
        worker: WorkerKey,
        /// Time that reading it is expected to take, milliseconds.
        prefill_ms: f64,
    },
    /// To nodes of the zone: all that the node has in flight and lacks.
    InFlight {
        /// Which message of the node it is.
        order: ReportOrder,
        /// By worker.
        counts: Vec<WorkerCount>,
        /// By service.
        demand: Vec<ServiceDemand>,
    },
    /// From relay to relay, and on to the nodes of its zone: all that the nodes of a zone
    /// have in flight.
    ZoneInFlight {
        /// Which message of the relay it is.
        order: ReportOrder,
        /// The zone.
        zone: String,
        /// By worker.
        counts: Vec<WorkerCount>,
    },
    /// To nodes of the zone: a worker did not answer.
    NoAnswer {
        /// The worker.
        worker: WorkerKey,
    },
    /// To one node of the zone: a place at a worker is free and kept for it for a moment.
    PlaceFree {
        /// The worker.
        worker: WorkerKey,
    },
    /// To all nodes, by relays: workers crashed under requests.
    Crashes(Vec<CrashReport>),
    /// To nodes of the zone: a worker ended a connection on which it had a request.
    Broke {
        /// The worker.
        worker: WorkerKey,
    },
}

impl PeerMessage {
    /// What it is for, as a label.
    pub(super) fn purpose(&self) -> &'static str {
        match self {
            PeerMessage::PromptSent { .. } => "prompt",
            PeerMessage::InFlight { .. } => "in_flight",
            PeerMessage::ZoneInFlight { .. } => "zone_in_flight",
            PeerMessage::NoAnswer { .. } => "no_answer",
            PeerMessage::Broke { .. } => "broke",
            PeerMessage::Crashes(_) => "crashes",
            PeerMessage::PlaceFree { .. } => "place_free",
        }
    }
}
