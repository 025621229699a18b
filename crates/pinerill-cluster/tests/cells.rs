//! The leader's work for nodes that watch, and which nodes deal with each other.
//!
//! Work is counted, not timed: entries and addresses that are put into answers.

use std::collections::HashMap;
use std::net::SocketAddr;

use pinerill_calls::cells::CellId;
use pinerill_calls::directory::{DirectoryChange, WorkerEntry, WorkerId, WorkerState};
use pinerill_cluster::cells::{Cells, WatchingNode};

const ZONES: u32 = 5;
/// A fleet of ten times as many nodes as the largest that had one directory for all.
const NODES: u32 = 1_000;
const WORKERS: u32 = 10_000;
/// How much the work of all nodes together may grow where there are twice as many.
const MOST_GROWTH: f64 = 2.2;

fn worker(number: u32) -> WorkerEntry {
    WorkerEntry {
        id: WorkerId::new(&format!("i-{number:08x}"), Some(1_700_000_000_000)),
        service: "service".to_owned(),
        address: ([10, 0, (number >> 8) as u8, number as u8], 8080).into(),
        zone: zone(number),
        slots: 8,
        state: WorkerState::Ready,
        cold_left_ms: 0,
    }
}

fn zone(number: u32) -> String {
    format!("zone-{}", number % ZONES)
}

fn address(number: u32) -> SocketAddr {
    ([10, 1, (number >> 8) as u8, number as u8], 7020).into()
}

fn hear(cells: &mut Cells, now_ms: u64, number: u32, cell: Option<CellId>) -> CellId {
    let (name, zone) = (format!("node-{number:05}"), zone(number));
    let node = WatchingNode {
        name: &name,
        zone: &zone,
        peer: address(number),
        cell,
    };
    cells.record_node(now_ms, &node)
}

/// A fleet that has just started, and the cell of each node.
fn started(nodes: u32, workers: u32) -> (Cells, Vec<CellId>) {
    let mut cells = Cells::default();
    cells.update_workers(0, (0..workers).map(worker).collect());
    let placed = (0..nodes).map(|number| hear(&mut cells, 0, number, None));
    let placed = placed.collect();
    (cells, placed)
}

/// Bytes of the directories that all nodes are told at a start.
fn bytes_at_start(nodes: u32, workers: u32) -> usize {
    let (mut cells, placed) = started(nodes, workers);
    let updates = placed.iter().filter_map(|cell| cells.update(*cell, None));
    updates.map(|update| update.size()).sum()
}

/// Bytes that all nodes are told after a hundredth of the workers was replaced, and how many
/// nodes are told anything.
fn bytes_of_a_change(nodes: u32, workers: u32) -> (usize, usize) {
    let (mut cells, placed) = started(nodes, workers);
    let held: Vec<_> = placed
        .iter()
        .map(|cell| cells.directory(*cell).current().map(|held| held.digest()))
        .collect();
    let moved = workers / 100;
    cells.update_workers(1_000, (moved..workers + moved).map(worker).collect());
    let updates = placed.iter().zip(held);
    let updates = updates.filter_map(|(cell, held)| cells.update(*cell, held));
    let sizes: Vec<usize> = updates
        .map(|update| {
            let change = update.unpack().expect("an update").change;
            let is_difference = matches!(change, DirectoryChange::Difference { .. });
            assert!(is_difference, "who holds the one before gets a difference");
            update.size()
        })
        .collect();
    (sizes.iter().sum(), sizes.len())
}

#[test]
fn the_bytes_of_a_start_grow_no_faster_than_the_fleet() {
    let once = bytes_at_start(NODES, WORKERS);
    let twice = bytes_at_start(2 * NODES, 2 * WORKERS);
    println!("{once} bytes at {NODES} nodes, {twice} at twice the size");
    assert!(twice as f64 <= once as f64 * MOST_GROWTH);
    // One whole directory for each node was 690 MB.
    assert!(once <= 8_000_000, "{once} bytes");
}

#[test]
fn the_bytes_of_a_change_grow_no_faster_than_the_fleet() {
    let (once, told_once) = bytes_of_a_change(NODES, WORKERS);
    let (twice, _) = bytes_of_a_change(2 * NODES, 2 * WORKERS);
    println!("{once} bytes to {told_once} nodes, {twice} bytes at twice the size");
    assert!(twice as f64 <= once as f64 * MOST_GROWTH);
}

