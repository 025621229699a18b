//! A creation that was cut short begins anew; a database that was ever whole never does.

mod support;

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Barrier};

use pinerill_replica::ReplicaId;
use pinerill_storage::{
    GroupStore, StorageCause, StorageError, Store, ThinFile, BLOCK_BYTES, DATABASE_FILE,
};
use redb::{Builder, StorageBackend};
use support::put;

const JOURNAL_FILE: &str = "pinerill.places";
const UNFINISHED_FILE: &str = "pinerill.redb-new";
const UNFINISHED_JOURNAL: &str = "pinerill.places-new";
const RECORD_BYTES: usize = 16;
/// The mark by which the library knows its files.
const MARK_BYTES: usize = 9;
const HEADER_BYTES: usize = 320;
const CREATED: ReplicaId = ReplicaId(1);
const NEWCOMER: ReplicaId = ReplicaId(2);

/// A folder's files by name; a file that is not named is missing.
type Files = Vec<(&'static str, Vec<u8>)>;

fn folder_of(files: &Files) -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("folder");
    for (name, bytes) in files {
        fs::write(folder.path().join(name), bytes).expect("written");
    }
    folder
}

fn bytes_of(folder: &Path, name: &str) -> Vec<u8> {
    fs::read(folder.join(name)).expect("there")
}

fn files_of(folder: &Path) -> Files {
    [DATABASE_FILE, JOURNAL_FILE]
        .map(|name| (name, bytes_of(folder, name)))
        .to_vec()
}

/// A folder that was created by this build, without work.
fn created() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("folder");
    drop(Store::open_as(folder.path(), CREATED).expect("opens"));
    folder
}

/// A folder whose database was created in place, as by older builds.
fn created_in_place() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("folder");
    drop(open_like_older_builds(folder.path()).expect("created"));
    drop(Store::open_as(folder.path(), CREATED).expect("opens"));
    folder
}

fn open_like_older_builds(folder: &Path) -> Result<redb::Database, redb::DatabaseError> {
    let file = ThinFile::open(&folder.join(DATABASE_FILE)).expect("opens");
    Builder::new()
        .set_check_integrity_on_open(true)
        .create_with_backend(file)
}

/// Opens the folder, keeps something in it, and finds it again.
fn use_it(folder: &Path, expected: ReplicaId, state: &str) {
    for _ in 0..2 {
        let store = Store::open_as(folder, NEWCOMER);
        let store = store.unwrap_or_else(|error| panic!("{state}: {error}"));
        assert_eq!(store.identity().replica, expected, "{state}");
        put(&store, 7, 100_000);
    }
    let left: Vec<PathBuf> = fs::read_dir(folder)
        .expect("a folder")
        .map(|entry| entry.expect("an entry").path())
        .filter(|path| path.ends_with(UNFINISHED_FILE))
        .collect();
    assert!(left.is_empty(), "{state}: {left:?}");
}

/// What a loss of power may leave of a file that was not synced.
fn torn(bytes: &[u8]) -> Vec<(String, Vec<u8>)> {
    let lengths = [0, 1, MARK_BYTES, HEADER_BYTES, 4_096, bytes.len() / 2];
    let cut = lengths.into_iter().filter(|length| *length < bytes.len());
    let mut left: Vec<_> = cut
        .map(|length| (format!("{length} bytes"), bytes[..length].to_vec()))
        .collect();
    for first in 0..2 {
        let mut half = bytes.to_vec();
        let pages = half.chunks_mut(4_096).skip(first).step_by(2);
        pages.for_each(|page| page.fill(0));
        left.push((format!("zeros in each second page from {first}"), half));
    }
    left.push(("whole".to_string(), bytes.to_vec()));
    left
}

#[test]
fn every_step_of_a_creation_opens_after_a_loss_of_power() {
    let whole = created();
    let data = bytes_of(whole.path(), DATABASE_FILE);
    let journal = bytes_of(whole.path(), JOURNAL_FILE);
    use_it(folder_of(&vec![]).path(), NEWCOMER, "nothing");
    let named: Files = vec![(DATABASE_FILE, vec![])];
    use_it(folder_of(&named).path(), NEWCOMER, "named");
    for (what, left) in torn(&data) {
        let unfinished = (UNFINISHED_FILE, left);
        let files = vec![(DATABASE_FILE, vec![]), unfinished.clone()];
        use_it(folder_of(&files).path(), NEWCOMER, &what);
        let unnamed = vec![unfinished];
        use_it(folder_of(&unnamed).path(), NEWCOMER, &what);
    }
    let renamed = vec![(DATABASE_FILE, data.clone())];
    use_it(folder_of(&renamed).path(), CREATED, "renamed");
    for (what, left) in torn(&journal) {
        let files = vec![(DATABASE_FILE, data.clone()), (UNFINISHED_JOURNAL, left)];
        use_it(folder_of(&files).path(), CREATED, &what);
    }
    use_it(whole.path(), CREATED, "whole");
}

