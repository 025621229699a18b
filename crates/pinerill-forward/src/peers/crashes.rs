//! Sends reports of workers that crashed under requests to all nodes.
//!
//! Each report is sent at once to the nodes of the zone. Relays forward reports that are new to
//! them to the relays of other zones, which broadcast them in theirs; bridge nodes forward them to
//! other cells. In addition, each node regularly resends to a few others what they may have missed.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use tokio::time::sleep;

use super::message::PeerMessage;
use super::Peers;
use crate::crash::ledger::CrashReport;
use crate::crash::MAX_REPORTS_PER_DATAGRAM;
use crate::node::Node;

/// Pause between two resends. Six of them fit into the three seconds within which all nodes must
/// have received a report.
const RESEND_PAUSE: Duration = Duration::from_millis(500);
/// Number of random nodes of the zone that get each resend. Every node receives resends from three
/// others on average, whatever the size of the zone.
const RESEND_TARGETS: usize = 3;

impl Peers {
    /// Sends crash reports to the nodes of this zone and, if this node is a relay or a bridge, to
    /// other zones or cells.
    pub(crate) fn broadcast_crashes(&self, reports: &[CrashReport]) {
        self.broadcast_crashes_in_zone(reports);
        self.forward_crashes_to_relays(reports);
        self.forward_crashes_to_cells(reports);
    }

    /// Forwards crash reports to nodes of other cells, if this node is a bridge.
    pub(super) fn forward_crashes_to_cells(&self, reports: &[CrashReport]) {
        let bridges = self.bridges();
        if bridges.is_empty() {
            return;
        }
        for part in reports.chunks(MAX_REPORTS_PER_DATAGRAM) {
            self.send_to_other_zones(&PeerMessage::Crashes(part.to_vec()), bridges.clone());
        }
    }

    /// Sends crash reports to all other nodes of this zone.
    pub(super) fn broadcast_crashes_in_zone(&self, reports: &[CrashReport]) {
        for part in reports.chunks(MAX_REPORTS_PER_DATAGRAM) {
            self.broadcast_to_zone(&PeerMessage::Crashes(part.to_vec()));
        }
    }

    /// Forwards crash reports to all relays of other zones, if this node is a relay.
    pub(super) fn forward_crashes_to_relays(&self, reports: &[CrashReport]) {
        if reports.is_empty() {
            return;
        }
        let Some(relays) = self.all_remote_relays() else {
            return;
        };
        for part in reports.chunks(MAX_REPORTS_PER_DATAGRAM) {
            self.send_to_other_zones(&PeerMessage::Crashes(part.to_vec()), relays.clone());
        }
    }
}

/// Resends crash reports to a few other nodes at regular intervals, until the node ends.
pub(crate) async fn resend_crash_reports(node: Arc<Node>) {
    loop {
        sleep(RESEND_PAUSE).await;
        let reports = node.crashes_to_resend();
        if reports.is_empty() {
            continue;
        }
        let message = PeerMessage::Crashes(reports);
        let zone_peers = node.peers.zone_peers();
        let targets = zone_peers.choose_multiple(&mut rand::thread_rng(), RESEND_TARGETS);
        node.peers.send_in_zone(&message, targets.copied());
        if let Some(relays) = node.peers.target_relays() {
            node.peers.send_to_other_zones(&message, relays);
        }
        node.peers
            .send_to_other_zones(&message, node.peers.bridges());
    }
}
