//! Prints the processor time that a leader spends on polls of the platform list and on watches,
//! by the size of the fleet.
//!
//! ```text
//! cargo run --release -p pinerill-cluster --example leader_rates
//! ```

use std::time::Instant;

use pinerill_calls::cells::CellId;
use pinerill_calls::directory::{WorkerEntry, WorkerId, WorkerState};
use pinerill_cluster::cells::{Cells, WatchingNode};

const ZONES: u32 = 5;
const POLLS: u32 = 10;

fn worker(number: u32) -> WorkerEntry {
    WorkerEntry {
        id: WorkerId::new(&format!("i-{number:08x}"), Some(1_700_000_000_000)),
        service: "service".to_owned(),
        address: ([10, 0, (number >> 8) as u8, number as u8], 8080).into(),
        zone: format!("zone-{}", number % ZONES),
        slots: 8,
        state: WorkerState::Ready,
        cold_left_ms: 0,
        version: None,
    }
}

fn watch(cells: &mut Cells, number: u32) -> CellId {
    let (name, zone) = (
        format!("node-{number:05}"),
        format!("zone-{}", number % ZONES),
    );
    let node = WatchingNode {
        name: &name,
        zone: &zone,
        peer: ([10, 1, (number >> 8) as u8, number as u8], 7020).into(),
        cell: None,
    };
    let cell = cells.record_node(0, &node);
    let neighbours = cells.neighbours(cell, &zone, node.peer);
    assert!(!neighbours.peers.is_empty());
    cell
}

fn mean_micros(count: u32, mut work: impl FnMut(u32)) -> f64 {
    let began = Instant::now();
    for number in 0..count {
        work(number);
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(count)
}

fn main() {
    println!("nodes workers | poll without changes, us | poll with 1% of workers replaced, us | watch, us | watch with first directory, us");
    for (nodes, workers) in [
        (100, 1_000),
        (1_000, 10_000),
        (2_000, 20_000),
        (4_000, 40_000),
    ] {
        let mut cells = Cells::default();
        let listed = |from: u32| (from..from + workers).map(worker).collect::<Vec<_>>();
        cells.update_workers(0, listed(0));
        let polls: Vec<_> = (0..POLLS).map(|_| listed(0)).collect();
        let mut polls = polls.into_iter();
        let same = mean_micros(POLLS, |_| {
            cells.update_workers(1, polls.next().expect("one list per poll"));
        });
        let changed: Vec<_> = (1..=POLLS)
            .map(|step| listed(step * workers / 100))
            .collect();
        let mut changed = changed.into_iter();
        let replaced = mean_micros(POLLS, |_| {
            cells.update_workers(2, changed.next().expect("one list per poll"));
        });
        mean_micros(nodes, |number| {
            watch(&mut cells, number);
        });
        let again = mean_micros(nodes, |number| {
            watch(&mut cells, number);
        });
        let first = mean_micros(nodes, |number| {
            let cell = watch(&mut cells, number);
            let update = cells.update(cell, None);
            assert!(update.is_some());
        });
        println!(
            "{nodes:5} {workers:7} | {same:10.0} | {replaced:10.0} | {again:8.1} | {first:8.1}"
        );
    }
}
