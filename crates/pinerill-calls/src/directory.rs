//! The directory of workers, as the platform list tells it.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::digest::Digest;
use crate::encoding::Format;

/// Directories that a control machine remembers: the list is read once a second and nodes
/// ask twice, so that only one that was cut off lags by more.
const DIRECTORIES_KEPT: usize = 8;

/// Between a worker's name and its birth in an identifier.
const BIRTH_MARK: char = '@';

/// Identifies one start of a worker: the name that the platform gives it and, where the
/// platform tells it, the Unix millisecond of its start. A worker may start again under the
/// name that it had; it is then another one, and knows nothing of before. Where no birth is
/// told, a name is never used twice.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerId(String);

impl WorkerId {
    /// The start of a worker of this name with this birth.
    pub fn new(name: &str, started_at_ms: Option<u64>) -> Self {
        WorkerId(match started_at_ms {
            Some(started_at_ms) => format!("{name}{BIRTH_MARK}{started_at_ms}"),
            // A name that looks as if it told a birth is marked as one that doesn't.
            None if name.contains(BIRTH_MARK) => format!("{name}{BIRTH_MARK}"),
            None => name.to_owned(),
        })
    }

    /// The name that the platform gives the worker.
    pub fn name(&self) -> &str {
        self.parts().0
    }

    /// The Unix millisecond of its start, if it is told.
    pub fn started_at_ms(&self) -> Option<u64> {
        self.parts().1.parse().ok()
    }

    /// The whole identifier.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    fn parts(&self) -> (&str, &str) {
        self.0.rsplit_once(BIRTH_MARK).unwrap_or((&self.0, ""))
    }
}

impl From<String> for WorkerId {
    /// From a whole identifier.
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

/// One worker of the platform list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerEntry {
    /// This start of the worker.
    pub id: WorkerId,
    /// The service that it serves.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: WorkerState,
    /// Time during which it is still slow after its start, milliseconds.
    pub cold_left_ms: u64,
}

/// Whether a worker takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerState {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// One page of the platform list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerPage {
    /// Workers on this page.
    pub workers: Vec<WorkerEntry>,
    /// Token of the next page; none on the last.
    pub next: Option<String>,
    /// Entries that name no worker to use.
    pub skipped: SkippedEntries,
}

/// Entries of the platform list that could not be read, as they may come from another
/// writer. They name no worker; the others hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SkippedEntries {
    /// How many.
    pub count: usize,
    /// What is wrong with the first one; none of its content.
    pub first_reason: Option<String>,
}

impl SkippedEntries {
    /// One more could not be read.
    pub fn add(&mut self, reason: String) {
        self.count += 1;
        self.first_reason.get_or_insert(reason);
    }

    /// Those of another page as well.
    pub fn extend(&mut self, other: SkippedEntries) {
        self.count += other.count;
        self.first_reason = self.first_reason.take().or(other.first_reason);
    }
}

/// Pages of the platform list, gathered into one reading.
#[derive(Debug, Default)]
pub struct ListReading {
    /// Workers so far.
    pub workers: Vec<WorkerEntry>,
    /// Entries so far that name none.
    pub skipped: SkippedEntries,
    tokens: HashSet<String>,
    pages: usize,
}

/// A list whose pages lead back to one that was read already.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a page's token was told before: the list has no end")]
pub struct RepeatedPageToken;

impl ListReading {
    /// Takes in a page. Returns the token of the next one, if there is one.
    ///
    /// # Errors
    /// [`RepeatedPageToken`].
    pub fn add_page(&mut self, page: WorkerPage) -> Result<Option<String>, RepeatedPageToken> {
        self.pages += 1;
        self.workers.extend(page.workers);
        self.skipped.extend(page.skipped);
        match page.next {
            Some(token) if !self.tokens.insert(token.clone()) => Err(RepeatedPageToken),
            next => Ok(next),
        }
    }

    /// Pages taken in so far.
    pub fn pages(&self) -> usize {
        self.pages
    }
}

/// What leads from a directory that the asker holds to the present one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryUpdate {
    /// Digest of the present directory.
    pub digest: Digest,
    /// The change.
    pub change: DirectoryChange,
}

/// How a directory changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryChange {
    /// All workers.
    Whole(Vec<WorkerEntry>),
    /// Against the directory that the asker named.
    Difference {
        /// Workers that are listed no more.
        removed: Vec<WorkerId>,
        /// Workers that are new or have changed.
        put: Vec<WorkerEntry>,
    },
}

