//! The store on disk and its twin in memory, driven by the same cases.

use std::fs;
use std::ops::Bound;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;

use pinerill_replica::{Entry, EntryKind, GroupId, HardState, Membership, ReplicaId, SnapshotMeta};
use pinerill_storage::{
    decode_snapshot, ClusterId, GroupStore, MemoryStore, Operation, SnapshotStream, StorageCause,
    Store, WriteBatch, DATABASE_FILE,
};

const GROUP: GroupId = GroupId(3);

fn entry(index: u64, term: u64) -> Entry {
    let payload = format!("command {index} of term {term}").into_bytes();
    Entry {
        index,
        term,
        kind: EntryKind::Command(payload.into()),
    }
}

fn write(store: &dyn GroupStore, operations: Vec<Operation>) {
    let (sender, receiver) = channel();
    let batch = WriteBatch {
        group: GROUP,
        operations,
    };
    store.write(
        batch,
        Box::new(move |result| sender.send(result).expect("test waits")),
    );
    receiver.recv().expect("completion").expect("durable");
}

fn put(key: &str, value: &str) -> Operation {
    Operation::PutState {
        key: key.into(),
        value: value.into(),
    }
}

fn meta(index: u64) -> SnapshotMeta {
    SnapshotMeta {
        index,
        term: 1,
        membership: Membership::of_voters([ReplicaId(1), ReplicaId(2)]),
    }
}

fn indexes(store: &dyn GroupStore) -> Vec<(u64, u64)> {
    let restored = store.restore(GROUP).expect("readable").expect("written");
    let entries = restored.state.entries.iter();
    entries.map(|entry| (entry.index, entry.term)).collect()
}

fn check_log(store: &dyn GroupStore) {
    let hard_state = HardState {
        term: 2,
        vote: Some(ReplicaId(9)),
    };
    let membership = EntryKind::Membership(Membership::of_voters([ReplicaId(4)]));
    let last = Entry {
        index: 5,
        term: 1,
        kind: membership,
    };
    let entries = vec![entry(2, 1), entry(3, 1), entry(4, 1), last.clone()];
    write(
        store,
        vec![
            Operation::SetHardState(hard_state),
            Operation::AppendEntries(entries),
        ],
    );
    let restored = store.restore(GROUP).expect("readable").expect("written");
    assert_eq!(restored.state.hard_state, hard_state);
    assert_eq!(restored.state.entries[0], entry(2, 1));
    assert_eq!(restored.state.entries[3], last);
    write(
        store,
        vec![Operation::AppendEntries(vec![entry(3, 2), entry(4, 2)])],
    );
    assert_eq!(indexes(store), vec![(2, 1), (3, 2), (4, 2)]);
    write(store, vec![Operation::CompactLog { up_to: 3 }]);
    assert_eq!(indexes(store), vec![(4, 2)]);
    assert_eq!(store.groups().expect("readable"), vec![GROUP]);
}

fn check_state(store: &dyn GroupStore) {
    write(store, vec![put("a", "1"), put("b", "2"), put("c", "3")]);
    let view = store.reader(GROUP).expect("readable");
    write(
        store,
        vec![Operation::DeleteState { key: "b".into() }, put("a", "9")],
    );
    assert_eq!(view.get(b"b").expect("readable"), Some(b"2".to_vec()));
    let view = store.reader(GROUP).expect("readable");
    assert_eq!(view.get(b"b").expect("readable"), None);
    let all = view
        .scan(Bound::Unbounded, Bound::Unbounded, 10)
        .expect("readable");
    assert_eq!(all[0], (b"a".to_vec(), b"9".to_vec()));
    assert_eq!(all.len(), 2);
    let after = view
        .scan(Bound::Excluded(b"a".as_slice()), Bound::Unbounded, 1)
        .expect("readable");
    assert_eq!(after[0].0, b"c");
}

