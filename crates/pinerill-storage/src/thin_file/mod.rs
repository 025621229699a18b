//! A thinly provisioned file under the embedded database.
//!
//! The database doubles its file when it is full, and reserves the new half at
//! once: on a disk of 47 MB it stopped at 24 MB, since 48 MB could not be had
//! (measured, docs/design/platform.md). Here a file has a *virtual* length of
//! any size, and only blocks that were written take room. `map` says which slot
//! of the real file holds a block; `journal` makes that durable.
//!
//! Why a loss of power is safe: a sync first syncs the journal and then the
//! data, so that no synced data hangs on an unsynced place. Where only the place
//! lasted, the block reads as zeros or as torn, like any write that was not
//! synced. A slot that becomes free is used again only after the journal that
//! frees it is synced.

mod journal;
mod map;

use std::fs::{self, File, OpenOptions};
use std::io;
use std::ops::Bound;
use std::path::{Path, PathBuf};

use parking_lot::RwLock;
use redb::backends::FileBackend;
use redb::{BackendError, StorageBackend};

use journal::Journal;
pub(crate) use journal::{records_in, Record, RECORD_BYTES};
use map::{BlockMap, Slot};

/// Bytes of a block and of a slot.
pub const BLOCK_BYTES: u64 = 256 << 10;
/// What is added to a database's name for its journal of places.
const JOURNAL_SUFFIX: &str = "places";

/// The file; see the module.
#[derive(Debug)]
pub struct ThinFile {
    data: FileBackend,
    places: RwLock<Places>,
}

#[derive(Debug)]
struct Places {
    map: BlockMap,
    journal: Journal,
}

/// A part of a request within one block.
struct Piece {
    block: u32,
    /// Where it begins in its block.
    within: u64,
    bytes: usize,
}

impl ThinFile {
    /// Opens the data file at `path` and its journal beside it; both may be
    /// missing. A data file without a journal is taken as it lies.
    ///
    /// # Errors
    /// When a file can't be opened or read.
    pub fn open(path: &Path) -> io::Result<Self> {
        let journal_path = journal_path(path);
        let (mut journal, records) = Journal::open(&journal_path)?;
        let data = open_file(path)?;
        let data_bytes = data.metadata()?.len();
        let mut map = BlockMap::default();
        if records.is_empty() && data_bytes > 0 {
            map = BlockMap::in_place(data_bytes);
            for record in map.records() {
                journal.append(record)?;
            }
        }
        for record in records {
            map.apply(record);
        }
        let data = FileBackend::new(data).map_err(io::Error::other)?;
        Ok(ThinFile {
            data,
            places: RwLock::new(Places { map, journal }),
        })
    }

    /// Reads what lies in a slot; what was never written there is zero.
    fn read_slot(&self, at: u64, out: &mut [u8]) -> io::Result<()> {
        let written = self.data.len()?.saturating_sub(at);
        let known = written.min(out.len() as u64) as usize;
        let (known, unwritten) = out.split_at_mut(known);
        unwritten.fill(0);
        match known.is_empty() {
            true => Ok(()),
            false => self.data.read(at, known),
        }
    }

    fn slot_for_writing(&self, block: u32) -> io::Result<u32> {
        if let Some(slot) = self.places.read().map.slot(block) {
            return Ok(slot);
        }
        let mut places = self.places.write();
        let slot = match places.map.place(block) {
            Slot::Held(slot) => return Ok(slot),
            Slot::New(slot) => slot,
            Slot::Reused(slot) => {
                let zeros = vec![0; BLOCK_BYTES as usize];
                self.data.write(place(slot, 0), &zeros)?;
                slot
            }
        };
        places.journal.append(Record::Place { block, slot })?;
        Ok(slot)
    }

    fn check_range(&self, offset: u64, bytes: usize) -> io::Result<()> {
        let length = self.places.read().map.length();
        match offset + bytes as u64 <= length {
            true => Ok(()),
            false => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }
}

impl StorageBackend for ThinFile {
    fn len(&self) -> io::Result<u64> {
        Ok(self.places.read().map.length())
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.check_range(offset, out.len())?;
        let mut rest = out;
        for piece in pieces(offset, rest.len()) {
            let (part, after) = rest.split_at_mut(piece.bytes);
            rest = after;
            let slot = self.places.read().map.slot(piece.block);
            match slot {
                Some(slot) => self.read_slot(place(slot, piece.within), part)?,
                None => part.fill(0),
            }
        }
        Ok(())
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        let mut places = self.places.write();
        let shrinks = length < places.map.length();
        places.journal.append(Record::Length(length))?;
        if shrinks {
            places.journal.sync()?;
            let rest = places.map.partial_block(length);
            if let Some((slot, within)) = rest {
                let zeros = vec![0; (BLOCK_BYTES - within) as usize];
                self.data.write(place(slot, within), &zeros)?;
            }
        }
        places.map.apply(Record::Length(length));
        let Places { map, journal } = &mut *places;
        journal.shorten(&map.records())
    }

    fn sync_data(&self) -> io::Result<()> {
        self.places.write().journal.sync()?;
        self.data.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.check_range(offset, data.len())?;
        let mut rest = data;
        for piece in pieces(offset, data.len()) {
            let (part, after) = rest.split_at(piece.bytes);
            rest = after;
            let slot = self.slot_for_writing(piece.block)?;
            self.data.write(place(slot, piece.within), part)?;
        }
        Ok(())
    }

    fn close(&self) -> io::Result<()> {
        self.data.close()
    }

    fn try_lock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<bool, BackendError> {
        self.data.try_lock_range(start, end)
    }

    fn try_lock_shared_range(
        &self,
        start: Bound<u64>,
        end: Bound<u64>,
    ) -> Result<bool, BackendError> {
        self.data.try_lock_shared_range(start, end)
    }

    fn lock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<(), BackendError> {
        self.data.lock_range(start, end)
    }

    fn lock_shared_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<(), BackendError> {
        self.data.lock_shared_range(start, end)
    }

    fn unlock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<(), BackendError> {
        self.data.unlock_range(start, end)
    }

    fn query_lock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<bool, BackendError> {
        self.data.query_lock_range(start, end)
    }
}

/// Where the journal of a data file lies.
pub(crate) fn journal_path(path: &Path) -> PathBuf {
    path.with_extension(JOURNAL_SUFFIX)
}

/// Writes the journal of a data file that has none: every block lies at its own place.
pub(crate) fn write_journal_in_place(path: &Path) -> io::Result<()> {
    let map = BlockMap::in_place(fs::metadata(path)?.len());
    journal::write_whole(&journal_path(path), &map.records()).map(drop)
}

fn open_file(path: &Path) -> io::Result<File> {
    OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .open(path)
}

/// Position in the real file.
fn place(slot: u32, within: u64) -> u64 {
    u64::from(slot) * BLOCK_BYTES + within
}

/// The parts of a request, block by block.
fn pieces(offset: u64, bytes: usize) -> Vec<Piece> {
    let end = offset + bytes as u64;
    let mut pieces = Vec::new();
    let mut at = offset;
    while at < end {
        let within = at % BLOCK_BYTES;
        let length = (BLOCK_BYTES - within).min(end - at);
        pieces.push(Piece {
            block: (at / BLOCK_BYTES) as u32,
            within,
            bytes: length as usize,
        });
        at += length;
    }
    pieces
}
