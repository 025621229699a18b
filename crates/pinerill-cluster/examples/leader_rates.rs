//! Processor time that a leader takes for readings of the platform list and for watches, by the
//! size of the fleet.
//!
//! ```text
//! cargo run --release -p pinerill-cluster --example leader_rates
//! ```

use std::time::Instant;

use pinerill_calls::cells::CellId;
use pinerill_calls::directory::{WorkerEntry, WorkerId, WorkerState};
use pinerill_cluster::cells::{Cells, WatchingNode};

const ZONES: u32 = 5;
const READINGS: u32 = 10;

fn worker(number: u32) -> WorkerEntry {
    WorkerEntry {
        id: WorkerId::new(&format!("i-{number:08x}"), Some(1_700_000_000_000)),
        service: "service".to_owned(),
        address: ([10, 0, (number >> 8) as u8, number as u8], 8080).into(),
        zone: format!("zone-{}", number % ZONES),
        slots: 8,
        state: WorkerState::Ready,
        cold_left_ms: 0,
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
    let told = cells.neighbours(cell, &zone, node.peer);
    assert!(!told.peers.is_empty());
    cell
}

fn micros(count: u32, mut work: impl FnMut(u32)) -> f64 {
    let began = Instant::now();
    for number in 0..count {
        work(number);
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(count)
}

fn main() {
    println!("nodes workers | reading without news, us | one in a hundred replaced, us | watch, us | first directory, us");
    for (nodes, workers) in [
        (100, 1_000),
        (1_000, 10_000),
        (2_000, 20_000),
        (4_000, 40_000),
    ] {
        let mut cells = Cells::default();
        let listed = |from: u32| (from..from + workers).map(worker).collect::<Vec<_>>();
        cells.update_workers(0, listed(0));
        let readings: Vec<_> = (0..READINGS).map(|_| listed(0)).collect();
        let mut readings = readings.into_iter();
        let same = micros(READINGS, |_| {
            cells.update_workers(1, readings.next().expect("a reading"));
        });
        let changed: Vec<_> = (1..=READINGS)
            .map(|step| listed(step * workers / 100))
            .collect();
        let mut changed = changed.into_iter();
        let replaced = micros(READINGS, |_| {
            cells.update_workers(2, changed.next().expect("a reading"));
        });
        micros(nodes, |number| {
            watch(&mut cells, number);
        });
        let again = micros(nodes, |number| {
            watch(&mut cells, number);
        });
        let first = micros(nodes, |number| {
            let cell = watch(&mut cells, number);
            let update = cells.update(cell, None);
            assert!(update.is_some());
        });
        println!(
            "{nodes:5} {workers:7} | {same:10.0} | {replaced:10.0} | {again:8.1} | {first:8.1}"
        );
    }
}
