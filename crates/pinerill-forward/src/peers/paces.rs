//! Broadcasts the paces of workers that this node has observed, and keeps the paces current.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::broadcast::Sequence;
use super::message::PeerMessage;
use crate::node::Node;

/// Interval between two broadcasts.
const INTERVAL: Duration = Duration::from_secs(1);

/// Broadcasts new observations to the zone and computes the paces anew, once a second.
pub(crate) async fn broadcast_paces(node: Arc<Node>) {
    let mut sequence = Sequence::new();
    loop {
        sleep(INTERVAL).await;
        let (paces, changed) = node.with_fleet(|fleet, now_ms| {
            let changed = fleet.refresh_paces(now_ms);
            (fleet.take_unsent_paces(now_ms), changed)
        });
        for known in changed {
            log::info!(
                event = "worker_pace", worker = node.worker_name(known.worker).as_str(),
                pace = known.pace, samples = known.samples, age_ms = known.age_ms; ""
            );
        }
        if !paces.is_empty() {
            let order = sequence.next();
            node.peers
                .broadcast_to_zone(&PeerMessage::Paces { order, paces });
        }
    }
}
