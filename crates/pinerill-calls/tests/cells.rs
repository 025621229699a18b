//! Partitioning of a fleet's workers into cells.

use std::collections::BTreeSet;

use pinerill_calls::cells::{CellId, Partition};
use pinerill_calls::directory::{WorkerEntry, WorkerId, WorkerState};

fn workers(service: &str, numbers: std::ops::Range<u32>) -> Vec<WorkerEntry> {
    let entry = |number| WorkerEntry {
        id: WorkerId::new(&format!("{service}-{number}"), Some(1)),
        service: service.to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: format!("z{}", number % 5),
        slots: 8,
        state: WorkerState::Ready,
        cold_left_ms: 0,
        version: None,
    };
    numbers.map(entry).collect()
}

fn partition(workers: &[WorkerEntry]) -> Partition {
    Partition::default().repartition(workers)
}

#[test]
fn a_fleet_of_small_services_has_one_cell() {
    let all = [workers("s", 0..200), workers("t", 0..150)].concat();
    let divided = partition(&all).divide(&all);
    assert_eq!(divided, [all]);
}

/// Guards against cells that grow with the fleet, since each node receives the workers of its
/// cell.
#[test]
fn the_size_of_cells_does_not_depend_on_the_size_of_the_fleet() {
    for size in [1_000, 10_000, 20_000, 40_000] {
        let all = workers("s", 0..size);
        let divided = partition(&all).divide(&all);
        let largest = divided.iter().map(Vec::len).max().unwrap_or(0);
        assert!(largest <= 260, "{largest} of {size} workers in one cell");
        let smallest = divided.iter().map(Vec::len).min().unwrap_or(0);
        assert!(smallest >= 40, "{smallest} of {size} workers in one cell");
        let named: BTreeSet<&str> = divided
            .iter()
            .flatten()
            .map(|worker| worker.id.name())
            .collect();
        assert_eq!(named.len(), size as usize, "each worker is in one cell");
    }
}

/// A small service must be contained in every cell of a fleet that is divided because of another
/// service.
#[test]
fn each_cell_has_workers_of_each_service() {
    let all = [workers("many", 0..5_000), workers("few", 0..30)].concat();
    let divided = partition(&all).divide(&all);
    assert!(divided.len() > 1);
    for cell in &divided {
        let few = cell.iter().filter(|one| one.service == "few").count();
        assert_eq!(few, 30);
        assert!(cell.iter().any(|one| one.service == "many"));
    }
}

#[test]
fn added_and_removed_workers_do_not_move_others() {
    let before = workers("s", 0..3_000);
    let first = partition(&before);
    let after = workers("s", 300..3_300);
    let second = first.repartition(&after);
    assert_eq!(second.cell_count(), first.cell_count());
    for worker in workers("s", 300..3_000) {
        for index in 0..first.cell_count() {
            assert_eq!(
                first.cell_contains(index, &worker),
                second.cell_contains(index, &worker)
            );
        }
    }
}

/// Guards against cells that are split and merged in turn while the size of a service varies around
/// a threshold.
#[test]
fn the_number_of_cells_is_stable_while_the_size_varies() {
    let mut held = partition(&workers("s", 0..801));
    let count = held.cell_count();
    for size in [790, 810, 700, 801, 600] {
        held = held.repartition(&workers("s", 0..size));
        assert_eq!(held.cell_count(), count, "{size} workers");
    }
    assert_eq!(held.repartition(&workers("s", 0..100)).cell_count(), 1);
}

#[test]
fn successors_are_the_cells_after_a_split_or_merge() {
    let cell = |index, count| CellId { index, count };
    let successors = |cell: CellId, count| cell.successors(count).collect::<Vec<u32>>();
    assert_eq!(successors(cell(5, 8), 8), [5]);
    assert_eq!(successors(cell(5, 8), 16), [5, 13]);
    assert_eq!(successors(cell(5, 8), 4), [1]);
    assert_eq!(successors(cell(0, 1), 4), [0, 1, 2, 3]);
}
