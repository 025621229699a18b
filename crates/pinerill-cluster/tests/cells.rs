//! Cost of watches for the leader, and the neighbours that it gives to each node.
//!
//! The tests count the bytes and addresses in answers instead of measuring time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use pinerill_calls::cells::CellId;
use pinerill_calls::directory::{DirectoryChange, WorkerEntry, WorkerId, WorkerState};
use pinerill_calls::table::{AllowedRegions, RequestLimits, Route, RouteKind, RouteTable, Target};
use pinerill_cluster::cells::{Cells, WatchingNode};

const ZONES: u32 = 5;
/// Size of the fleet, ten times that of the largest fleet with a single directory.
const NODES: u32 = 1_000;
const WORKERS: u32 = 10_000;
/// Limit on the growth of the total work of all nodes if the fleet doubles.
const MAX_GROWTH: f64 = 2.2;

fn worker(number: u32) -> WorkerEntry {
    WorkerEntry {
        id: WorkerId::new(&format!("i-{number:08x}"), Some(1_700_000_000_000)),
        service: "service".to_owned(),
        address: ([10, 0, (number >> 8) as u8, number as u8], 8080).into(),
        zone: zone(number),
        slots: 8,
        state: WorkerState::Ready,
        cold_left_ms: 0,
        version: None,
    }
}

fn zone(number: u32) -> String {
    format!("zone-{}", number % ZONES)
}

fn address(number: u32) -> SocketAddr {
    ([10, 1, (number >> 8) as u8, number as u8], 7020).into()
}

fn record_node(cells: &mut Cells, now_ms: u64, number: u32, cell: Option<CellId>) -> CellId {
    let (name, zone) = (format!("node-{number:05}"), zone(number));
    let node = WatchingNode {
        name: &name,
        zone: &zone,
        peer: address(number),
        cell,
    };
    cells.record_node(now_ms, &node)
}

/// Returns the cells of a fleet that has just started, and the cell of each node.
fn start_fleet(nodes: u32, workers: u32) -> (Cells, Vec<CellId>) {
    let mut cells = Cells::default();
    cells.update_workers(0, (0..workers).map(worker).collect());
    let assigned = (0..nodes).map(|number| record_node(&mut cells, 0, number, None));
    let assigned = assigned.collect();
    (cells, assigned)
}

/// Returns the total size of the first updates of all nodes, bytes.
fn initial_update_bytes(nodes: u32, workers: u32) -> usize {
    let (mut cells, assigned) = start_fleet(nodes, workers);
    let updates = assigned.iter().filter_map(|cell| cells.update(*cell, None));
    updates.map(|update| update.size()).sum()
}

/// Returns the total size of the updates after one in a hundred workers was replaced, bytes,
/// and the number of nodes that receive one.
fn change_update_bytes(nodes: u32, workers: u32) -> (usize, usize) {
    let (mut cells, assigned) = start_fleet(nodes, workers);
    let held: Vec<_> = assigned
        .iter()
        .map(|cell| cells.directory(*cell).current().map(|held| held.digest()))
        .collect();
    let moved = workers / 100;
    cells.update_workers(1_000, (moved..workers + moved).map(worker).collect());
    let updates = assigned.iter().zip(held);
    let updates = updates.filter_map(|(cell, held)| cells.update(*cell, held));
    let sizes: Vec<usize> = updates
        .map(|update| {
            let change = update.unpack().expect("an update").change;
            let is_difference = matches!(change, DirectoryChange::Difference { .. });
            assert!(
                is_difference,
                "a node that holds the previous directory gets a difference"
            );
            update.size()
        })
        .collect();
    (sizes.iter().sum(), sizes.len())
}

#[test]
fn initial_update_bytes_grow_no_faster_than_the_fleet() {
    let once = initial_update_bytes(NODES, WORKERS);
    let twice = initial_update_bytes(2 * NODES, 2 * WORKERS);
    println!("{once} bytes at {NODES} nodes, {twice} at twice the size");
    assert!(twice as f64 <= once as f64 * MAX_GROWTH);
    // One whole directory for each node takes 690 MB.
    assert!(once <= 8_000_000, "{once} bytes");
}