/// Streams the state of `from` in small parts and installs it in `to`.
fn check_snapshot(from: &dyn GroupStore, to: &dyn GroupStore) {
    let numbered = (0..500).map(|number| put(&format!("{number:04}"), "value"));
    write(from, numbered.collect());
    write(
        from,
        vec![Operation::SaveSnapshot {
            meta: meta(7),
            memory: b"in memory".to_vec(),
        }],
    );
    write(to, vec![put("old", "gone")]);
    write(to, vec![Operation::AppendEntries(vec![entry(2, 1)])]);
    let reader = from.reader(GROUP).expect("readable");
    let mut stream = SnapshotStream::open(reader.as_ref())
        .expect("readable")
        .expect("saved");
    let mut data = Vec::new();
    loop {
        let reader = from.reader(GROUP).expect("readable");
        let chunk = stream.next_chunk(reader.as_ref(), 1000);
        let (part, done) = chunk.expect("readable");
        assert!(part.len() <= 1000);
        data.extend(part);
        if done {
            break;
        }
    }
    assert_eq!(stream.offset(), data.len() as u64);
    let decoded = decode_snapshot(&data).expect("whole");
    write(
        to,
        vec![Operation::InstallSnapshot {
            meta: stream.meta().clone(),
            memory: decoded.memory,
            table: decoded.table,
        }],
    );
    let restored = to.restore(GROUP).expect("readable").expect("written");
    assert_eq!(restored.memory, b"in memory");
    assert_eq!(restored.state.snapshot, meta(7));
    assert!(restored.state.entries.is_empty());
    let view = to.reader(GROUP).expect("readable");
    assert_eq!(view.get(b"old").expect("readable"), None);
    assert_eq!(
        view.get(b"0499").expect("readable"),
        Some(b"value".to_vec())
    );
    assert!(decode_snapshot(&data[..data.len() - 1]).is_err());
}

#[test]
fn disk_keeps_log_state_and_snapshots() {
    let folder = tempfile::tempdir().expect("folder");
    let store = Store::open(folder.path()).expect("opens");
    check_log(&store);
    check_state(&store);
    let other = tempfile::tempdir().expect("folder");
    let other = Store::open(other.path()).expect("opens");
    check_snapshot(&store, &other);
}

#[test]
fn memory_keeps_log_state_and_snapshots() {
    let store = MemoryStore::synced(ReplicaId(1));
    check_log(&store);
    check_state(&store);
    check_snapshot(&store, &MemoryStore::synced(ReplicaId(2)));
}

#[test]
fn identity_and_state_outlive_a_restart() {
    let folder = tempfile::tempdir().expect("folder");
    let first = Store::open(folder.path()).expect("opens");
    let stranger = first.identity();
    assert_eq!(stranger.cluster, None);
    first.join_cluster(ClusterId(5)).expect("joins");
    write(&first, vec![Operation::AppendEntries(vec![entry(2, 1)])]);
    write(&first, vec![Operation::SetHardState(HardState::default())]);
    drop(first);
    let second = Store::open(folder.path()).expect("opens");
    assert_eq!(second.identity().replica, stranger.replica);
    assert_eq!(second.identity().cluster, Some(ClusterId(5)));
    assert_eq!(indexes(&second), vec![(2, 1)]);
    second.join_cluster(ClusterId(5)).expect("same cluster");
    let refused = second.join_cluster(ClusterId(6)).expect_err("other");
    assert!(matches!(refused.cause, StorageCause::OtherCluster { .. }));
}

#[test]
fn empty_folders_are_different_strangers() {
    let folders = [(); 2].map(|()| tempfile::tempdir().expect("folder"));
    let stores = folders
        .each_ref()
        .map(|folder| Store::open(folder.path()).expect("opens"));
    assert_ne!(stores[0].identity().replica, stores[1].identity().replica);
}

#[test]
fn a_second_process_is_refused() {
    let folder = tempfile::tempdir().expect("folder");
    let _first = Store::open(folder.path()).expect("opens");
    let refused = Store::open(folder.path()).err().expect("locked");
    assert_eq!(refused.cause, StorageCause::AlreadyOpen);
}

#[test]
fn a_foreign_file_is_refused_by_name() {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join(DATABASE_FILE);
    fs::write(
        &path,
        "not a database, but long enough for a header".repeat(200),
    )
    .expect("written");
    let refused = Store::open(folder.path()).err().expect("foreign");
    assert_eq!(refused.cause, StorageCause::Foreign);
    assert!(refused.to_string().contains(DATABASE_FILE));
}

#[test]
fn another_application_s_database_is_refused() {
    let folder = tempfile::tempdir().expect("folder");
    let database = redb::Database::create(folder.path().join(DATABASE_FILE)).expect("created");
    let transaction = database.begin_write().expect("begins");
    let definition = redb::TableDefinition::<u64, u64>::new("theirs");
    transaction.open_table(definition).expect("opens");
    transaction.commit().expect("commits");
    drop(database);
    let refused = Store::open(folder.path()).err().expect("foreign");
    assert_eq!(refused.cause, StorageCause::Foreign);
}

#[test]
fn a_damaged_database_is_refused() {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join(DATABASE_FILE);
    let store = Store::open(folder.path()).expect("opens");
    for index in 2..200 {
        write(
            &store,
            vec![Operation::AppendEntries(vec![entry(index, 1)])],
        );
    }
    drop(store);
    let mut bytes = fs::read(&path).expect("readable");
    for byte in &mut bytes[4096..] {
        *byte ^= 0x5a;
    }
    fs::write(&path, bytes).expect("written");
    let refused = Store::open(folder.path()).err().expect("damaged");
    assert!(
        matches!(refused.cause, StorageCause::Corrupted(_)),
        "{refused}"
    );
}

