//! Measures syncs and entries per second: `store_throughput FOLDER`.

use std::path::PathBuf;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use pinerill_replica::{Entry, EntryKind, GroupId};
use pinerill_storage::{GroupStore, Operation, StorageError, Store, WriteBatch};

const GROUPS: u32 = 64;
const ENTRY_BYTES: usize = 512;
const RUN: Duration = Duration::from_secs(3);

fn batch(group: u32, index: u64) -> WriteBatch {
    let entry = Entry {
        index,
        term: 1,
        kind: EntryKind::Command(vec![7; ENTRY_BYTES].into()),
    };
    WriteBatch {
        group: GroupId(group),
        operations: vec![Operation::AppendEntries(vec![entry])],
    }
}

/// Keeps `depth` one-entry batches in flight.
fn measure(store: &Store, depth: usize, next_index: &mut u64) -> Result<(), StorageError> {
    let (sender, receiver) = channel();
    let before = store.counters();
    let start = Instant::now();
    let mut submit = || {
        let sender = sender.clone();
        let group = (*next_index % u64::from(GROUPS)) as u32;
        store.write(
            batch(group, *next_index),
            Box::new(move |result| {
                let _ = sender.send(result);
            }),
        );
        *next_index += 1;
    };
    (0..depth).for_each(|_| submit());
    while start.elapsed() < RUN {
        if let Ok(result) = receiver.recv() {
            result?;
            submit();
        }
    }
    let seconds = start.elapsed().as_secs_f64();
    let after = store.counters();
    println!(
        "{depth:5} in flight: {:8.0} entries/s {:7.0} syncs/s",
        (after.batches - before.batches) as f64 / seconds,
        (after.syncs - before.syncs) as f64 / seconds,
    );
    Ok(())
}

fn main() -> Result<(), StorageError> {
    let folder = std::env::args()
        .nth(1)
        .map_or_else(std::env::temp_dir, PathBuf::from);
    let store = Store::open(folder)?;
    let mut next_index = 2;
    for depth in [1, 16, 64, 256, 2048] {
        measure(&store, depth, &mut next_index)?;
    }
    Ok(())
}
