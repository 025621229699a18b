//! Creation of a data folder's database.
//!
//! A database is made whole under a name of its own, synced, and then given its name:
//! who finds the name finds a whole database, or an empty file, which stands there for
//! the lock only. Then the journal of places is made, in one piece as well; until it is
//! there, every block lies at its own place.
//!
//! Folders in which another build was cut short while it created a database in place
//! are recognised by `found`.

mod first_steps;
mod found;

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read};
use std::path::Path;

use redb::backends::FileBackend;
use redb::Builder;

use crate::store::{explain, io_error, sync_folder, write_identity};
use crate::tables::TableFailure;
use crate::thin_file::{journal_path, write_journal_in_place};
use crate::{Identity, StorageCause, StorageError};

use first_steps::FirstSteps;
use found::Found;

/// Extension of a database that is being made.
const UNFINISHED: &str = "redb-new";

/// Sees to it that a whole database with a journal lies at `path`. One that was ever
/// whole is never replaced.
///
/// # Errors
/// When a file of a database is lost, another process has it open, or the operating
/// system refuses.
pub(crate) fn ensure(path: &Path, newcomer: Identity) -> Result<(), StorageError> {
    let first_steps = FirstSteps::of_a_creation_in_place();
    match look(path, &first_steps)? {
        Found::Whole => {
            // Left by a creation that was cut short before another build made its own.
            let _ = fs::remove_file(path.with_extension(UNFINISHED));
            return Ok(());
        }
        Found::Lost => return Err(lost(path)),
        Found::NeverFinished | Found::WithoutJournal => {}
    }
    let _lock = lock(path)?;
    match look(path, &first_steps)? {
        Found::Whole => Ok(()),
        Found::WithoutJournal => add_journal(path),
        Found::NeverFinished => {
            create(path, &newcomer)?;
            add_journal(path)
        }
        Found::Lost => Err(lost(path)),
    }
}

fn lost(path: &Path) -> StorageError {
    let cause = "the file is missing or empty beside its journal of places";
    StorageError::new("opening", path, StorageCause::Corrupted(cause.to_string()))
}

fn look(path: &Path, first_steps: &FirstSteps) -> Result<Found, StorageError> {
    let data = start_of(path, first_steps.data.len() + 1);
    let data = data.map_err(|error| io_error("opening", path, error))?;
    let journal_path = journal_path(path);
    let journal = start_of(&journal_path, found::JOURNAL_BYTES + 1);
    let journal = journal.map_err(|error| io_error("opening", &journal_path, error))?;
    let found = found::found(data.as_deref(), journal.as_deref(), first_steps);
    Ok(found)
}

/// At most so many bytes from the start of a file; none if there is no file.
fn start_of(path: &Path, bytes: usize) -> io::Result<Option<Vec<u8>>> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let mut start = Vec::new();
    file.take(bytes as u64).read_to_end(&mut start)?;
    Ok(Some(start))
}

/// The lock by which the database keeps other processes out, on the file that has its
/// name now.
fn lock(path: &Path) -> Result<File, StorageError> {
    let file = OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .open(path)
        .map_err(|error| io_error("opening", path, error))?;
    match file.try_lock() {
        Err(TryLockError::WouldBlock) => {
            let cause = StorageCause::AlreadyOpen;
            Err(StorageError::new("opening", path, cause))
        }
        // Like the database: a file system without locks doesn't keep it from opening.
        Ok(()) | Err(TryLockError::Error(_)) => Ok(file),
    }
}

/// Makes a whole database in the place of nothing, or of one that was never finished.
fn create(path: &Path, newcomer: &Identity) -> Result<(), StorageError> {
    let step = "creation";
    let folder = path.parent().unwrap_or(path);
    // A journal of the unfinished one would say where the blocks of the new one lie.
    let removed = remove_if_there(&journal_path(path));
    removed.map_err(|error| io_error(step, path, error))?;
    sync_folder(folder)?;
    let unfinished = path.with_extension(UNFINISHED);
    let file = File::options()
        .read(true)
        .write(true)
        .create(true)
        .truncate(true)
        .open(&unfinished)
        .map_err(|error| io_error(step, &unfinished, error))?;
    explain(step, &unfinished, fill(file, newcomer))?;
    File::open(&unfinished)
        .and_then(|file| file.sync_all())
        .and_then(|()| fs::rename(&unfinished, path))
        .map_err(|error| io_error(step, path, error))?;
    sync_folder(folder)
}

fn remove_if_there(path: &Path) -> io::Result<()> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

fn fill(file: File, newcomer: &Identity) -> Result<(), TableFailure> {
    let backend = FileBackend::new(file)?;
    let database = Builder::new().create_with_backend(backend)?;
    write_identity(&database, newcomer)
}

fn add_journal(path: &Path) -> Result<(), StorageError> {
    write_journal_in_place(path).map_err(|error| io_error("creation", path, error))
}
