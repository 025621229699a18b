//! The directory of workers, built from the worker list that the platform serves.
//!
//! A control machine collects the pages of the list in a [`ListReading`] and records the result
//! in a [`DirectoryHistory`], which computes [`DirectoryUpdate`]s for nodes. A node applies an
//! update to the [`Directory`] that it holds and verifies the digest of the result, which detects
//! differences that were computed for another directory.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::digest::Digest;
use crate::encoding::Format;
use crate::formats::older_directory_digest;

/// Number of directories, including the current one, that a control machine retains to compute
/// differences. The list is read once per second and nodes ask twice per second, so only a node
/// that was disconnected lags behind by more.
const HISTORY_LENGTH: usize = 8;

/// Separates a worker's name from its start time in an identifier.
const START_TIME_SEPARATOR: char = '@';

/// Identifies one incarnation of a worker: the name that the platform assigns and, if the
/// platform reports it, the Unix time of its start in milliseconds. A worker may restart under
/// the same name. It is then a different incarnation that has no state from before. If the
/// platform reports no start time, it never reuses a name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerId(String);

impl WorkerId {
    /// Creates the identifier of a worker with this name and start time, a Unix time in
    /// milliseconds.
    pub fn new(name: &str, started_at_ms: Option<u64>) -> Self {
        WorkerId(match started_at_ms {
            Some(started_at_ms) => format!("{name}{START_TIME_SEPARATOR}{started_at_ms}"),
            // A trailing separator keeps the rest of the name from being parsed as a start time.
            None if name.contains(START_TIME_SEPARATOR) => format!("{name}{START_TIME_SEPARATOR}"),
            None => name.to_owned(),
        })
    }

    /// Returns the name that the platform assigns to the worker, without the start time.
    pub fn name(&self) -> &str {
        self.split_start_time().0
    }

    /// Returns the Unix time of the worker's start in milliseconds, or `None` if the platform did
    /// not report it.
    pub fn started_at_ms(&self) -> Option<u64> {
        self.split_start_time().1.parse().ok()
    }

    /// Returns the whole identifier: the name and, if known, the start time.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Splits the identifier into the name and the start time, which is empty if unknown.
    fn split_start_time(&self) -> (&str, &str) {
        self.0
            .rsplit_once(START_TIME_SEPARATOR)
            .unwrap_or((&self.0, ""))
    }
}

impl From<String> for WorkerId {
    /// Wraps a whole identifier as [`WorkerId::as_str`] returns it.
    fn from(identifier: String) -> Self {
        WorkerId(identifier)
    }
}

impl std::ops::Deref for WorkerId {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl std::borrow::Borrow<str> for WorkerId {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Display for WorkerId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// One worker of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerEntry {
    /// The incarnation of the worker.
    pub id: WorkerId,
    /// Name of the service that the worker belongs to.
    pub service: String,
    /// Address on which the worker accepts requests.
    pub address: SocketAddr,
    /// Name of the zone in which the worker runs.
    pub zone: String,
    /// Number of requests that the worker processes concurrently.
    pub slots: u32,
    /// Whether the worker accepts new requests.
    pub state: WorkerState,
    /// Remaining time in milliseconds during which the worker is slow after its start; 0 once it
    /// is warm.
    pub cold_left_ms: u64,
    /// Version of the software that this incarnation runs; `None` if the source does not state it,
    /// as leaders of formats before 9 do.
    pub version: Option<String>,
}

/// Whether a worker accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerState {
    /// The worker accepts new requests.
    Ready,
    /// The worker completes its requests in flight, accepts no new ones and then stops.
    Draining,
}

/// One page of the platform's worker list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerPage {
    /// Valid entries of this page.
    pub workers: Vec<WorkerEntry>,
    /// Token with which the next page is requested; `None` on the last page.
    pub next: Option<String>,
    /// Entries of this page that could not be parsed.
    pub skipped: SkippedEntries,
}

/// Entries of the platform's list that could not be parsed, for instance because another
/// implementation wrote them. They are skipped, and the other entries remain valid.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SkippedEntries {
    /// Number of skipped entries.
    pub count: usize,
    /// What is wrong with the first skipped entry, without any of its content; `None` if no
    /// entry was skipped.
    pub first_reason: Option<String>,
}

impl SkippedEntries {
    /// Counts one more entry and keeps the reason if it is the first.
    pub fn add(&mut self, reason: String) {
        self.count += 1;
        self.first_reason.get_or_insert(reason);
    }

