//! Which node of a zone takes a place that several see to be free.

use std::net::SocketAddr;

use pinerill_forward::dispatch::claims::{nodes_before, Contender, SeenPlaces};
use pinerill_forward::fleet::WorkerKey;
use proptest::prelude::*;

/// Time after which a place falls to one more node.
const NEXT_NODE_MS: u64 = 15;

fn address(number: usize) -> SocketAddr {
    ([127, 0, 1, number as u8], 7_720).into()
}

fn contenders(waiting: &[u32]) -> Vec<Contender> {
    let numbered = waiting.iter().enumerate();
    numbered
        .map(|(number, waiting)| Contender {
            node: address(number),
            waiting: *waiting,
        })
        .collect()
}

fn worker(number: usize) -> WorkerKey {
    WorkerKey::of(&format!("i-{number:08x}"))
}

/// How many others come before each contender at a worker.
fn ranks(contenders: &[Contender], worker: WorkerKey) -> Vec<usize> {
    contenders
        .iter()
        .map(|own| {
            let others: Vec<Contender> = contenders
                .iter()
                .copied()
                .filter(|other| other.node != own.node)
                .collect();
            nodes_before(*own, &others, worker)
        })
        .collect()
}

proptest! {
    /// As many nodes take places as there are, whoever waits; all nodes agree.
    #[test]
    fn free_places_fall_to_as_many_nodes(
        waiting in prop::collection::vec(1_u32..20, 1..30),
        free in 1_usize..4,
        number in 0_usize..1_000,
    ) {
        let contenders = contenders(&waiting);
        let takers = ranks(&contenders, worker(number))
            .into_iter()
            .filter(|before| SeenPlaces::default().may_take(0, worker(number), free, *before))
            .count();
        prop_assert_eq!(takers, free.min(contenders.len()));
    }

    /// A place that stays free falls to every node in the end.
    #[test]
    fn a_place_that_stays_free_falls_to_the_next_node(
        before in 0_usize..20,
        free in 1_usize..4,
    ) {
        let mut seen = SeenPlaces::default();
        let mut now_ms = 0;
        while !seen.may_take(now_ms, worker(1), free, before) {
            now_ms += 5;
        }
        let later = before.saturating_sub(free - 1) as u64;
        prop_assert!(now_ms >= later * NEXT_NODE_MS && now_ms < (later + 1) * NEXT_NODE_MS);
    }
}

#[test]
fn a_place_that_was_taken_or_not_seen_is_seen_anew() {
    let mut seen = SeenPlaces::default();
    assert!(!seen.may_take(0, worker(1), 1, 1));
    assert!(seen.may_take(20, worker(1), 1, 1));
    seen.taken(worker(1));
    assert!(!seen.may_take(21, worker(1), 1, 1));
    assert!(!seen.may_take(100, worker(1), 1, 1));
    seen.forget_old(1_000);
    assert!(!seen.may_take(1_001, worker(1), 1, 1));
}

#[test]
fn a_look_at_an_earlier_time_takes_nothing_more() {
    let mut seen = SeenPlaces::default();
    assert!(!seen.may_take(101, worker(1), 1, 1));
    assert!(!seen.may_take(100, worker(1), 1, 1));
}

#[test]
fn a_node_alone_takes_what_it_sees() {
    let own = contenders(&[1])[0];
    assert_eq!(nodes_before(own, &[], worker(1)), 0);
    let idle = Contender {
        node: address(9),
        waiting: 0,
    };
    assert_eq!(nodes_before(own, &[idle], worker(1)), 0);
}

#[test]
fn nodes_get_places_by_the_calls_that_wait_there() {
    let contenders = contenders(&[1, 3]);
    let workers = 4_000;
    let won = (0..workers)
        .filter(|number| ranks(&contenders, worker(*number))[1] == 0)
        .count();
    let share = won as f64 / workers as f64;
    assert!((0.70..0.80).contains(&share), "{share}");
}

/// A zone of 17 nodes at each of which a call waits; workers' places become free one after
/// the other, each node sees one 0.3 ms after the node before it, and what it takes is told
/// 6 ms later. Calls that reach a worker without a free place, of all that were sent.
fn sent_in_vain(falls_to_one: bool) -> (usize, usize) {
    const NODES: usize = 17;
    let contenders = contenders(&[2; NODES]);
    let (mut sent, mut in_vain) = (0, 0);
    for number in 0..500 {
        let key = worker(number);
        let ranks = ranks(&contenders, key);
        let mut takers = 0;
        for (position, before) in ranks.into_iter().enumerate() {
            let sees_at_ms = position as f64 * 0.3;
            let told_in_time = takers > 0 && sees_at_ms >= 6.0;
            let mut seen = SeenPlaces::default();
            let may_take = !falls_to_one || seen.may_take(0, key, 1, before);
            takers += usize::from(may_take && !told_in_time);
        }
        sent += takers;
        in_vain += takers.saturating_sub(1);
    }
    (sent, in_vain)
}

#[test]
fn a_zone_of_waiting_nodes_sends_one_call_to_a_place() {
    // Before: each node that sees the place sends a call there, 16 of 17 in vain.
    assert_eq!(sent_in_vain(false), (8_500, 8_000));
    assert_eq!(sent_in_vain(true), (500, 0));
}
