//! Tests how waiting calls of a zone are divided among its nodes' preemptible items and free slots.

use std::collections::HashMap;
use std::net::SocketAddr;

use pinerill_forward::dispatch::demand::{ServiceDemand, ZoneDemand};
use proptest::prelude::*;

const NOW: u64 = 10_000;

fn peer(number: u16) -> SocketAddr {
    ([127, 0, 0, 2], number).into()
}

fn demand(waiting: u32, yielding: u32) -> ServiceDemand {
    ServiceDemand {
        service: "s".to_owned(),
        waiting,
        yielding,
    }
}

fn zone(reports: &[(u16, u32, u32)]) -> ZoneDemand {
    let mut zone = ZoneDemand::default();
    for (number, waiting, yielding) in reports {
        zone.update(NOW, peer(*number), vec![demand(*waiting, *yielding)]);
    }
    zone
}

#[test]
fn free_slot_is_promised_to_a_node_with_waiting_calls() {
    let mut zone = zone(&[(1, 0, 3), (2, 2, 0)]);
    assert_eq!(zone.promise_slot(NOW, "s", 0.0), Some(peer(2)));
    assert_eq!(zone.promise_slot(NOW, "s", 0.99), Some(peer(2)));
    // Both of its calls count as served, so no slot is promised to a third one.
    assert_eq!(zone.promise_slot(NOW, "s", 0.5), None);
}

#[test]
fn slot_is_not_promised_to_calls_of_another_service() {
    let mut zone = zone(&[(1, 5, 0)]);
    assert_eq!(zone.promise_slot(NOW, "other", 0.5), None);
    assert_eq!(zone.waiting(NOW, "other"), 0);
}

#[test]
fn report_of_a_silent_node_expires() {
    let mut zone = zone(&[(1, 5, 0)]);
    assert!(zone.any_waiting(NOW + 500));
    assert!(!zone.any_waiting(NOW + 1_000));
    assert_eq!(zone.promise_slot(NOW + 1_000, "s", 0.5), None);
}

#[test]
fn empty_report_clears_the_demand_of_a_node() {
    let mut zone = zone(&[(1, 5, 0)]);
    zone.update(NOW + 1, peer(1), Vec::new());
    assert!(!zone.any_waiting(NOW + 1));
}

#[test]
fn items_are_preempted_for_peers_once_until_new_reports_can_arrive() {
    let mut zone = zone(&[(1, 4, 0)]);
    assert_eq!(zone.preemption_share(NOW, &demand(0, 6), 0.5), 4);
    assert_eq!(zone.preemption_share(NOW + 5, &demand(0, 2), 0.5), 0);
    assert_eq!(zone.preemption_share(NOW + 100, &demand(0, 2), 0.5), 2);
}

#[test]
fn node_preempts_its_own_items_for_its_own_calls_first() {
    // Node 1 has two items of its own for its two calls, so nothing is lacking there.
    let mut zone = zone(&[(1, 2, 2)]);
    assert_eq!(zone.preemption_share(NOW, &demand(0, 6), 0.5), 0);
    // This node needs its only item itself.
    zone.update(NOW, peer(2), vec![demand(3, 0)]);
    assert_eq!(zone.preemption_share(NOW, &demand(1, 1), 0.0), 0);
}

proptest! {
    /// If the nodes' shares did not add up, a burst would preempt too many items or leave calls
    /// waiting. No node preempts more items than it can spare, and all together preempt about as
    /// many as the zone lacks, or all that they can spare.
    #[test]
    fn nodes_together_preempt_what_the_zone_is_short_of(
        nodes in prop::collection::vec((0_u32..4, 0_u32..4), 2..60),
        draws in prop::collection::vec(0.0_f64..1.0, 60),
    ) {
        let lacking: u32 = nodes.iter().map(|(waiting, yielding)| waiting.saturating_sub(*yielding)).sum();
        let spare: u32 = nodes.iter().map(|(waiting, yielding)| yielding.saturating_sub(*waiting)).sum();
        let mut preempted = 0.0;
        for (own, (waiting, yielding)) in nodes.iter().enumerate() {
            let others: Vec<(u16, u32, u32)> = nodes
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != own)
                .map(|(other, (waiting, yielding))| (other as u16, *waiting, *yielding))
                .collect();
            let share = zone(&others).preemption_share(NOW, &demand(*waiting, *yielding), draws[own]);
            prop_assert!(share as u32 <= yielding.saturating_sub(*waiting));
            preempted += share as f64;
        }
        // Each node rounds by less than one.
        let expected = f64::from(lacking.min(spare));
        prop_assert!((preempted - expected).abs() <= nodes.len() as f64);
    }

    /// Each waiting call gets one promise: no node is promised more slots than it has waiting
    /// calls, and none is left out.
    #[test]
    fn each_node_is_promised_as_many_slots_as_calls_wait_there(
        waiting in prop::collection::vec(0_u32..5, 1..30),
        draws in prop::collection::vec(0.0_f64..1.0, 200),
    ) {
        let reports: Vec<(u16, u32, u32)> =
            waiting.iter().enumerate().map(|(number, calls)| (number as u16, *calls, 0)).collect();
        let mut zone = zone(&reports);
        let mut promised: HashMap<SocketAddr, u32> = HashMap::new();
        for draw in draws {
            if let Some(node) = zone.promise_slot(NOW, "s", draw) {
                *promised.entry(node).or_default() += 1;
            }
        }
        for (number, calls) in waiting.iter().enumerate() {
            let count = promised.get(&peer(number as u16)).copied().unwrap_or(0);
            prop_assert_eq!(count, *calls);
        }
    }
}
