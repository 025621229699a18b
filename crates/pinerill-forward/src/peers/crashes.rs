//! Sends reports of workers that crashed under requests or parts of prompts, and notices of trial
//! runs, to all nodes.
//!
//! Each report is sent at once to the nodes of the zone. Relays forward reports that are new to
//! them to the relays of other zones, which broadcast them in theirs; bridge nodes forward them to
//! other cells. In addition, each node regularly resends to a few others what they may have missed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use tokio::time::sleep;

use super::message::PeerMessage;
use super::Peers;
use crate::crash::ledger::CrashReport;
use crate::crash::part_ledger::PartCrashReport;
use crate::crash::trials::TrialNotice;
use crate::crash::MAX_REPORTS_PER_DATAGRAM;
use crate::node::Node;

/// Pause between two resends. Six of them fit into the three seconds within which all nodes must
/// have received a report.
const RESEND_PAUSE: Duration = Duration::from_millis(500);
/// Number of random nodes of the zone that get each resend. Every node receives resends from three
/// others on average, whatever the size of the zone.
const RESEND_TARGETS: usize = 3;

/// A report of a crash, or a notice of a trial run, that is sent to all nodes.
pub(crate) trait CrashNews: Copy {
    /// Returns the message that contains these reports.
    fn into_message(reports: Vec<Self>) -> PeerMessage;
}

impl CrashNews for CrashReport {
    fn into_message(reports: Vec<Self>) -> PeerMessage {
        PeerMessage::Crashes(reports)
    }
}

impl CrashNews for PartCrashReport {
    fn into_message(reports: Vec<Self>) -> PeerMessage {
        PeerMessage::PartCrashes(reports)
    }
}

impl CrashNews for TrialNotice {
    fn into_message(notices: Vec<Self>) -> PeerMessage {
        PeerMessage::Trials(notices)
    }
}

/// Where reports came from.
#[derive(Debug, Clone, Copy)]
pub(super) struct NewsSource {
    /// Whether the sender is a node of this zone.
    pub(super) is_zone_peer: bool,
    /// Whether the sender is a bridge to another cell.
    pub(super) is_bridge: bool,
}

impl Peers {
    /// Sends crash reports to the nodes of this zone and, if this node is a relay or a bridge, to
    /// other zones or cells.
    pub(crate) fn broadcast_crashes<R: CrashNews>(&self, reports: &[R]) {
        self.broadcast_crashes_in_zone(reports);
        self.forward_crashes_to_relays(reports);
        self.forward_crashes_to_cells(reports);
    }

    /// Forwards reports that another node sent and that are new to this one.
    pub(super) fn forward_crashes<R: CrashNews>(&self, source: NewsSource, reports: &[R]) {
        if source.is_zone_peer || source.is_bridge {
            self.forward_crashes_to_relays(reports);
        }
        if !source.is_zone_peer {
            self.broadcast_crashes_in_zone(reports);
        }
        self.forward_crashes_to_cells(reports);
    }

    /// Forwards crash reports to nodes of other cells, if this node is a bridge.
    fn forward_crashes_to_cells<R: CrashNews>(&self, reports: &[R]) {
        let bridges = self.bridges();
        if bridges.is_empty() {
            return;
        }
        for part in reports.chunks(MAX_REPORTS_PER_DATAGRAM) {
            self.send_to_other_zones(&R::into_message(part.to_vec()), bridges.clone());
        }
    }

    /// Sends crash reports to all other nodes of this zone.
    fn broadcast_crashes_in_zone<R: CrashNews>(&self, reports: &[R]) {
        for part in reports.chunks(MAX_REPORTS_PER_DATAGRAM) {
            self.broadcast_to_zone(&R::into_message(part.to_vec()));
        }
    }

    /// Forwards crash reports to all relays of other zones, if this node is a relay.
    fn forward_crashes_to_relays<R: CrashNews>(&self, reports: &[R]) {
        if reports.is_empty() {
            return;
        }
        let Some(relays) = self.all_remote_relays() else {
            return;
        };
        for part in reports.chunks(MAX_REPORTS_PER_DATAGRAM) {
            self.send_to_other_zones(&R::into_message(part.to_vec()), relays.clone());
        }
    }

    /// Sends one node the notices of trials that it has missed.
    pub(super) fn send_trials(
        &self,
        to: SocketAddr,
        is_zone_peer: bool,
        notices: Vec<TrialNotice>,
    ) {
        if notices.is_empty() {
            return;
        }
        let message = TrialNotice::into_message(notices);
        match is_zone_peer {
            true => self.send_in_zone(&message, [to]),
            false => self.send_to_other_zones(&message, vec![to]),
        }
    }

    /// Sends crash reports to a few random nodes of the zone and, if this node is a relay or a
    /// bridge, to other zones or cells.
    fn resend_crashes<R: CrashNews>(&self, reports: Vec<R>) {
        if reports.is_empty() {
            return;
        }
        let message = R::into_message(reports);
        let zone_peers = self.zone_peers();
        let targets = zone_peers.choose_multiple(&mut rand::thread_rng(), RESEND_TARGETS);
        self.send_in_zone(&message, targets.copied());
        if let Some(relays) = self.target_relays() {
            self.send_to_other_zones(&message, relays);
        }
        self.send_to_other_zones(&message, self.bridges());
    }
}

/// Resends crash reports to a few other nodes at regular intervals, until the node ends.
pub(crate) async fn resend_crash_reports(node: Arc<Node>) {
    loop {
        sleep(RESEND_PAUSE).await;
        node.peers.resend_crashes(node.crashes_to_resend());
        node.peers.resend_crashes(node.part_crashes_to_resend());
    }
}