    /// Adds the skipped entries of another page.
    pub fn extend(&mut self, other: SkippedEntries) {
        self.count += other.count;
        self.first_reason = self.first_reason.take().or(other.first_reason);
    }
}

/// Collects the pages of one complete reading of the platform's worker list.
#[derive(Debug, Default)]
pub struct ListReading {
    /// Workers of all pages added so far.
    pub workers: Vec<WorkerEntry>,
    /// Entries that could not be parsed on the pages added so far.
    pub skipped: SkippedEntries,
    tokens: HashSet<String>,
    pages: usize,
}

/// The list returned the token of a page that was already requested, so reading would not
/// terminate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the worker list repeats a page token and would never end")]
pub struct RepeatedPageToken;

impl ListReading {
    /// Adds a page. Returns the token of the next page, or `None` if this page is the last.
    ///
    /// # Errors
    /// [`RepeatedPageToken`] if an earlier page had the same token.
    pub fn add_page(&mut self, page: WorkerPage) -> Result<Option<String>, RepeatedPageToken> {
        self.pages += 1;
        self.workers.extend(page.workers);
        self.skipped.extend(page.skipped);
        match page.next {
            Some(token) if !self.tokens.insert(token.clone()) => Err(RepeatedPageToken),
            next => Ok(next),
        }
    }

    /// Returns the number of pages added so far.
    pub fn pages(&self) -> usize {
        self.pages
    }
}

/// The change from the directory that a node holds to the current one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryUpdate {
    /// Digest of the current directory, with which the result is verified.
    pub digest: Digest,
    /// The change to apply to the directory that the node holds.
    pub change: DirectoryChange,
}

/// A change of a directory, as a complete list or as a difference.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryChange {
    /// Replaces the directory by these workers.
    Whole(Vec<WorkerEntry>),
    /// Difference from the directory whose digest the node sent.
    Difference {
        /// Workers to remove.
        removed: Vec<WorkerId>,
        /// Workers to insert or, if the identifier exists, to overwrite.
        put: Vec<WorkerEntry>,
    },
}

/// Applying an update did not result in the directory with the digest of the update.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the change belongs to another directory")]
pub struct DirectoryMismatch;

/// The workers of one reading, sorted by name and with one entry per name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Directory {
    workers: Vec<WorkerEntry>,
    digest: Digest,
}

impl Directory {
    /// Creates a directory of these workers, given in any order. If several incarnations of a
    /// worker are given, only the latest is kept.
    pub fn new(mut workers: Vec<WorkerEntry>) -> Self {
        workers.sort_by(|left, right| {
            let (left, right) = (&left.id, &right.id);
            let by_name = left.name().cmp(right.name());
            by_name.then(right.started_at_ms().cmp(&left.started_at_ms()))
        });
        workers.dedup_by(|later, kept| later.id.name() == kept.id.name());
        let digest = Digest::of(&workers);
        Directory { workers, digest }
    }

    /// Returns the digest of the directory in the newest format.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the digest that a process of the given format computes for this directory.
    pub fn digest_in_format(&self, format: Format) -> Digest {
        match format < Format::WORKER_VERSIONS {
            true => older_directory_digest(format, &self.workers),
            false => Digest::of_in_format(format, &self.workers),
        }
    }

    /// Whether the directory contains this incarnation of a worker.
    pub fn contains(&self, worker: &WorkerId) -> bool {
        let index = self
            .workers
            .binary_search_by(|entry| entry.id.name().cmp(worker.name()));
        index.is_ok_and(|index| self.workers[index].id == *worker)
    }

    /// Returns all workers, sorted by name.
    pub fn workers(&self) -> &[WorkerEntry] {
        &self.workers
    }

    /// Returns the difference from an earlier directory to this one.
    pub fn changes_since(&self, earlier: &Directory) -> DirectoryChange {
        let before: HashMap<&str, &WorkerEntry> = earlier.by_id();
        let now = self.by_id();
        let gone = earlier
            .workers
            .iter()
            .filter(|entry| !now.contains_key(entry.id.as_str()));
        let put = self
            .workers
            .iter()
            .filter(|entry| before.get(entry.id.as_str()) != Some(entry));
        DirectoryChange::Difference {
            removed: gone.map(|entry| entry.id.clone()).collect(),
            put: put.cloned().collect(),
        }
    }