#[test]
fn waiting_batches_share_a_sync() {
    let folder = tempfile::tempdir().expect("folder");
    let store = Store::open(folder.path()).expect("opens");
    let (sender, receiver) = channel();
    for number in 0..1000 {
        let sender = sender.clone();
        let batch = WriteBatch {
            group: GroupId(number % 64),
            operations: vec![put("key", "value")],
        };
        store.write(
            batch,
            Box::new(move |result| sender.send((number, result)).expect("test waits")),
        );
    }
    let completed: Vec<u32> = receiver
        .iter()
        .take(1000)
        .map(|(number, _)| number)
        .collect();
    assert!(completed.is_sorted(), "completions run in order");
    let counters = store.counters();
    assert_eq!(counters.batches, 1000);
    assert!(counters.syncs < 500, "{} syncs", counters.syncs);
}

#[test]
fn a_crash_loses_only_what_was_not_synced() {
    let store = MemoryStore::new(ReplicaId(1));
    let queue = |index| {
        let mut batch = WriteBatch::new(GROUP);
        batch
            .operations
            .push(Operation::AppendEntries(vec![entry(index, 1)]));
        store.write(batch, Box::new(|result| result.expect("durable")));
    };
    queue(2);
    queue(3);
    queue(4);
    store.sync_first(2);
    store.crash();
    assert_eq!(indexes(&store), vec![(2, 1), (3, 1)]);
    store.lose_disk(ReplicaId(2));
    assert!(store.restore(GROUP).expect("readable").is_none());
    assert_eq!(store.identity().replica, ReplicaId(2));
}

/// Bytes of the database's file.
fn file_bytes(folder: &std::path::Path) -> u64 {
    let metadata = fs::metadata(folder.join(DATABASE_FILE));
    metadata.expect("a file").len()
}

/// Entries of about the size of a stored result, the same keys for every `fill`.
fn large_entries(fill: u8) -> Vec<(Vec<u8>, Vec<u8>)> {
    let key = |number: u32| number.to_be_bytes().to_vec();
    (0..2_000)
        .map(|number| (key(number), vec![fill; 7_000]))
        .collect()
}

/// A follower that lags replaces its state by the leader's. The disk has no room
/// for both.
#[test]
fn an_installed_snapshot_takes_the_room_of_the_state_that_it_replaces() {
    let folder = tempfile::tempdir().expect("a folder");
    let store = Store::open(folder.path()).expect("a store");
    let install = |index: u64, fill: u8| {
        let operation = Operation::InstallSnapshot {
            meta: meta(index),
            memory: Vec::new(),
            table: large_entries(fill),
        };
        write(&store, vec![operation]);
    };
    install(10, 1);
    let first = file_bytes(folder.path());
    for index in 11..14 {
        install(index, index as u8);
        let bytes = file_bytes(folder.path());
        assert!(
            bytes < first + first / 4,
            "{bytes} bytes after {first} for the same amount of state"
        );
    }
    let reader = store.reader(GROUP).expect("readable");
    let entries = reader.scan(Bound::Unbounded, Bound::Unbounded, 10_000);
    assert!(entries.expect("entries") == large_entries(13));
    let (held, _) = reader.snapshot().expect("readable").expect("a snapshot");
    assert_eq!(held, meta(13));
}

/// A view shows the state before or after a replacement, whole; in between there is
/// none.
#[test]
fn no_view_shows_a_part_of_a_state_that_is_being_replaced() {
    const INSTALLATIONS: u64 = 8;
    let folder = tempfile::tempdir().expect("a folder");
    let store = Store::open(folder.path()).expect("a store");
    let install = |index: u64| {
        let operation = Operation::InstallSnapshot {
            meta: meta(index),
            memory: Vec::new(),
            table: large_entries(index as u8),
        };
        write(&store, vec![operation]);
    };
    install(1);
    let is_done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for index in 2..=INSTALLATIONS {
                install(index);
            }
            is_done.store(true, Ordering::SeqCst);
        });
        while !is_done.load(Ordering::SeqCst) {
            let reader = match store.reader(GROUP) {
                Ok(reader) => reader,
                Err(error) => {
                    assert_eq!(error.cause, StorageCause::BeingReplaced);
                    continue;
                }
            };
            let entries = reader.scan(Bound::Unbounded, Bound::Unbounded, 10_000);
            let entries = entries.expect("entries");
            let (held, _) = reader.snapshot().expect("readable").expect("a snapshot");
            assert!(entries == large_entries(held.index as u8), "{held:?}");
        }
    });
    let reader = store.reader(GROUP).expect("readable");
    assert!(reader.snapshot().expect("readable").is_some());
}