#[test]
fn older_builds_open_every_step_of_a_creation() {
    let whole = created();
    let data = bytes_of(whole.path(), DATABASE_FILE);
    let steps: [Files; 4] = [
        vec![(DATABASE_FILE, vec![])],
        vec![(DATABASE_FILE, vec![]), (UNFINISHED_FILE, data.clone())],
        vec![(DATABASE_FILE, data)],
        files_of(whole.path()),
    ];
    for (number, files) in steps.iter().enumerate() {
        let folder = folder_of(files);
        let opened = open_like_older_builds(folder.path());
        let opened = opened.unwrap_or_else(|error| panic!("step {number}: {error}"));
        drop(opened);
        let expected = [NEWCOMER, NEWCOMER, CREATED, CREATED][number];
        use_it(folder.path(), expected, &format!("step {number}"));
    }
}

/// The files as a creation in place leaves them before its first sync.
fn first_steps_in_place() -> Files {
    /// A file whose first sync fails.
    #[derive(Debug)]
    struct UntilSync(ThinFile);
    impl StorageBackend for UntilSync {
        fn len(&self) -> std::io::Result<u64> {
            self.0.len()
        }
        fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
            self.0.read(offset, out)
        }
        fn set_len(&self, length: u64) -> std::io::Result<()> {
            self.0.set_len(length)
        }
        fn sync_data(&self) -> std::io::Result<()> {
            Err(std::io::Error::other("the process has ended"))
        }
        fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
            self.0.write(offset, data)
        }
    }
    let folder = tempfile::tempdir().expect("folder");
    let file = ThinFile::open(&folder.path().join(DATABASE_FILE)).expect("opens");
    let refused = Builder::new().create_with_backend(UntilSync(file));
    assert!(refused.is_err());
    files_of(folder.path())
}

#[test]
fn a_creation_in_place_begins_anew_after_a_loss_of_power() {
    let files = first_steps_in_place();
    let (data, journal) = (&files[0].1, &files[1].1);
    assert_eq!(data.len(), HEADER_BYTES);
    assert_eq!(journal.len(), 2 * RECORD_BYTES);
    for length in 0..=journal.len() {
        let kept = journal[..length].to_vec();
        let zeroed = vec![0; length];
        for left in [kept, zeroed] {
            let files = vec![(DATABASE_FILE, data.clone()), (JOURNAL_FILE, left.clone())];
            let state = format!("header, {length} bytes of journal");
            use_it(folder_of(&files).path(), NEWCOMER, &state);
            if length <= RECORD_BYTES {
                let files = vec![(DATABASE_FILE, vec![]), (JOURNAL_FILE, left)];
                let state = format!("no header, {length} bytes of journal");
                use_it(folder_of(&files).path(), NEWCOMER, &state);
            }
        }
    }
}

/// A place without data may be all that is left of a database whose file was lost.
#[test]
fn a_journal_with_a_place_is_not_replaced_without_its_data() {
    let files = first_steps_in_place();
    let journal = files[1].clone();
    for files in [
        vec![journal.clone()],
        vec![(DATABASE_FILE, vec![]), journal],
    ] {
        let folder = folder_of(&files);
        for _ in 0..2 {
            let refused = Store::open(folder.path()).err().expect("refused");
            assert!(matches!(refused.cause, StorageCause::Corrupted(_)));
        }
        let is_there = folder.path().join(DATABASE_FILE).exists();
        assert_eq!(is_there, files.len() == 2, "nothing is made beside it");
    }
}

fn grow(folder: &Path) {
    let store = Store::open(folder).expect("opens");
    (0..20).for_each(|number| put(&store, number, BLOCK_BYTES as usize / 2));
}

/// Databases that were whole, young and grown, made by this build and in place.
fn whole_databases() -> Vec<(&'static str, Files)> {
    let mut whole = Vec::new();
    for (kind, folder) in [
        ("created here", created()),
        ("created in place", created_in_place()),
    ] {
        whole.push((kind, files_of(folder.path())));
        grow(folder.path());
        whole.push((kind, files_of(folder.path())));
    }
    whole
}

