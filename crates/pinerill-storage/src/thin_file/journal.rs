//! The journal of places: records of fixed size, each with a checksum over its
//! number, so that what a loss of power tore or left out ends it.

use std::fs::{self, File};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Bytes of a record: kind and checksum of 4 bytes, and a value of 8.
pub(crate) const RECORD_BYTES: usize = 16;
const LENGTH: u32 = 1;
const PLACE: u32 = 2;
/// Records beyond what the places need, after which the journal is rewritten.
const SPARE_RECORDS: u64 = 4_096;
/// Extension of a journal that is being rewritten.
const REWRITTEN: &str = "places-new";

/// One change of the places.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Record {
    /// The virtual length; blocks beyond it are dropped.
    Length(u64),
    /// A block got a slot.
    Place {
        /// The block.
        block: u32,
        /// Its slot.
        slot: u32,
    },
}

/// The file with the records.
#[derive(Debug)]
pub(super) struct Journal {
    path: PathBuf,
    file: File,
    records: u64,
    /// Whether there are records that are not synced.
    dirty: bool,
    /// Whether nothing lies behind the records: what an earlier process left
    /// there is cut off before the first record is written.
    is_cut: bool,
}

impl Journal {
    /// Reads all valid records and changes nothing: the lock of the database is
    /// not held yet.
    pub(super) fn open(path: &Path) -> io::Result<(Self, Vec<Record>)> {
        let file = super::open_file(path)?;
        let mut bytes = vec![0; file.metadata()?.len() as usize];
        file.read_exact_at(&mut bytes, 0)?;
        let records = records_in(&bytes);
        let journal = Journal {
            path: path.to_path_buf(),
            file,
            records: records.len() as u64,
            dirty: false,
            is_cut: false,
        };
        Ok((journal, records))
    }

    /// Writes a record; it lasts once synced.
    pub(super) fn append(&mut self, record: Record) -> io::Result<()> {
        let bytes = encode(self.records, record);
        let at = self.records * RECORD_BYTES as u64;
        self.cut_at(at)?;
        self.dirty = true;
        self.file.write_all_at(&bytes, at)?;
        self.records += 1;
        Ok(())
    }

    /// Cuts off what lies behind the valid records, durably: a whole record
    /// behind a torn one would be in force again once the gap is filled.
    fn cut_at(&mut self, end: u64) -> io::Result<()> {
        if self.is_cut {
            return Ok(());
        }
        if self.file.metadata()?.len() > end {
            self.file.set_len(end)?;
            self.file.sync_all()?;
        }
        self.is_cut = true;
        Ok(())
    }

    /// Replaces the journal by one that says the same in `records`, if it has
    /// grown far longer. A loss of power leaves the one or the other.
    pub(super) fn shorten(&mut self, records: &[Record]) -> io::Result<()> {
        if self.records < records.len() as u64 + SPARE_RECORDS {
            return Ok(());
        }
        self.file = write_whole(&self.path, records)?;
        self.records = records.len() as u64;
        self.dirty = false;
        self.is_cut = true;
        Ok(())
    }

    /// Makes all records last.
    pub(super) fn sync(&mut self) -> io::Result<()> {
        if self.dirty {
            self.file.sync_data()?;
            self.dirty = false;
        }
        Ok(())
    }
}

/// Makes the journal at `path` one that says just this. A loss of power leaves what was
/// there before, or the new one.
pub(super) fn write_whole(path: &Path, records: &[Record]) -> io::Result<File> {
    let rewritten = path.with_extension(REWRITTEN);
    let mut bytes = Vec::with_capacity(records.len() * RECORD_BYTES);
    for (number, record) in records.iter().enumerate() {
        bytes.extend_from_slice(&encode(number as u64, *record));
    }
    fs::write(&rewritten, &bytes)?;
    let file = super::open_file(&rewritten)?;
    file.sync_all()?;
    fs::rename(&rewritten, path)?;
    if let Some(folder) = path.parent() {
        File::open(folder)?.sync_all()?;
    }
    Ok(file)
}

/// The valid records at the start of a journal's bytes.
pub(crate) fn records_in(bytes: &[u8]) -> Vec<Record> {
    let chunks = bytes.chunks_exact(RECORD_BYTES).enumerate();
    chunks
        .map_while(|(number, bytes)| decode(number as u64, bytes))
        .collect()
}

fn encode(number: u64, record: Record) -> [u8; RECORD_BYTES] {
    let (kind, value) = match record {
        Record::Length(length) => (LENGTH, length),
        Record::Place { block, slot } => (PLACE, u64::from(block) << 32 | u64::from(slot)),
    };
    let mut bytes = [0; RECORD_BYTES];
    bytes[..4].copy_from_slice(&kind.to_le_bytes());
    bytes[4..8].copy_from_slice(&checksum(number, kind, value).to_le_bytes());
    bytes[8..].copy_from_slice(&value.to_le_bytes());
    bytes
}

fn decode(number: u64, bytes: &[u8]) -> Option<Record> {
    let kind = u32::from_le_bytes(bytes[..4].try_into().ok()?);
    let found = u32::from_le_bytes(bytes[4..8].try_into().ok()?);
    let value = u64::from_le_bytes(bytes[8..16].try_into().ok()?);
    if found != checksum(number, kind, value) {
        return None;
    }
    match kind {
        LENGTH => Some(Record::Length(value)),
        PLACE => Some(Record::Place {
            block: (value >> 32) as u32,
            slot: value as u32,
        }),
        _ => None,
    }
}

fn checksum(number: u64, kind: u32, value: u64) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&number.to_le_bytes());
    hasher.update(&kind.to_le_bytes());
    hasher.update(&value.to_le_bytes());
    hasher.finalize()
}
