//! What the nodes of a zone lack, and who makes it good.

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

fn zone(told: &[(u16, u32, u32)]) -> ZoneDemand {
    let mut zone = ZoneDemand::default();
    for (number, waiting, yielding) in told {
        zone.take(NOW, peer(*number), vec![demand(*waiting, *yielding)]);
    }
    zone
}

#[test]
fn a_free_place_goes_to_a_node_at_which_calls_wait() {
    let mut zone = zone(&[(1, 0, 3), (2, 2, 0)]);
    assert_eq!(zone.promise(NOW, "s", 0.0), Some(peer(2)));
    assert_eq!(zone.promise(NOW, "s", 0.99), Some(peer(2)));
    // Both of its calls have been served so; a place is not promised to a third.
    assert_eq!(zone.promise(NOW, "s", 0.5), None);
}

#[test]
fn calls_of_another_service_get_no_place() {
    let mut zone = zone(&[(1, 5, 0)]);
    assert_eq!(zone.promise(NOW, "other", 0.5), None);
    assert_eq!(zone.waiting(NOW, "other"), 0);
}

#[test]
fn what_a_silent_node_lacked_is_forgotten() {
    let mut zone = zone(&[(1, 5, 0)]);
    assert!(zone.any_waiting(NOW + 500));
    assert!(!zone.any_waiting(NOW + 1_000));
    assert_eq!(zone.promise(NOW + 1_000, "s", 0.5), None);
}

#[test]
fn a_node_whose_calls_are_served_lacks_nothing() {
    let mut zone = zone(&[(1, 5, 0)]);
    zone.take(NOW + 1, peer(1), Vec::new());
    assert!(!zone.any_waiting(NOW + 1));
}

#[test]
fn items_give_way_to_calls_of_other_nodes_once_and_then_wait_for_news() {
    let mut zone = zone(&[(1, 4, 0)]);
    assert_eq!(zone.share(NOW, &demand(0, 6), 0.5), 4);
    assert_eq!(zone.share(NOW + 5, &demand(0, 2), 0.5), 0);
    assert_eq!(zone.share(NOW + 100, &demand(0, 2), 0.5), 2);
}

#[test]
fn a_nodes_own_calls_are_helped_by_its_own_items_first() {
    // Node 1 has two items of its own for its two calls: nothing is lacking there.
    let mut zone = zone(&[(1, 2, 2)]);
    assert_eq!(zone.share(NOW, &demand(0, 6), 0.5), 0);
    // This node needs its only item itself.
    zone.take(NOW, peer(2), vec![demand(3, 0)]);
    assert_eq!(zone.share(NOW, &demand(1, 1), 0.0), 0);
}

proptest! {
    /// No node gives more than it can spare, and all together give about what is lacking
    /// or all that they have.
    #[test]
    fn nodes_share_what_the_zone_lacks(
        nodes in prop::collection::vec((0_u32..4, 0_u32..4), 2..60),
        draws in prop::collection::vec(0.0_f64..1.0, 60),
    ) {
        let lacking: u32 = nodes.iter().map(|(waiting, yielding)| waiting.saturating_sub(*yielding)).sum();
        let spare: u32 = nodes.iter().map(|(waiting, yielding)| yielding.saturating_sub(*waiting)).sum();
        let mut given = 0.0;
        for (own, (waiting, yielding)) in nodes.iter().enumerate() {
            let others: Vec<(u16, u32, u32)> = nodes
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != own)
                .map(|(other, (waiting, yielding))| (other as u16, *waiting, *yielding))
                .collect();
            let share = zone(&others).share(NOW, &demand(*waiting, *yielding), draws[own]);
            prop_assert!(share as u32 <= yielding.saturating_sub(*waiting));
            given += share as f64;
        }
        // Each node rounds by less than one.
        let wanted = f64::from(lacking.min(spare));
        prop_assert!((given - wanted).abs() <= nodes.len() as f64);
    }

    /// Places go to nodes in proportion to the calls that wait there, and to none more
    /// than it waits for.
    #[test]
    fn places_are_promised_no_more_often_than_calls_wait(
        waiting in prop::collection::vec(0_u32..5, 1..30),
        draws in prop::collection::vec(0.0_f64..1.0, 200),
    ) {
        let told: Vec<(u16, u32, u32)> =
            waiting.iter().enumerate().map(|(number, calls)| (number as u16, *calls, 0)).collect();
        let mut zone = zone(&told);
        let mut promised: HashMap<SocketAddr, u32> = HashMap::new();
        for draw in draws {
            if let Some(node) = zone.promise(NOW, "s", draw) {
                *promised.entry(node).or_default() += 1;
            }
        }
        for (number, calls) in waiting.iter().enumerate() {
            let got = promised.get(&peer(number as u16)).copied().unwrap_or(0);
            prop_assert_eq!(got, *calls);
        }
    }
}
