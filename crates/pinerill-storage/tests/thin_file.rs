//! A thinly provisioned file reads like any file and takes only what was written.

use std::fs;
use std::path::Path;

use pinerill_replica::{GroupId, ReplicaId};
use pinerill_storage::{
    GroupStore, Operation, Store, ThinFile, WriteBatch, BLOCK_BYTES, DATABASE_FILE,
};
use proptest::prelude::*;
use redb::StorageBackend;

const DATA: &str = "data.redb";
const JOURNAL: &str = "data.places";

fn size(path: &Path) -> u64 {
    fs::metadata(path).expect("there").len()
}

fn read(file: &ThinFile, offset: u64, bytes: usize) -> Vec<u8> {
    let mut out = vec![0xff; bytes];
    file.read(offset, &mut out).expect("reads");
    out
}

#[test]
fn only_blocks_that_were_written_take_room() {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join(DATA);
    let file = ThinFile::open(&path).expect("opens");
    file.set_len(1 << 30).expect("grows");
    file.write(900 << 20, b"far").expect("writes");
    file.write(0, b"near").expect("writes");
    assert!(size(&path) <= 2 * BLOCK_BYTES);
    assert_eq!(read(&file, 900 << 20, 4), b"far\0");
    assert_eq!(read(&file, 0, 4), b"near");
    assert_eq!(read(&file, 500 << 20, 4), [0; 4]);
    assert_eq!(file.len().expect("a length"), 1 << 30);
}

#[test]
fn reading_and_writing_beyond_the_length_is_refused() {
    let folder = tempfile::tempdir().expect("folder");
    let file = ThinFile::open(&folder.path().join(DATA)).expect("opens");
    file.set_len(10).expect("grows");
    assert!(file.write(8, b"abc").is_err());
    assert!(file.read(8, &mut [0; 3]).is_err());
}

#[test]
fn what_is_cut_off_comes_back_as_zeros_and_its_room_is_used_again() {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join(DATA);
    let file = ThinFile::open(&path).expect("opens");
    for round in 0..5 {
        file.set_len(4 * BLOCK_BYTES).expect("grows");
        assert_eq!(read(&file, BLOCK_BYTES, 8), [0; 8], "round {round}");
        file.write(BLOCK_BYTES - 4, &[7; 16]).expect("writes");
        file.write(3 * BLOCK_BYTES, &[8; 16]).expect("writes");
        file.set_len(BLOCK_BYTES - 2).expect("shrinks");
    }
    file.set_len(BLOCK_BYTES).expect("grows");
    assert_eq!(read(&file, BLOCK_BYTES - 4, 4), [7, 7, 0, 0]);
    assert!(size(&path) <= 3 * BLOCK_BYTES);
}

#[test]
fn a_torn_record_of_a_place_leaves_what_was_synced_before() {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join(DATA);
    let file = ThinFile::open(&path).expect("opens");
    file.set_len(2 * BLOCK_BYTES).expect("grows");
    file.write(0, b"synced").expect("writes");
    file.sync_data().expect("syncs");
    file.write(BLOCK_BYTES, b"not synced").expect("writes");
    drop(file);
    let journal = folder.path().join(JOURNAL);
    let mut bytes = fs::read(&journal).expect("there");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    fs::write(&journal, bytes).expect("written");
    let file = ThinFile::open(&path).expect("opens");
    assert_eq!(read(&file, 0, 6), b"synced");
    assert_eq!(read(&file, BLOCK_BYTES, 4), [0; 4]);
    file.write(BLOCK_BYTES, b"again").expect("writes");
    assert_eq!(read(&file, BLOCK_BYTES, 5), b"again");
}

/// Writes that were not synced are kept, torn or lost each on its own: a record
/// behind a torn one may be whole, and must stay out of force for good.
#[test]
fn a_whole_record_behind_a_torn_one_never_comes_back() {
    const RECORD_BYTES: usize = 16;
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join(DATA);
    let journal = folder.path().join(JOURNAL);
    let file = ThinFile::open(&path).expect("opens");
    file.set_len(4 * BLOCK_BYTES).expect("grows");
    file.write(0, b"synced").expect("writes");
    file.sync_data().expect("syncs");
    let synced = size(&journal) as usize;
    file.write(BLOCK_BYTES, b"torn").expect("writes");
    file.set_len(BLOCK_BYTES)
        .expect("a length that is not kept");
    drop(file);
    let mut bytes = fs::read(&journal).expect("there");
    assert_eq!(bytes.len(), synced + 2 * RECORD_BYTES);
    bytes[synced] ^= 1;
    fs::write(&journal, bytes).expect("written");

    let file = ThinFile::open(&path).expect("opens");
    file.write(2 * BLOCK_BYTES, b"after").expect("writes");
    file.sync_data().expect("syncs");
    drop(file);
    let file = ThinFile::open(&path).expect("opens");
    assert_eq!(file.len().expect("a length"), 4 * BLOCK_BYTES);
    assert_eq!(read(&file, 2 * BLOCK_BYTES, 5), b"after");
}