#[test]
fn change_update_bytes_grow_no_faster_than_the_fleet() {
    let (once, updated_nodes) = change_update_bytes(NODES, WORKERS);
    let (twice, _) = change_update_bytes(2 * NODES, 2 * WORKERS);
    println!("{once} bytes to {updated_nodes} nodes, {twice} bytes at twice the size");
    assert!(twice as f64 <= once as f64 * MAX_GROWTH);
}

#[test]
fn the_number_of_neighbours_does_not_grow_with_the_fleet() {
    let most = |nodes, workers| {
        let (cells, assigned) = start_fleet(nodes, workers);
        let counts = assigned.iter().enumerate().map(|(number, cell)| {
            let number = number as u32;
            let known = cells.neighbours(*cell, &zone(number), address(number));
            let relays: usize = known.relays.iter().map(|one| one.addresses.len()).sum();
            known.peers.len() + relays + known.bridges.len()
        });
        counts.max().unwrap_or(0)
    };
    let (once, twice) = (most(NODES, WORKERS), most(2 * NODES, 2 * WORKERS));
    println!("{once} neighbours at {NODES} nodes, {twice} at twice the size");
    // Doubling the fleet doubles the number of cells, which adds one bridge.
    assert!(twice <= once + 2, "{once}, {twice}");
}

#[test]
fn an_unknown_digest_gets_the_whole_directory_and_a_current_one_no_update() {
    let (mut cells, assigned) = start_fleet(20, 100);
    let digest = |cells: &Cells| {
        cells
            .directory(assigned[0])
            .current()
            .map(|held| held.digest())
    };
    let old = digest(&cells);
    cells.update_workers(1_000, (1..101).map(worker).collect());
    assert_eq!(cells.update(assigned[0], digest(&cells)), None);
    let whole = cells.update(assigned[0], None).expect("an update");
    let workers = match whole.unpack().expect("a whole directory").change {
        DirectoryChange::Whole(workers) => workers,
        DirectoryChange::Difference { .. } => panic!("a difference without a base"),
    };
    assert_eq!(workers.len(), 100);
    // A directory that was dropped from the history counts as unknown.
    for step in 2..12 {
        cells.update_workers(
            step * 1_000,
            (step as u32..100 + step as u32).map(worker).collect(),
        );
    }
    let whole = cells.update(assigned[0], old).expect("an update");
    let change = whole.unpack().expect("a whole directory").change;
    assert!(matches!(change, DirectoryChange::Whole(_)));
}

#[test]
fn the_nodes_of_each_zone_are_spread_evenly_over_the_cells() {
    let (_, assigned) = start_fleet(NODES, WORKERS);
    let mut counts: HashMap<(u32, String), u32> = HashMap::new();
    for (number, cell) in assigned.iter().enumerate() {
        *counts.entry((cell.index, zone(number as u32))).or_default() += 1;
    }
    let (least, most) = (counts.values().min(), counts.values().max());
    assert!(most
        .zip(least)
        .is_some_and(|(most, least)| most - least <= 1));
    assert_eq!(
        counts.len() as u32,
        assigned[0].count * ZONES,
        "every zone has nodes in every cell"
    );
}

#[test]
fn a_node_stays_in_its_cell_under_another_leader() {
    let (_, assigned) = start_fleet(NODES, WORKERS);
    let mut next = Cells::default();
    // Nodes watch before the new leader has polled the list.
    for (number, cell) in assigned.iter().enumerate() {
        record_node(&mut next, 0, number as u32, Some(*cell));
    }
    next.update_workers(100, (0..WORKERS).map(worker).collect());
    for (number, cell) in assigned.iter().enumerate() {
        assert_eq!(
            record_node(&mut next, 200, number as u32, Some(*cell)),
            *cell
        );
    }
}