#[test]
fn a_node_deals_with_as_many_others_in_a_fleet_twice_as_large() {
    let most = |nodes, workers| {
        let (cells, placed) = started(nodes, workers);
        let counts = placed.iter().enumerate().map(|(number, cell)| {
            let number = number as u32;
            let known = cells.neighbours(*cell, &zone(number), address(number));
            let relays: usize = known.relays.iter().map(|one| one.addresses.len()).sum();
            known.peers.len() + relays + known.bridges.len()
        });
        counts.max().unwrap_or(0)
    };
    let (once, twice) = (most(NODES, WORKERS), most(2 * NODES, 2 * WORKERS));
    println!("{once} others at {NODES} nodes, {twice} at twice the size");
    // A cell's neighbours, and one more bridge where there are twice as many cells.
    assert!(twice <= once + 2, "{once}, {twice}");
}

#[test]
fn who_holds_nothing_that_is_known_gets_the_whole_and_who_is_up_to_date_nothing() {
    let (mut cells, placed) = started(20, 100);
    let digest = |cells: &Cells| {
        cells
            .directory(placed[0])
            .current()
            .map(|held| held.digest())
    };
    let old = digest(&cells);
    cells.update_workers(1_000, (1..101).map(worker).collect());
    assert_eq!(cells.update(placed[0], digest(&cells)), None);
    let whole = cells.update(placed[0], None).expect("an update");
    let workers = match whole.unpack().expect("a whole").change {
        DirectoryChange::Whole(workers) => workers,
        DirectoryChange::Difference { .. } => panic!("a difference to nothing"),
    };
    assert_eq!(workers.len(), 100);
    // Directories that are forgotten are as good as none.
    for step in 2..12 {
        cells.update_workers(
            step * 1_000,
            (step as u32..100 + step as u32).map(worker).collect(),
        );
    }
    let whole = cells.update(placed[0], old).expect("an update");
    let change = whole.unpack().expect("a whole").change;
    assert!(matches!(change, DirectoryChange::Whole(_)));
}

#[test]
fn the_nodes_of_each_zone_are_spread_evenly_over_the_cells() {
    let (_, placed) = started(NODES, WORKERS);
    let mut counts: HashMap<(u32, String), u32> = HashMap::new();
    for (number, cell) in placed.iter().enumerate() {
        *counts.entry((cell.index, zone(number as u32))).or_default() += 1;
    }
    let (least, most) = (counts.values().min(), counts.values().max());
    assert!(most
        .zip(least)
        .is_some_and(|(most, least)| most - least <= 1));
    assert_eq!(
        counts.len() as u32,
        placed[0].count * ZONES,
        "no zone of a cell is empty"
    );
}

#[test]
fn a_node_stays_in_its_cell_under_another_leader() {
    let (_, placed) = started(NODES, WORKERS);
    let mut next = Cells::default();
    // Watches come before the new leader has read the list.
    for (number, cell) in placed.iter().enumerate() {
        hear(&mut next, 0, number as u32, Some(*cell));
    }
    next.update_workers(100, (0..WORKERS).map(worker).collect());
    for (number, cell) in placed.iter().enumerate() {
        assert_eq!(hear(&mut next, 200, number as u32, Some(*cell)), *cell);
    }
}

#[test]
fn news_reach_all_cells_by_bridges() {
    let (cells, placed) = started(NODES, WORKERS);
    let count = placed[0].count;
    let bridge_of: HashMap<SocketAddr, u32> = placed
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
        assert!(rounds <= count.trailing_zeros(), "after {rounds} steps");
        let mut next = Vec::new();
        for index in steps {
            let cell = CellId { index, count };
            let own = placed.iter().enumerate().filter(|one| *one.1 == cell);
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
fn a_silent_node_is_forgotten_and_placed_again() {
    let (mut cells, placed) = started(10, 50);
    assert_eq!((cells.count(), cells.node_count()), (1, 10));
    for number in 1..10 {
        hear(&mut cells, 2_000, number, Some(placed[0]));
    }
    hear(&mut cells, 3_000, 1, Some(placed[0]));
    assert_eq!(cells.node_count(), 9);
    hear(&mut cells, 3_100, 0, None);
    assert_eq!(cells.node_count(), 10);
    let known = cells.neighbours(placed[0], &zone(0), address(0));
    assert_eq!(known.peers, [address(0), address(5)]);
    assert!(known.bridges.is_empty(), "a single cell needs none");
}