/// A second process opens the files before the database's lock refuses it.
#[test]
fn opening_alone_changes_no_journal() {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join(DATA);
    let journal = folder.path().join(JOURNAL);
    let file = ThinFile::open(&path).expect("opens");
    file.set_len(BLOCK_BYTES).expect("grows");
    file.write(0, b"kept").expect("writes");
    file.sync_data().expect("syncs");
    let mut bytes = fs::read(&journal).expect("there");
    bytes.extend_from_slice(&[7; 5]);
    fs::write(&journal, &bytes).expect("a record that is being written");
    drop(ThinFile::open(&path).expect("opens"));
    assert!(fs::read(&journal).expect("there") == bytes);
}

#[test]
fn a_file_without_a_journal_is_taken_as_it_lies() {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join(DATA);
    let bytes: Vec<u8> = (0..3 * BLOCK_BYTES + 5).map(|at| at as u8).collect();
    fs::write(&path, &bytes).expect("written");
    for _ in 0..2 {
        let file = ThinFile::open(&path).expect("opens");
        assert_eq!(read(&file, 0, bytes.len()), bytes);
    }
}

#[test]
fn a_journal_of_many_lengths_stays_short() {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join(DATA);
    let file = ThinFile::open(&path).expect("opens");
    file.set_len(4096).expect("grows");
    file.write(0, b"kept").expect("writes");
    for length in 0..10_000 {
        file.set_len(4096 + length).expect("grows");
    }
    assert!(size(&folder.path().join(JOURNAL)) < 100_000);
    drop(file);
    let file = ThinFile::open(&path).expect("opens");
    assert_eq!(file.len().expect("a length"), 4096 + 9_999);
    assert_eq!(read(&file, 0, 4), b"kept");
}

/// What one step of the model does.
#[derive(Debug, Clone)]
enum Step {
    Length(u32),
    Write { at: u32, bytes: u32, value: u8 },
    Sync,
    Reopen,
}

const LARGEST: u32 = 5 * BLOCK_BYTES as u32;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..LARGEST).prop_map(Step::Length),
        (0..LARGEST, 1..BLOCK_BYTES as u32, 1..=255u8).prop_map(|(at, bytes, value)| Step::Write {
            at,
            bytes,
            value
        }),
        Just(Step::Sync),
        Just(Step::Reopen),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn it_reads_like_any_file(steps in proptest::collection::vec(step(), 1..40)) {
        let folder = tempfile::tempdir().expect("folder");
        let path = folder.path().join(DATA);
        let mut file = ThinFile::open(&path).expect("opens");
        let mut model: Vec<u8> = Vec::new();
        for step in steps {
            match step {
                Step::Length(length) => {
                    file.set_len(u64::from(length)).expect("a length");
                    model.resize(length as usize, 0);
                }
                Step::Write { at, bytes, value } => {
                    let range = at as usize..(at + bytes) as usize;
                    let fits = range.end <= model.len();
                    let written = file.write(u64::from(at), &vec![value; bytes as usize]);
                    prop_assert_eq!(written.is_ok(), fits);
                    if fits {
                        model[range].fill(value);
                    }
                }
                Step::Sync => file.sync_data().expect("syncs"),
                Step::Reopen => {
                    drop(file);
                    file = ThinFile::open(&path).expect("opens");
                }
            }
            prop_assert_eq!(file.len().expect("a length"), model.len() as u64);
            prop_assert!(read(&file, 0, model.len()) == model);
        }
    }
}

fn write(store: &Store, operations: Vec<Operation>) {
    let (done, waiting) = std::sync::mpsc::channel();
    let batch = WriteBatch {
        group: GroupId(0),
        operations,
    };
    store.write(
        batch,
        Box::new(move |result| done.send(result).expect("heard")),
    );
    waiting.recv().expect("an answer").expect("written");
}

/// Fails with the database's own file, which doubles: 8.9 MB for 3.7 MB held.
#[test]
fn a_store_grows_with_what_it_holds() {
    const VALUE_BYTES: u64 = 7_000;
    const SLACK_BYTES: u64 = 3 << 20;
    let folder = tempfile::tempdir().expect("folder");
    let store = Store::open_as(folder.path(), ReplicaId(1)).expect("opens");
    for number in 0..2_800u64 {
        write(
            &store,
            vec![Operation::PutState {
                key: number.to_be_bytes().to_vec(),
                value: vec![number as u8; VALUE_BYTES as usize],
            }],
        );
        let held = (number + 1) * VALUE_BYTES;
        let file = size(&folder.path().join(DATABASE_FILE));
        assert!(
            file < held + held / 4 + SLACK_BYTES,
            "{file} bytes for {held}"
        );
    }
}
