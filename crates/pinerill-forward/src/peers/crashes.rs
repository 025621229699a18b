//! Tells of workers that crashed under requests.
//!
//! Each report goes at once to the nodes of the zone; relays hand what is new to them on to
//! relays of other zones, and these to their nodes; the bridge of a cell does so to other cells.
//! Besides, each node tells a few others
//! again what they may have missed.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use tokio::time::sleep;

use super::message::PeerMessage;
use super::Peers;
use crate::crash::ledger::CrashReport;
use crate::crash::REPORTS_TOLD;
use crate::node::Node;

/// Pause between two tellings of what others may have missed: six of them fit into the
/// three seconds within which all nodes must know.
const PAUSE: Duration = Duration::from_millis(500);
/// Nodes of the zone that are told again each time: all hear from three others on average,
/// whatever their number.
const TOLD_AGAIN: usize = 3;

impl Peers {
    /// Tells the nodes of this zone and, by relays, all others.
    pub(crate) fn tell_crashes(&self, reports: &[CrashReport]) {
        self.tell_crashes_near(reports);
        self.hand_crashes_on(reports);
        self.hand_crashes_to_cells(reports);
    }

    /// Tells the bridges to other cells, if this node is one.
    pub(super) fn hand_crashes_to_cells(&self, reports: &[CrashReport]) {
        let bridges = self.bridges();
        if bridges.is_empty() {
            return;
        }
        for part in reports.chunks(REPORTS_TOLD) {
            self.send_far(&PeerMessage::Crashes(part.to_vec()), bridges.clone());
        }
    }

    /// Tells the nodes of this zone.
    pub(super) fn tell_crashes_near(&self, reports: &[CrashReport]) {
        for part in reports.chunks(REPORTS_TOLD) {
            self.send_near(&PeerMessage::Crashes(part.to_vec()));
        }
    }

    /// Tells all relays of other zones, if this node is a relay.
    pub(super) fn hand_crashes_on(&self, reports: &[CrashReport]) {
        if reports.is_empty() {
            return;
        }
        let Some(relays) = self.all_far_relays() else {
            return;
        };
        for part in reports.chunks(REPORTS_TOLD) {
            self.send_far(&PeerMessage::Crashes(part.to_vec()), relays.clone());
        }
    }
}

/// Tells a few others again, until the node ends.
pub(crate) async fn resend_crash_reports(node: Arc<Node>) {
    loop {
        sleep(PAUSE).await;
        let reports = node.crashes_to_tell();
        if reports.is_empty() {
            continue;
        }
        let message = PeerMessage::Crashes(reports);
        let near = node.peers.near();
        let told = near.choose_multiple(&mut rand::thread_rng(), TOLD_AGAIN);
        node.peers.send_to_near(&message, told.copied());
        if let Some(relays) = node.peers.told_relays() {
            node.peers.send_far(&message, relays);
        }
        node.peers.send_far(&message, node.peers.bridges());
    }
}
