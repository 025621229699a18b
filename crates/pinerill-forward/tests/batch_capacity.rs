//! How many items of each service a node asks the leader for.

use pinerill_calls::directory::{WorkerEntry, WorkerId, WorkerState};
use pinerill_forward::fleet::{ChoiceSettings, Fleet};

/// Share of the slots that items may use.
const SHARE: f64 = 0.84;
/// Evenly spread values in place of random numbers.
const DRAWS: u32 = 1_000;

fn entry(id: &str, service: &str, zone: &str, slots: u32) -> WorkerEntry {
    WorkerEntry {
        id: WorkerId::new(id, None),
        service: service.to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zone.to_owned(),
        slots,
        state: WorkerState::Ready,
        cold_left_ms: 0,
        version: None,
    }
}

fn fleet(entries: &[WorkerEntry]) -> Fleet {
    let settings = ChoiceSettings {
        batch_share: SHARE,
        ..ChoiceSettings::default()
    };
    let mut fleet = Fleet::new("near", settings);
    fleet.apply_directory(0, entries);
    fleet
}

fn capacities(fleet: &Fleet, nodes: u32, draw: f64) -> Vec<(String, u32)> {
    let capacities = fleet.batch_capacities(0, nodes, || draw);
    let capacities = capacities.into_iter();
    capacities.map(|one| (one.service, one.items)).collect()
}

/// Guards against free slots of one service that count as capacity for items of another.
#[test]
fn each_service_has_the_capacity_of_its_own_workers() {
    let mut fleet = fleet(&[entry("b", "busy", "near", 4), entry("i", "idle", "near", 6)]);
    let both = [("busy".to_owned(), 3), ("idle".to_owned(), 5)];
    assert_eq!(capacities(&fleet, 1, 0.0), both);
    for _ in 0..3 {
        fleet.begin_request(0, "b", 0.0);
    }
    assert_eq!(capacities(&fleet, 1, 0.999), [("idle".to_owned(), 5)]);
}

/// Guards against free slots that no node uses, since each node's share is less than one item: over
/// time the nodes ask for as many items together as there are free slots, and none for a full one.
#[test]
fn nodes_that_outnumber_free_slots_ask_for_as_many_items_together() {
    let mut fleet = fleet(&[entry("a", "s", "near", 2), entry("b", "s", "near", 2)]);
    let nodes = 8;
    let asked = |fleet: &Fleet| -> u32 {
        let draws = (0..DRAWS).map(|number| f64::from(number) / f64::from(DRAWS));
        let items = draws.flat_map(|draw| capacities(fleet, nodes, draw));
        items.map(|(_, items)| items).sum::<u32>() * nodes
    };
    assert_eq!(asked(&fleet), 2 * DRAWS);
    fleet.begin_request(0, "a", 0.0);
    assert_eq!(asked(&fleet), DRAWS);
    fleet.begin_request(0, "b", 0.0);
    assert_eq!(asked(&fleet), 0);
}

/// Guards against a service that is served in another zone alone, where zones with workers of other
/// services count as if they served it.
#[test]
fn a_service_without_workers_here_is_shared_by_all_nodes() {
    let fleet = fleet(&[
        entry("n", "near-one", "near", 25),
        entry("f", "far-one", "far", 25),
    ]);
    let expected = [("far-one".to_owned(), 5), ("near-one".to_owned(), 10)];
    assert_eq!(capacities(&fleet, 4, 0.0), expected);
    assert!(fleet.has_batch_slot(0, "far-one"));
    assert!(!fleet.has_batch_slot(0, "unknown"));
}
