//! Updates from the directory that a node holds to the current one, identifiers of workers, and
//! paging of the worker list.

use pinerill_calls::digest::Digest;
use pinerill_calls::directory::{
    Directory, DirectoryChange, DirectoryHistory, DirectoryMismatch, ListReading,
    RepeatedPageToken, SkippedEntries, WorkerEntry, WorkerId, WorkerPage, WorkerState,
};
use pinerill_calls::message::encode;
use proptest::prelude::*;

/// Begin of all readings of the list; these tests do not depend on it.
const READ_MS: u64 = 0;

fn worker(number: u64, slots: u32) -> WorkerEntry {
    WorkerEntry {
        id: WorkerId::new(&format!("w-{number}"), None),
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".to_owned(),
        slots,
        state: WorkerState::Ready,
        cold_left_ms: 0,
        version: None,
    }
}

fn workers(numbers: std::ops::Range<u64>) -> Vec<WorkerEntry> {
    numbers.map(|number| worker(number, 4)).collect()
}

#[test]
fn reordering_the_list_is_not_a_change() {
    let mut history = DirectoryHistory::default();
    assert!(history.record_reading(READ_MS, workers(0..5)));
    let mut reversed = workers(0..5);
    reversed.reverse();
    assert!(!history.record_reading(READ_MS, reversed));
}

#[test]
fn an_update_contains_only_the_changed_worker() {
    let mut history = DirectoryHistory::default();
    history.record_reading(READ_MS, workers(0..130));
    let held = history.current().unwrap().clone();
    let mut changed = workers(0..130);
    changed[7].state = WorkerState::Draining;
    history.record_reading(READ_MS, changed);
    let update = history.update_from(Some(held.digest())).unwrap();
    // An update with all 130 workers has about 5 kB.
    assert!(
        encode(&update).len() < 100,
        "{} bytes",
        encode(&update).len()
    );
    let updated = Directory::apply_update(Some(&held), update).unwrap();
    assert_eq!(Some(&updated), history.current());
    assert_eq!(history.update_from(Some(updated.digest())), None);
}

#[test]
fn without_a_retained_directory_the_update_contains_all_workers() {
    let mut history = DirectoryHistory::default();
    assert_eq!(history.update_from(None), None);
    history.record_reading(READ_MS, workers(0..3));
    let unknown = Digest::of(&"another directory");
    for held in [None, Some(unknown)] {
        let update = history.update_from(held).unwrap();
        assert!(matches!(update.change, DirectoryChange::Whole(_)));
        assert_eq!(
            Directory::apply_update(None, update).as_ref().ok(),
            history.current()
        );
    }
}

#[test]
fn a_difference_from_another_directory_is_rejected() {
    let mut history = DirectoryHistory::default();
    history.record_reading(READ_MS, workers(0..3));
    let first = history.current().unwrap().clone();
    history.record_reading(READ_MS, workers(1..4));
    let second = history.current().unwrap().clone();
    history.record_reading(READ_MS, workers(2..6));
    let from_second = history.update_from(Some(second.digest())).unwrap();
    // The node missed the update from the first to the second directory.
    let mismatched = Directory::apply_update(Some(&first), from_second.clone());
    assert_eq!(mismatched, Err(DirectoryMismatch));
    assert_eq!(
        Directory::apply_update(None, from_second.clone()),
        Err(DirectoryMismatch)
    );
    // Applying the same update twice has no further effect.
    let third = Directory::apply_update(Some(&second), from_second.clone()).unwrap();
    let twice = Directory::apply_update(Some(&third), from_second).unwrap();
    assert_eq!(Some(&twice), history.current());
}

proptest! {
    /// For any history and any directory that a node holds, applying an update results in the
    /// current directory or is rejected. A node never ends with a third directory.
    #[test]
    fn an_update_results_in_the_current_directory_or_is_rejected(
        readings in prop::collection::vec(prop::collection::btree_map(0_u64..12, 1_u32..4, 0..10), 1..14),
        held_at in 0_usize..14,
        asked_at in 0_usize..14,
    ) {
        let mut history = DirectoryHistory::default();
        let mut seen = Vec::new();
        for reading in &readings {
            history.record_reading(READ_MS, reading.iter().map(|(number, slots)| worker(*number, *slots)).collect());
            seen.push(history.current().unwrap().clone());
        }
        let held = &seen[held_at % seen.len()];
        let asked = &seen[asked_at % seen.len()];
        match history.update_from(Some(asked.digest())) {
            None => prop_assert_eq!(Some(asked), history.current()),
            Some(update) => {
                let right = Directory::apply_update(Some(asked), update.clone());
                prop_assert_eq!(right.as_ref().ok(), history.current());
                if let Ok(updated) = Directory::apply_update(Some(held), update) {
                    prop_assert_eq!(Some(&updated), history.current());
                }
            }
        }
    }
}

#[test]
fn a_worker_id_separates_any_name_from_the_start_time() {
    for name in ["a", "a@5", "@", "a@"] {
        for started_at_ms in [None, Some(7)] {
            let id = WorkerId::new(name, started_at_ms);
            assert_eq!((id.name(), id.started_at_ms()), (name, started_at_ms));
        }
    }
}

#[test]
fn a_directory_keeps_only_the_latest_incarnation_of_a_worker() {
    let started = |started_at_ms: Option<u64>| WorkerEntry {
        id: WorkerId::new("w", started_at_ms),
        ..worker(1, 4)
    };
    for order in [[Some(5), Some(50), None], [None, Some(50), Some(5)]] {
        let directory = Directory::new(order.map(started).to_vec());
        let ids: Vec<&WorkerId> = directory.workers().iter().map(|entry| &entry.id).collect();
        assert_eq!(ids, [&WorkerId::new("w", Some(50))]);
    }
}

#[test]
fn a_repeated_page_token_ends_the_reading() {
    let page = |next: &str| WorkerPage {
        workers: vec![worker(1, 4)],
        next: Some(next.to_owned()),
        skipped: SkippedEntries::default(),
    };
    let mut reading = ListReading::default();
    assert_eq!(reading.add_page(page("p1")), Ok(Some("p1".to_owned())));
    assert_eq!(reading.add_page(page("p2")), Ok(Some("p2".to_owned())));
    assert_eq!(reading.add_page(page("p1")), Err(RepeatedPageToken));
}
