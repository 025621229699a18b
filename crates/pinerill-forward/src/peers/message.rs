//! Messages that nodes send each other as datagrams.

use serde::{Deserialize, Serialize};

use crate::crash::ledger::CrashReport;
use crate::crash::part_ledger::PartCrashReport;
use crate::crash::trials::TrialNotice;
use crate::dispatch::demand::ServiceDemand;
use crate::dispatch::report::{QueueReport, ReturnTicket, TenantUse};
use crate::fleet::{ReportOrder, WorkerCount, WorkerKey, WorkerPace};
use crate::resumption::origins::OriginRecord;
use crate::resumption::{OriginQuery, OriginReply};

/// Longest datagram in bytes, which fits into one packet of common networks.
pub(super) const DATAGRAM_BYTES: usize = 1_400;
/// Limit on the counts in one message, some 6 bytes each. Counts of further workers are left out.
pub(super) const MAX_COUNTS_PER_DATAGRAM: usize = 200;

/// Content of one datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// To nodes of the zone: the sender sent a long prompt to a worker.
    PromptSent {
        /// Worker that got the prompt.
        worker: WorkerKey,
        /// Expected prefill time of the prompt, milliseconds.
        prefill_ms: f64,
    },
    /// To nodes of the zone: everything that the sender has in flight, and its unmet demand.
    InFlight {
        /// Position in the sequence of such messages from the node, so that late ones are dropped.
        order: ReportOrder,
        /// Number of requests in flight at each worker.
        counts: Vec<WorkerCount>,
        /// Unmet demand of each service.
        demand: Vec<ServiceDemand>,
    },
    /// From a relay to a relay of another zone, which forwards it to the nodes of its zone:
    /// everything that the nodes of the sender's zone have in flight.
    ZoneInFlight {
        /// Position in the sequence of such messages from the relay, so that late ones are dropped.
        order: ReportOrder,
        /// Name of the sender's zone.
        zone: String,
        /// Number of requests in flight at each worker.
        counts: Vec<WorkerCount>,
    },
    /// To nodes of the zone: a worker did not answer the sender.
    NoAnswer {
        /// Worker that did not answer.
        worker: WorkerKey,
    },
    /// To one node of the zone: a slot at a worker is free, and the sender reserves it for the
    /// receiver for some milliseconds.
    #[serde(rename = "PlaceFree")]
    SlotFree {
        /// Worker with the free slot.
        worker: WorkerKey,
    },
    /// To all nodes, through relays and bridges: workers crashed under requests.
    Crashes(Vec<CrashReport>),
    /// To nodes of the zone: a worker closed a connection on which it had a request.
    Broke {
        /// Worker that closed the connection.
        worker: WorkerKey,
    },
    // Messages below are unknown to builds that precede them, which drop them.
    /// To nodes of the zone, while calls wait: the sender's queue and the slots its tenants use.
    Queue {
        /// Position in the sequence of such messages from the node, so that late ones are dropped.
        order: ReportOrder,
        /// Waiting calls by service, and the use of slots by tenant.
        report: QueueReport,
    },
    /// From a relay to a relay of another zone, which forwards it to the nodes of its zone: the
    /// slots that tenants use in the sender's zone.
    ZoneTenants {
        /// Position in the sequence of such messages from the relay, so that late ones are dropped.
        order: ReportOrder,
        /// Name of the sender's zone.
        zone: String,
        /// Slots in use and waiting calls of the tenants with the most of them.
        tenants: Vec<TenantUse>,
    },
    /// To nodes of the zone: paces of workers as the sender has observed them.
    Paces {
        /// Position in the sequence of such messages from the node, so that late ones are dropped.
        order: ReportOrder,
        /// Observed paces.
        paces: Vec<WorkerPace>,
    },
    /// Not in use: no node sends it, and receivers ignore it. To nodes of the zone: calls that the
    /// sender has rejected and invited to return.
    Returning(Vec<ReturnTicket>),
    /// To nodes of the zone, and between relays: the origin of a stream, which the receiver keeps.
    StreamOrigin(OriginRecord),
    /// To a relay of the zone: the origin of a stream, which it keeps and sends to other zones.
    OriginForRelays(OriginRecord),
    /// To nodes of the zone: a question about a stream that a caller continues.
    OriginQuery(OriginQuery),
    /// To one node of the zone: the answer to its question.
    OriginReply(OriginReply),
    /// To all nodes, through relays and bridges: workers crashed under parts of prompts.
    PartCrashes(Vec<PartCrashReport>),
    /// To all nodes, through relays and bridges: nodes claim trial runs of what is blocked, or withdraw
    /// their claims.
    Trials(Vec<TrialNotice>),
}

impl PeerMessage {
    /// Returns the kind of message as a label for traffic metrics.
    pub(super) fn purpose(&self) -> &'static str {
        match self {
            PeerMessage::PromptSent { .. } => "prompt",
            PeerMessage::InFlight { .. } => "in_flight",
            PeerMessage::ZoneInFlight { .. } => "zone_in_flight",
            PeerMessage::NoAnswer { .. } => "no_answer",
            PeerMessage::Broke { .. } => "broke",
            PeerMessage::Crashes(_) | PeerMessage::PartCrashes(_) | PeerMessage::Trials(_) => {
                "crashes"
            }
            PeerMessage::SlotFree { .. } => "place_free",
            PeerMessage::Queue { .. } => "queue",
            PeerMessage::ZoneTenants { .. } => "zone_tenants",
            PeerMessage::Paces { .. } => "paces",
            PeerMessage::Returning(_) => "returning",
            PeerMessage::StreamOrigin(_) | PeerMessage::OriginForRelays(_) => "stream_origin",
            PeerMessage::OriginQuery(_) | PeerMessage::OriginReply(_) => "origin_query",
        }
    }
}
