//! Tests which node of a zone claims a free slot that several nodes see.

use std::net::SocketAddr;

use pinerill_forward::dispatch::claims::{nodes_ahead, Contender, FreeSlotClaims};
use pinerill_forward::fleet::WorkerKey;
use proptest::prelude::*;

/// Time after which one more node may claim a slot that stays free.
const NEXT_NODE_DELAY_MS: u64 = 15;

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
    WorkerKey::from_id(&format!("i-{number:08x}"))
}

/// Returns for each contender how many others precede it in the claim order at a worker.
fn positions(contenders: &[Contender], worker: WorkerKey) -> Vec<usize> {
    contenders
        .iter()
        .map(|own| {
            let others: Vec<Contender> = contenders
                .iter()
                .copied()
                .filter(|other| other.node != own.node)
                .collect();
            nodes_ahead(*own, &others, worker)
        })
        .collect()
}

proptest! {
    /// If nodes computed different claim orders, several of them would send a call to the same
    /// slot, or none would. For any distribution of waiting calls, exactly as many nodes claim at
    /// once as slots are free (or all nodes, if there are fewer).
    #[test]
    fn as_many_nodes_claim_as_slots_are_free(
        waiting in prop::collection::vec(1_u32..20, 1..30),
        free in 1_usize..4,
        number in 0_usize..1_000,
    ) {
        let contenders = contenders(&waiting);
        let claimants = positions(&contenders, worker(number))
            .into_iter()
            .filter(|ahead| FreeSlotClaims::default().may_claim(0, worker(number), free, *ahead))
            .count();
        prop_assert_eq!(claimants, free.min(contenders.len()));
    }

    /// A slot whose first claimant does not use it must not stay idle: every node may claim it in
    /// the end, one more each `NEXT_NODE_DELAY_MS`.
    #[test]
    fn slot_that_stays_free_becomes_claimable_by_the_next_node(
        ahead in 0_usize..20,
        free in 1_usize..4,
    ) {
        let mut claims = FreeSlotClaims::default();
        let mut now_ms = 0;
        while !claims.may_claim(now_ms, worker(1), free, ahead) {
            now_ms += 5;
        }
        let later = ahead.saturating_sub(free - 1) as u64;
        prop_assert!(now_ms >= later * NEXT_NODE_DELAY_MS && now_ms < (later + 1) * NEXT_NODE_DELAY_MS);
    }
}

#[test]
fn claim_delay_restarts_after_a_claim_or_an_expired_observation() {
    let mut claims = FreeSlotClaims::default();
    assert!(!claims.may_claim(0, worker(1), 1, 1));
    assert!(claims.may_claim(20, worker(1), 1, 1));
    claims.record_claim(worker(1));
    assert!(!claims.may_claim(21, worker(1), 1, 1));
    assert!(!claims.may_claim(100, worker(1), 1, 1));
    claims.remove_stale(1_000);
    assert!(!claims.may_claim(1_001, worker(1), 1, 1));
}

#[test]
fn earlier_timestamp_does_not_permit_a_claim() {
    let mut claims = FreeSlotClaims::default();
    assert!(!claims.may_claim(101, worker(1), 1, 1));
    assert!(!claims.may_claim(100, worker(1), 1, 1));
}

#[test]
fn only_node_with_waiting_calls_has_no_node_ahead() {
    let own = contenders(&[1])[0];
    assert_eq!(nodes_ahead(own, &[], worker(1)), 0);
    let idle = Contender {
        node: address(9),
        waiting: 0,
    };
    assert_eq!(nodes_ahead(own, &[idle], worker(1)), 0);
}

#[test]
fn nodes_claim_slots_in_proportion_to_their_waiting_calls() {
    let contenders = contenders(&[1, 3]);
    let workers = 4_000;
    let first_claims = (0..workers)
        .filter(|number| positions(&contenders, worker(*number))[1] == 0)
        .count();
    let share = first_claims as f64 / workers as f64;
    assert!((0.70..0.80).contains(&share), "{share}");
}

/// Simulates a zone of 17 nodes with waiting calls. Slots become free at one worker after the
/// other; each node sees a free slot 0.3 ms after the node before it, and learns 6 ms later that it
/// was claimed. Returns the number of calls sent, and of those that reached a worker without a free
/// slot.
fn simulate_claims(claims_limited: bool) -> (usize, usize) {
    const NODES: usize = 17;
    let contenders = contenders(&[2; NODES]);
    let (mut sent, mut misdirected) = (0, 0);
    for number in 0..500 {
        let key = worker(number);
        let positions = positions(&contenders, key);
        let mut claimants = 0;
        for (position, ahead) in positions.into_iter().enumerate() {
            let observed_ms = position as f64 * 0.3;
            let claim_known = claimants > 0 && observed_ms >= 6.0;
            let mut claims = FreeSlotClaims::default();
            let may_claim = !claims_limited || claims.may_claim(0, key, 1, ahead);
            claimants += usize::from(may_claim && !claim_known);
        }
        sent += claimants;
        misdirected += claimants.saturating_sub(1);
    }
    (sent, misdirected)
}

#[test]
fn zone_of_waiting_nodes_sends_one_call_per_free_slot() {
    // Without claims each node that sees the slot sends a call there, 16 of 17 to an occupied slot.
    assert_eq!(simulate_claims(false), (8_500, 8_000));
    assert_eq!(simulate_claims(true), (500, 0));
}
