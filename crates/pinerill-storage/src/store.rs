//! The store on an embedded database.

use std::fs::{self, File};
use std::io::Read;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;

use parking_lot::Mutex;
use pinerill_replica::{GroupId, ReplicaId};
use redb::{Builder, Database, ReadableDatabase, ReadableTable};

use crate::creation;
use crate::reader::{open_table, TransactionReader};
use crate::replacement::Replacements;
use crate::tables::{decode, encode, TableFailure, HARD_STATES, IDENTITY, IDENTITY_KEY, SNAPSHOTS};
use crate::thin_file::ThinFile;
use crate::writer::{QueuedWrite, Writer};
use crate::{
    ClusterId, Completion, CountersSnapshot, GroupReader, GroupStore, Identity, RestoredGroup,
    StorageCause, StorageError, StoreCounters, WriteBatch,
};

/// Name of the database in the data folder.
pub const DATABASE_FILE: &str = "pinerill.redb";
/// Memory for database pages, in bytes.
const CACHE_BYTES: usize = 128 << 20;

/// Durable state of one process.
pub struct Store {
    database: Arc<Database>,
    path: PathBuf,
    identity: Mutex<Identity>,
    queue: Option<Sender<QueuedWrite>>,
    writer: Option<JoinHandle<()>>,
    counters: Arc<StoreCounters>,
    replacements: Arc<Replacements>,
}

impl Store {
    /// Opens the data folder. An empty or missing folder becomes a stranger:
    /// it gets a new random identifier and belongs to no cluster.
    pub fn open(folder: impl AsRef<Path>) -> Result<Store, StorageError> {
        Self::open_as(folder, ReplicaId(rand::random()))
    }

    /// Opens the data folder. An empty or missing folder becomes a stranger
    /// with the identifier `newcomer`, which must be unique.
    pub fn open_as(folder: impl AsRef<Path>, newcomer: ReplicaId) -> Result<Store, StorageError> {
        let folder = folder.as_ref();
        let path = folder.join(DATABASE_FILE);
        create_folder(folder)?;
        let newcomer = Identity {
            replica: newcomer,
            cluster: None,
        };
        creation::ensure(&path, newcomer)?;
        let database = open_database(&path)?;
        let identity = load_or_create_identity(&database, &path, newcomer)?;
        Self::start(database, path, identity)
    }

    fn start(database: Database, path: PathBuf, identity: Identity) -> Result<Self, StorageError> {
        let database = Arc::new(database);
        let counters = Arc::new(StoreCounters::default());
        let replacements = Arc::new(Replacements::default());
        let (queue, receiver) = channel();
        let writer = Writer {
            database: database.clone(),
            path: path.clone(),
            queue: receiver,
            counters: counters.clone(),
            replacements: replacements.clone(),
        };
        let writer = std::thread::Builder::new()
            .name("store-writer".to_string())
            .spawn(move || writer.run())
            .map_err(|error| io_error("start of the writer", &path, error))?;
        Ok(Store {
            database,
            path,
            identity: Mutex::new(identity),
            queue: Some(queue),
            writer: Some(writer),
            counters,
            replacements,
        })
    }

    fn explain<T>(
        &self,
        step: &'static str,
        result: Result<T, TableFailure>,
    ) -> Result<T, StorageError> {
        explain(step, &self.path, result)
    }

    fn transaction(&self, group: GroupId) -> Result<TransactionReader, StorageError> {
        let transaction = self.database.begin_read();
        let transaction = self.explain(
            "start of a read transaction",
            transaction.map_err(TableFailure::from),
        )?;
        Ok(TransactionReader {
            transaction,
            group,
            path: self.path.clone(),
        })
    }

    fn try_groups(&self) -> Result<Vec<GroupId>, TableFailure> {
        let transaction = self.database.begin_read()?;
        let mut groups = Vec::new();
        for definition in [HARD_STATES, SNAPSHOTS] {
            let Some(table) = open_table(&transaction, definition)? else {
                continue;
            };
            for stored in table.iter()? {
                groups.push(GroupId(stored?.0.value()));
            }
        }
        groups.sort_unstable();
        groups.dedup();
        Ok(groups)
    }
}

impl GroupStore for Store {
    fn identity(&self) -> Identity {
        *self.identity.lock()
    }

    fn join_cluster(&self, cluster: ClusterId) -> Result<(), StorageError> {
        let mut identity = self.identity.lock();
        let step = "join of a cluster";
        match identity.cluster {
            Some(found) if found == cluster => return Ok(()),
            Some(found) => {
                let cause = StorageCause::OtherCluster {
                    found,
                    wanted: cluster,
                };
                return Err(StorageError::new(step, &self.path, cause));
            }
            None => {}
        }
        let joined = Identity {
            cluster: Some(cluster),
            ..*identity
        };
        self.explain(step, write_identity(&self.database, &joined))?;
        *identity = joined;
        Ok(())
    }

    fn groups(&self) -> Result<Vec<GroupId>, StorageError> {
        self.explain("list of groups", self.try_groups())
    }

    fn restore(&self, group: GroupId) -> Result<Option<RestoredGroup>, StorageError> {
        self.transaction(group)?.restore()
    }