#[test]
fn updates_reach_all_cells_through_bridges() {
    let (cells, assigned) = start_fleet(NODES, WORKERS);
    let count = assigned[0].count;
    let bridge_of: HashMap<SocketAddr, u32> = assigned
        .iter()
        .enumerate()
        .map(|(number, cell)| (address(number as u32), cell.index))
        .collect();
    let mut reached = vec![false; count as usize];
    let mut steps = vec![0];
    reached[0] = true;
    let mut rounds = 0;
    while reached.iter().any(|one| !one) {
        rounds += 1;
        assert!(
            rounds <= count.trailing_zeros(),
            "not all cells reached after {rounds} steps"
        );
        let mut next = Vec::new();
        for index in steps {
            let cell = CellId { index, count };
            let own = assigned.iter().enumerate().filter(|one| *one.1 == cell);
            for (number, _) in own {
                let number = number as u32;
                let known = cells.neighbours(cell, &zone(number), address(number));
                for bridge in known.bridges {
                    let other = bridge_of[&bridge];
                    if !std::mem::replace(&mut reached[other as usize], true) {
                        next.push(other);
                    }
                }
            }
        }
        steps = next;
    }
}

#[test]
fn a_silent_node_is_removed_and_assigned_again() {
    let (mut cells, assigned) = start_fleet(10, 50);
    assert_eq!((cells.count(), cells.node_count()), (1, 10));
    for number in 1..10 {
        record_node(&mut cells, 2_000, number, Some(assigned[0]));
    }
    record_node(&mut cells, 3_000, 1, Some(assigned[0]));
    assert_eq!(cells.node_count(), 9);
    record_node(&mut cells, 3_100, 0, None);
    assert_eq!(cells.node_count(), 10);
    let known = cells.neighbours(assigned[0], &zone(0), address(0));
    assert_eq!(known.peers, [address(0), address(5)]);
    assert!(known.bridges.is_empty(), "a single cell needs no bridges");
}

#[test]
fn the_leader_knows_how_long_a_version_is_no_longer_listed() {
    let of = |number: u32, version: &str| WorkerEntry {
        version: Some(version.to_owned()),
        ..worker(number)
    };
    let mut cells = Cells::default();
    cells.update_workers(1_000, vec![of(1, "v1"), of(2, "v2")]);
    cells.update_workers(2_000, vec![of(2, "v2")]);
    cells.update_workers(3_000, vec![of(2, "v2")]);
    let known = cells.versions(4_500);
    assert_eq!(known.len(), 1);
    assert_eq!(known[0].known_for_ms, 3_500);
    let ages: Vec<(Option<&str>, u64)> = known[0]
        .versions
        .iter()
        .map(|age| (age.version.as_deref(), age.unlisted_for_ms))
        .collect();
    assert_eq!(ages, [(Some("v2"), 0), (Some("v1"), 2_500)]);
}

/// Guards against a leader that tells nodes a history of streams which began at another service.
#[test]
fn the_leader_tells_a_short_history_of_a_service_that_a_route_moved_to() {
    let table = |version: u64, service: &str| {
        Arc::new(RouteTable {
            version,
            routes: vec![stream_route(service)],
            services: Vec::new(),
            limits: RequestLimits::default(),
            tenants: None,
        })
    };
    let mut cells = Cells::default();
    cells.update_workers(1_000, vec![worker(1)]);
    cells.record_table(1_500, &table(1, "other"));
    assert_eq!(cells.versions(4_000)[0].known_for_ms, 3_000);
    cells.record_table(3_500, &table(2, "service"));
    cells.record_table(3_900, &table(1, "other"));
    cells.record_table(3_900, &table(2, "service"));
    assert_eq!(cells.versions(4_000)[0].known_for_ms, 500);
}

fn stream_route(service: &str) -> Route {
    Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::ResumableStream,
        timeout_ms: 4_000,
        objective_ms: 1_000,
        rank: 0,
        targets: vec![Target {
            service: service.to_owned(),
            weight: 1,
        }],
        attempts: 2,
        gap_ms: None,
        caller_idle_timeout_ms: None,
        batch: None,
        is_public: true,
        allowed_regions: AllowedRegions::default(),
    }
}