/// A change does not lead to the directory that it was told for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the change belongs to another directory")]
pub struct DirectoryMismatch;

/// A directory in the order of its workers' names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Directory {
    workers: Vec<WorkerEntry>,
    digest: Digest,
}

impl Directory {
    /// The directory of these workers, given in any order.
    /// Of two starts of one worker the later one counts.
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

    /// Its digest.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Its digest in an older format.
    pub fn digest_in_format(&self, format: Format) -> Digest {
        Digest::of_in_format(format, &self.workers)
    }

    /// Whether it names this start of a worker.
    pub fn contains(&self, worker: &WorkerId) -> bool {
        let place = self
            .workers
            .binary_search_by(|one| one.id.name().cmp(worker.name()));
        place.is_ok_and(|place| self.workers[place].id == *worker)
    }

    /// All workers.
    pub fn workers(&self) -> &[WorkerEntry] {
        &self.workers
    }

    /// What changes from an earlier directory to this one.
    pub fn changes_since(&self, earlier: &Directory) -> DirectoryChange {
        let before: HashMap<&str, &WorkerEntry> = earlier.by_id();
        let now = self.by_id();
        let gone = earlier
            .workers
            .iter()
            .filter(|one| !now.contains_key(one.id.as_str()));
        let put = self
            .workers
            .iter()
            .filter(|one| before.get(one.id.as_str()) != Some(one));
        DirectoryChange::Difference {
            removed: gone.map(|one| one.id.clone()).collect(),
            put: put.cloned().collect(),
        }
    }

    /// The directory that an update leads to from the one that is held.
    ///
    /// # Errors
    /// [`DirectoryMismatch`] if it does not lead there; the whole must be asked for.
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

    /// The directory that a change leads to, whatever it is named.
    ///
    /// # Errors
    /// [`DirectoryMismatch`] if the change needs a directory and none is held.
    pub fn apply_change(
        held: Option<&Directory>,
        change: DirectoryChange,
    ) -> Result<Directory, DirectoryMismatch> {
        let workers = match change {
            DirectoryChange::Whole(workers) => workers,
            DirectoryChange::Difference { removed, put } => {
                let held = held.ok_or(DirectoryMismatch)?;
                let replaced = |one: &WorkerEntry| put.iter().any(|new| new.id == one.id);
                let stays = |one: &&WorkerEntry| !removed.contains(&one.id) && !replaced(one);
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
        workers.map(|one| (one.id.as_str(), one)).collect()
    }
}

/// The present directory and some before it, so that who holds one of these is told what
/// has changed since.
#[derive(Debug, Default)]
pub struct DirectoryHistory {
    /// The newest last.
    directories: VecDeque<Directory>,
    /// When the newest whole reading of the list began, on its reader's clock, milliseconds.
    read_ms: Option<u64>,
}

impl DirectoryHistory {
    /// Takes in a whole reading of the list that began at that time; true if it is news.
    pub fn record_reading(&mut self, began_ms: u64, workers: Vec<WorkerEntry>) -> bool {
        self.read_ms = self.read_ms.max(Some(began_ms));
        let directory = Directory::new(workers);
        if self.directories.back() == Some(&directory) {
            return false;
        }
        self.directories.push_back(directory);
        if self.directories.len() > DIRECTORIES_KEPT {
            self.directories.pop_front();
        }
        true
    }

    /// The present directory; none before the first reading.
    pub fn current(&self) -> Option<&Directory> {
        self.directories.back()
    }

    /// Time from the beginning of the newest reading to a moment, milliseconds; none before
    /// the first reading. The beginning counts, since a page may have been read then.
    pub fn age_ms(&self, at_ms: u64) -> Option<u64> {
        Some(at_ms.saturating_sub(self.read_ms?))
    }

    /// The same digest, if the directory that it names is remembered.
    pub fn retained_digest(&self, held: Option<Digest>) -> Option<Digest> {
        let mut kept = self.directories.iter();
        kept.find(|one| Some(one.digest) == held)
            .map(Directory::digest)
    }

    /// What leads from the directory with this digest to the present one; none if it is
    /// the present one or nothing was read yet. Who holds none that is known here gets
    /// the whole.
    pub fn update_from(&self, held: Option<Digest>) -> Option<DirectoryUpdate> {
        let current = self.current()?;
        if held == Some(current.digest) {
            return None;
        }
        let mut kept = self.directories.iter().rev();
        let earlier = kept.find(|one| Some(one.digest) == held);
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