    /// Applies an update to the directory that a node holds, and verifies the digest.
    ///
    /// # Errors
    /// [`DirectoryMismatch`] if the result does not have the digest of the update, or if the
    /// update is a difference and no directory is held. The caller must then request the whole
    /// directory.
    pub fn apply_update(
        held: Option<&Directory>,
        update: DirectoryUpdate,
    ) -> Result<Directory, DirectoryMismatch> {
        let directory = Self::apply_change(held, update.change)?;
        match directory.digest == update.digest {
            true => Ok(directory),
            false => Err(DirectoryMismatch),
        }
    }

    /// Applies a change to the directory that a node holds, without verifying a digest.
    ///
    /// # Errors
    /// [`DirectoryMismatch`] if the change is a difference and no directory is held.
    pub fn apply_change(
        held: Option<&Directory>,
        change: DirectoryChange,
    ) -> Result<Directory, DirectoryMismatch> {
        let workers = match change {
            DirectoryChange::Whole(workers) => workers,
            DirectoryChange::Difference { removed, put } => {
                let held = held.ok_or(DirectoryMismatch)?;
                let replaced = |entry: &WorkerEntry| put.iter().any(|new| new.id == entry.id);
                let stays = |entry: &&WorkerEntry| !removed.contains(&entry.id) && !replaced(entry);
                let mut workers: Vec<WorkerEntry> =
                    held.workers.iter().filter(stays).cloned().collect();
                workers.extend(put);
                workers
            }
        };
        Ok(Directory::new(workers))
    }

    fn by_id(&self) -> HashMap<&str, &WorkerEntry> {
        let workers = self.workers.iter();
        workers.map(|entry| (entry.id.as_str(), entry)).collect()
    }
}

/// The current directory and its most recent predecessors. Nodes that hold one of them receive only
/// the difference to the current one.
#[derive(Debug, Default)]
pub struct DirectoryHistory {
    /// Ordered from the oldest to the current one.
    directories: VecDeque<Directory>,
    /// Time in milliseconds, on the reader's clock, at which the latest complete reading of the
    /// list began; `None` before the first.
    last_reading_began_ms: Option<u64>,
}

impl DirectoryHistory {
    /// Records a complete reading of the list that began at `began_ms`, in milliseconds on the
    /// reader's clock. Returns true if the directory has changed.
    pub fn record_reading(&mut self, began_ms: u64, workers: Vec<WorkerEntry>) -> bool {
        self.last_reading_began_ms = self.last_reading_began_ms.max(Some(began_ms));
        let directory = Directory::new(workers);
        if self.directories.back() == Some(&directory) {
            return false;
        }
        self.directories.push_back(directory);
        if self.directories.len() > HISTORY_LENGTH {
            self.directories.pop_front();
        }
        true
    }

    /// Returns the current directory, or `None` before the first reading.
    pub fn current(&self) -> Option<&Directory> {
        self.directories.back()
    }

    /// Returns the time in milliseconds from the beginning of the latest reading to `at_ms`, or
    /// `None` before the first reading. The age counts from the beginning because the first
    /// pages reflect the state at that time.
    pub fn age_ms(&self, at_ms: u64) -> Option<u64> {
        Some(at_ms.saturating_sub(self.last_reading_began_ms?))
    }

    /// Returns the given digest if a retained directory has it, otherwise `None`.
    pub fn retained_digest(&self, held: Option<Digest>) -> Option<Digest> {
        let mut kept = self.directories.iter();
        kept.find(|directory| Some(directory.digest) == held)
            .map(Directory::digest)
    }

    /// Returns the update from the directory with digest `held` to the current one. The update
    /// contains the whole directory if `held` is `None` or no retained directory has it. Returns
    /// `None` if `held` is current or the list was not read yet.
    pub fn update_from(&self, held: Option<Digest>) -> Option<DirectoryUpdate> {
        let current = self.current()?;
        if held == Some(current.digest) {
            return None;
        }
        let mut kept = self.directories.iter().rev();
        let earlier = kept.find(|directory| Some(directory.digest) == held);
        let change = match earlier {
            Some(earlier) => current.changes_since(earlier),
            None => DirectoryChange::Whole(current.workers.clone()),
        };
        Some(DirectoryUpdate {
            digest: current.digest,
            change,
        })
    }
}
