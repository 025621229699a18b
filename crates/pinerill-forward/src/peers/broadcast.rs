//! Tells others what this node, and a relay what its zone, has in flight.

use std::sync::Arc;
use std::time::Duration;

use pinerill_process::clock::{timeout_at, BootTime};
use tokio::time::{sleep, timeout};

use super::message::{PeerMessage, COUNTS_TOLD};
use super::Peers;
use crate::fleet::{TellingOrder, WorkerCount};
use crate::node::Node;

/// Shortest pause between two tellings, for each node of the zone that is told: the more
/// there are, the more each has to hear. With 20 nodes and 30 workers a zone, the share
/// of calls in time is 0.88 at 1.2 ms a node and 0.92 at 0.3 ms (means of two days with
/// faults, two seeds each).
const PAUSE_PER_PEER: Duration = Duration::from_micros(300);
/// Bounds of that pause.
const SHORTEST_PAUSE: Duration = Duration::from_millis(6);
const LONGEST_PAUSE: Duration = Duration::from_millis(150);
/// Pause between two tellings of a zone's counts by one relay, for each other zone: a node
/// hears 80 such messages a second of two relays a zone, however many zones and nodes there
/// are. Each costs it some 26 us of processor time; with 200 a second, at 40 ms and five
/// zones, all processes of 250 nodes took 241 s on a quiet day, and 160 s with none.
pub(super) const PAUSE_PER_ZONE: Duration = Duration::from_millis(25);
/// How long a change is held back while calls wait here: a place that becomes free is
/// taken again at once by one of them, and a peer that was told of it in between would
/// take it too.
const GATHER_PAUSE: Duration = Duration::from_millis(2);
/// Counts are told again after this time though nothing changed, since a
/// datagram may have been lost.
const REPEAT_PAUSE: Duration = Duration::from_millis(500);
/// Time beyond the pause between two tellings for which a promised place counts as taken:
/// until the node that it was promised to has told that it sent a call there.
const PROMISE_MARGIN: Duration = Duration::from_millis(6);

impl Peers {
    /// Pause between two tellings of this node's counts.
    fn pause(&self) -> Duration {
        let peers = self.near_count() as u32;
        (PAUSE_PER_PEER * peers).clamp(SHORTEST_PAUSE, LONGEST_PAUSE)
    }
}

/// How long a place that is promised to another node counts as taken.
pub(crate) fn promise_time(peers: &Peers) -> Duration {
    peers.pause() + PROMISE_MARGIN
}

/// Names the messages of one task of this node.
struct Sequence(TellingOrder);

impl Sequence {
    fn new() -> Self {
        Sequence(TellingOrder {
            start: rand::random(),
            sequence: 0,
        })
    }

    fn next(&mut self) -> TellingOrder {
        self.0.sequence += 1;
        self.0
    }
}

/// Tells the nodes of the zone what is in flight and lacking here, whenever it changes.
pub(crate) async fn broadcast_counts(node: Arc<Node>) {
    let mut idle_told = false;
    let mut sequence = Sequence::new();
    loop {
        let counts = bounded(node.with_fleet(|fleet, now_ms| fleet.in_flight(now_ms)));
        let demand = node.dispatcher.own_demand(&node);
        let idle = counts.is_empty() && demand.is_empty();
        if !(idle && idle_told) {
            node.peers.send_near(&PeerMessage::InFlight {
                order: sequence.next(),
                counts,
                demand,
            });
        }
        idle_told = idle;
        sleep(node.peers.pause()).await;
        // Either something changed or it is time to repeat what was told.
        let _ = timeout(REPEAT_PAUSE, node.peers.changed.notified()).await;
        if node.dispatcher.waiting() > 0 {
            sleep(GATHER_PAUSE).await;
        }
    }
}

/// Tells relays of other zones what is in flight in this one, while this node is a relay.
pub(crate) async fn broadcast_zone_counts(node: Arc<Node>) {
    let mut sequence = Sequence::new();
    loop {
        let Some(relays) = node.peers.told_relays() else {
            // The leader may name this node later.
            sleep(REPEAT_PAUSE).await;
            continue;
        };
        let pause = PAUSE_PER_ZONE * relays.len().max(1) as u32;
        let counts = node.with_fleet(|fleet, now_ms| fleet.zone_in_flight(now_ms));
        let message = PeerMessage::ZoneInFlight {
            order: sequence.next(),
            zone: node.settings.zone.clone(),
            counts: bounded(counts),
        };
        node.peers.send_far(&message, relays);
        sleep(pause).await;
        until_worth_telling(&node).await;
    }
}

/// Waits until something has changed that other zones should hear at once, or for a while. How
/// many requests run in a zone with much room decides nothing elsewhere, and bytes between
/// zones are dear.
async fn until_worth_telling(node: &Node) {
    let until = BootTime::now() + REPEAT_PAUSE;
    while timeout_at(until, node.peers.zone_changed.notified())
        .await
        .is_ok()
    {
        if node.with_fleet(|fleet, now_ms| fleet.zone_has_little_room(now_ms)) {
            return;
        }
    }
}

/// As many counts as fit into a datagram, the largest ones.
fn bounded(mut counts: Vec<WorkerCount>) -> Vec<WorkerCount> {
    if counts.len() > COUNTS_TOLD {
        counts.sort_unstable_by_key(|count| std::cmp::Reverse(count.requests));
        counts.truncate(COUNTS_TOLD);
    }
    counts
}