    fn write(&self, batch: WriteBatch, completion: Completion) {
        let write = QueuedWrite { batch, completion };
        let Some(queue) = &self.queue else {
            return;
        };
        if let Err(refused) = queue.send(write) {
            let error = StorageError::new("write", &self.path, StorageCause::Stopped);
            (refused.0.completion)(Err(error));
        }
    }

    fn reader(&self, group: GroupId) -> Result<Box<dyn GroupReader>, StorageError> {
        let before = self.replacements.step(group);
        let view = self.transaction(group)?;
        if before.is_under_way() || self.replacements.step(group) != before {
            let cause = StorageCause::BeingReplaced;
            return Err(StorageError::new("view of a group", &self.path, cause));
        }
        Ok(Box::new(view))
    }

    fn counters(&self) -> CountersSnapshot {
        self.counters.snapshot()
    }
}

impl Drop for Store {
    /// Writes what is queued before the database is closed.
    fn drop(&mut self) {
        self.queue = None;
        if let Some(writer) = self.writer.take() {
            let is_writer = writer.thread().id() == std::thread::current().id();
            if !is_writer {
                let _ = writer.join();
            }
        }
    }
}

pub(crate) fn explain<T>(
    step: &'static str,
    path: &Path,
    result: Result<T, TableFailure>,
) -> Result<T, StorageError> {
    result.map_err(|failure| StorageError::new(step, path, failure.into_cause()))
}

pub(crate) fn io_error(step: &'static str, path: &Path, error: std::io::Error) -> StorageError {
    StorageError::new(step, path, StorageCause::Io(error.to_string()))
}

/// Makes the folder, and its name durable.
fn create_folder(folder: &Path) -> Result<(), StorageError> {
    let missing = folder.ancestors().take_while(|folder| !folder.exists());
    let missing: Vec<&Path> = missing.collect();
    fs::create_dir_all(folder)
        .map_err(|error| io_error("creation of the folder", folder, error))?;
    let holders = missing.iter().filter_map(|created| created.parent());
    holders
        .map(|holder| match holder.as_os_str().is_empty() {
            true => Path::new("."),
            false => holder,
        })
        .try_for_each(sync_folder)
}

/// Makes the names of new files durable.
pub(crate) fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    File::open(folder)
        .and_then(|opened| opened.sync_all())
        .map_err(|error| io_error("sync of the folder", folder, error))
}

fn open_database(path: &Path) -> Result<Database, StorageError> {
    let step = "opening";
    let file = ThinFile::open(path).map_err(|error| io_error(step, path, error))?;
    // The names of both files last before anything is kept in them: one that
    // is lost without the other would leave data that can't be read.
    sync_folder(path.parent().unwrap_or(path))?;
    let opened = Builder::new()
        .set_cache_size(CACHE_BYTES)
        .set_check_integrity_on_open(true)
        .create_with_backend(file);
    opened.map_err(|error| {
        let cause = match crate::error::cause_of(error.into()) {
            StorageCause::AlreadyOpen => StorageCause::AlreadyOpen,
            _ if is_foreign(path) => StorageCause::Foreign,
            cause => cause,
        };
        StorageError::new(step, path, cause)
    })
}

/// Whether the file can be read and doesn't start like a database of the
/// library. An empty file counts as a new database.
fn is_foreign(path: &Path) -> bool {
    const MAGIC: &[u8] = b"redb";
    let mut start = Vec::new();
    let limit = MAGIC.len() as u64;
    let read = File::open(path).and_then(|file| file.take(limit).read_to_end(&mut start));
    read.is_ok() && !start.is_empty() && start != MAGIC
}

fn load_or_create_identity(
    database: &Database,
    path: &Path,
    newcomer: Identity,
) -> Result<Identity, StorageError> {
    let step = "reading of the identity";
    if let Some(identity) = explain(step, path, read_identity(database))? {
        return Ok(identity);
    }
    if explain(step, path, has_tables(database))? {
        return Err(StorageError::new(step, path, StorageCause::Foreign));
    }
    let written = write_identity(database, &newcomer);
    explain("writing of the identity", path, written)?;
    Ok(newcomer)
}

fn read_identity(database: &Database) -> Result<Option<Identity>, TableFailure> {
    let transaction = database.begin_read()?;
    let Some(table) = open_table(&transaction, IDENTITY)? else {
        return Ok(None);
    };
    let Some(value) = table.get(IDENTITY_KEY)? else {
        return Ok(None);
    };
    decode(value.value()).map(Some)
}

fn has_tables(database: &Database) -> Result<bool, TableFailure> {
    let transaction = database.begin_read()?;
    let mut tables = transaction.list_tables()?;
    Ok(tables.next().is_some())
}

pub(crate) fn write_identity(database: &Database, identity: &Identity) -> Result<(), TableFailure> {
    let encoded = encode(identity)?;
    let transaction = database.begin_write()?;
    {
        let mut table = transaction.open_table(IDENTITY)?;
        table.insert(IDENTITY_KEY, encoded.as_slice())?;
    }
    transaction.commit()?;
    Ok(())
}