fn damaged_data(data: &[u8]) -> Vec<(String, Option<Vec<u8>>)> {
    let zeroed = |bytes: usize| {
        let mut zeroed = data.to_vec();
        zeroed[..bytes].fill(0);
        zeroed
    };
    let mut damaged = vec![
        ("data missing".to_string(), None),
        ("data untouched".to_string(), Some(data.to_vec())),
    ];
    let half = data.len() / 2;
    for length in [0, 1, 8, 9, 100, 319, 320, 321, 4_095, 4_096, half] {
        let cut = data[..length].to_vec();
        damaged.push((format!("data of {length} bytes"), Some(cut)));
    }
    for bytes in [MARK_BYTES, HEADER_BYTES, 4_096, data.len()] {
        let what = format!("zeros in {bytes} bytes of data");
        damaged.push((what, Some(zeroed(bytes))));
        let what = format!("zeros in {bytes} bytes of data of a header's length");
        damaged.push((what, Some(zeroed(bytes)[..HEADER_BYTES].to_vec())));
    }
    damaged
}

fn damaged_journals(journal: &[u8]) -> Vec<(String, Option<Vec<u8>>)> {
    let flipped = |at: usize| {
        let mut flipped = journal.to_vec();
        flipped[at] ^= 1;
        flipped
    };
    let mut damaged = vec![
        ("journal missing".to_string(), None),
        ("journal untouched".to_string(), Some(journal.to_vec())),
        ("first record torn".to_string(), Some(flipped(5))),
        (
            "second record torn".to_string(),
            Some(flipped(RECORD_BYTES + 5)),
        ),
    ];
    for length in [0, 15, 16, 17, 32] {
        let cut = journal[..length].to_vec();
        damaged.push((format!("journal of {length} bytes"), Some(cut)));
    }
    damaged
}

/// Whether nothing is left that tells of the database: the folder was emptied.
fn is_emptied(data: &Option<Vec<u8>>, journal: &Option<Vec<u8>>) -> bool {
    let bytes = |file: &Option<Vec<u8>>| file.as_ref().map_or(0, Vec::len);
    bytes(data) == 0 && bytes(journal) <= RECORD_BYTES
}

#[test]
fn a_database_that_was_whole_is_never_replaced() {
    let mut replaced = Vec::new();
    for (kind, files) in whole_databases() {
        for (of_data, data) in damaged_data(&files[0].1) {
            for (of_journal, journal) in damaged_journals(&files[1].1) {
                if is_emptied(&data, &journal) {
                    continue;
                }
                let files = [(DATABASE_FILE, &data), (JOURNAL_FILE, &journal)];
                let files = files.into_iter();
                let files = files.filter_map(|(name, bytes)| Some((name, bytes.clone()?)));
                let folder = folder_of(&files.collect());
                for start in 0..2 {
                    let opened = Store::open_as(folder.path(), NEWCOMER);
                    let identity = opened.map(|store| store.identity().replica);
                    if identity == Ok(NEWCOMER) {
                        replaced.push(format!("{kind}, {of_data}, {of_journal}, {start}"));
                    }
                }
            }
        }
    }
    assert!(replaced.is_empty(), "{replaced:#?}");
}

fn is_taken(opened: &Result<Store, StorageError>) -> bool {
    let cause = opened.as_ref().err().map(|error| &error.cause);
    cause == Some(&StorageCause::AlreadyOpen)
}

#[test]
fn an_unfinished_creation_of_a_running_process_is_left_alone() {
    for files in [vec![(DATABASE_FILE, vec![])], first_steps_in_place()] {
        let folder = folder_of(&files);
        let held = File::open(folder.path().join(DATABASE_FILE)).expect("opens");
        held.lock().expect("locked");
        assert!(is_taken(&Store::open(folder.path())));
        for (name, bytes) in &files {
            assert_eq!(&bytes_of(folder.path(), name), bytes);
        }
        drop(held);
        use_it(folder.path(), NEWCOMER, "released");
    }
}

#[test]
fn one_of_many_that_start_at_once_creates_the_database() {
    const PROCESSES: u64 = 8;
    for _ in 0..10 {
        let folder = tempfile::tempdir().expect("folder");
        let start = Arc::new(Barrier::new(PROCESSES as usize));
        let opening = (0..PROCESSES).map(|number| {
            let (path, start) = (folder.path().to_path_buf(), start.clone());
            std::thread::spawn(move || {
                start.wait();
                Store::open_as(path, ReplicaId(number))
            })
        });
        let opening: Vec<_> = opening.collect();
        let opened = opening
            .into_iter()
            .map(|thread| thread.join().expect("ran"));
        let (taken, opened): (Vec<_>, Vec<_>) = opened.partition(is_taken);
        assert_eq!(opened.len(), 1, "{} found it taken", taken.len());
        let identities = opened.into_iter().map(|store| store.map(|s| s.identity()));
        let created = identities.last().expect("one").expect("opened");
        let again = Store::open(folder.path()).expect("opens");
        assert_eq!(again.identity(), created);
    }
}
