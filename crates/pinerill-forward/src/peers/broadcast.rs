//! Broadcasts what this node has in flight and, if it is a relay, what its zone has in flight.

use std::sync::Arc;
use std::time::Duration;

use pinerill_process::clock::{timeout_at, BootTime};
use tokio::time::{sleep, timeout};

use super::message::{PeerMessage, MAX_COUNTS_PER_DATAGRAM};
use super::Peers;
use crate::fleet::{ReportOrder, WorkerCount};
use crate::node::Node;

/// Pause between two broadcasts for each other node of the zone. It grows with the zone, since each
/// node receives more messages the more nodes there are. With 20 nodes and 30 workers per zone, the
/// share of calls in time is 0.88 with 1.2 ms per node and 0.92 with 0.3 ms (means of two days with
/// faults, two seeds each).
const PAUSE_PER_PEER: Duration = Duration::from_micros(300);
/// Shortest pause between two broadcasts.
const SHORTEST_PAUSE: Duration = Duration::from_millis(6);
/// Longest pause between two broadcasts.
const LONGEST_PAUSE: Duration = Duration::from_millis(150);
/// Pause between two broadcasts of a zone's counts by one relay, for each other zone. With two
/// relays per zone, a node receives 80 such messages per second whatever the number of zones and
/// nodes. Each costs a node some 26 us of processor time: with 200 per second, at 40 ms and five
/// zones, all processes of 250 nodes used 241 s on a day of low load, against 160 s without these
/// messages.
pub(super) const PAUSE_PER_ZONE: Duration = Duration::from_millis(25);
/// Delay before a change is broadcast while calls wait here. One of them takes a free slot at once,
/// and a peer that received the count in between would send a call to the same slot.
const GATHER_PAUSE: Duration = Duration::from_millis(2);
/// Time after which counts are broadcast again without a change, since a datagram may have been
/// lost.
const REPEAT_PAUSE: Duration = Duration::from_millis(500);
/// Time in addition to the broadcast pause for which a promised slot counts as occupied, so that
/// the other node's broadcast of the call that it sent there arrives before.
const PROMISE_MARGIN: Duration = Duration::from_millis(6);

impl Peers {
    /// Returns the pause between two broadcasts of this node's counts.
    fn pause(&self) -> Duration {
        let peers = self.zone_peer_count() as u32;
        (PAUSE_PER_PEER * peers).clamp(SHORTEST_PAUSE, LONGEST_PAUSE)
    }
}

/// Returns for how long a slot that is promised to another node counts as occupied.
pub(crate) fn promise_time(peers: &Peers) -> Duration {
    peers.pause() + PROMISE_MARGIN
}

/// Numbers the messages of one broadcast task, so that receivers can drop late ones.
pub(super) struct Sequence(ReportOrder);

impl Sequence {
    pub(super) fn new() -> Self {
        Sequence(ReportOrder {
            start: rand::random(),
            sequence: 0,
        })
    }

    pub(super) fn next(&mut self) -> ReportOrder {
        self.0.sequence += 1;
        self.0
    }
}

/// Broadcasts this node's requests in flight and its unmet demand to the zone, at each change and
/// at least every [`REPEAT_PAUSE`] until it is idle.
pub(crate) async fn broadcast_counts(node: Arc<Node>) {
    let mut idle_sent = false;
    let mut sequence = Sequence::new();
    loop {
        let counts = largest_counts(node.with_fleet(|fleet, now_ms| fleet.in_flight(now_ms)));
        let demand = node.dispatcher.own_demand(&node);
        let idle = counts.is_empty() && demand.is_empty();
        if !(idle && idle_sent) {
            node.peers.broadcast_to_zone(&PeerMessage::InFlight {
                order: sequence.next(),
                counts,
                demand,
            });
        }
        idle_sent = idle;
        sleep(node.peers.pause()).await;
        // Continues at a change or when it is time to repeat the last broadcast.
        let _ = timeout(REPEAT_PAUSE, node.peers.changed.notified()).await;
        if node.dispatcher.waiting() > 0 {
            sleep(GATHER_PAUSE).await;
        }
    }
}

/// Sends the requests in flight in this zone to relays of other zones, while this node is a relay.
pub(crate) async fn broadcast_zone_counts(node: Arc<Node>) {
    let mut sequence = Sequence::new();
    loop {
        let Some(relays) = node.peers.target_relays() else {
            // The leader may appoint this node as a relay later.
            sleep(REPEAT_PAUSE).await;
            continue;
        };
        let pause = PAUSE_PER_ZONE * relays.len().max(1) as u32;
        let counts = node.with_fleet(|fleet, now_ms| fleet.zone_in_flight(now_ms));
        let message = PeerMessage::ZoneInFlight {
            order: sequence.next(),
            zone: node.settings.zone.clone(),
            counts: largest_counts(counts),
        };
        node.peers.send_to_other_zones(&message, relays);
        sleep(pause).await;
        wait_for_relevant_change(&node).await;
    }
}

/// Waits for a change that other zones need at once, or for [`REPEAT_PAUSE`]. Counts of a zone with
/// many free slots do not affect decisions elsewhere, and traffic between zones is expensive.
async fn wait_for_relevant_change(node: &Node) {
    let until = BootTime::now() + REPEAT_PAUSE;
    while timeout_at(until, node.peers.zone_changed.notified())
        .await
        .is_ok()
    {
        if node.with_fleet(|fleet, now_ms| fleet.needs_immediate_zone_reports(now_ms)) {
            return;
        }
    }
}

/// Returns as many counts as fit into a datagram, keeping the largest ones.
fn largest_counts(mut counts: Vec<WorkerCount>) -> Vec<WorkerCount> {
    if counts.len() > MAX_COUNTS_PER_DATAGRAM {
        counts.sort_unstable_by_key(|count| std::cmp::Reverse(count.requests));
        counts.truncate(MAX_COUNTS_PER_DATAGRAM);
    }
    counts
}
