//! Errors of the store: the step, the file and the cause.

use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::ClusterId;

/// A step on a data folder that failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("storage: {step} failed for {}: {cause}", path.display())]
pub struct StorageError {
    /// What was being done.
    pub step: &'static str,
    /// The file or folder it was done to.
    pub path: PathBuf,
    /// Why it failed.
    pub cause: StorageCause,
}

/// Why a step failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StorageCause {
    /// The file is not a database of pinerill.
    #[error("not a pinerill database; move the file away to start with an empty folder")]
    Foreign,
    /// The database is damaged.
    #[error("the database is corrupted ({0}); replace this replica with an empty folder")]
    Corrupted(String),
    /// Another process has the folder open.
    #[error("the database is open in another process")]
    AlreadyOpen,
    /// The folder belongs to another cluster.
    #[error("the folder belongs to cluster {found}, not to {wanted}")]
    OtherCluster {
        /// The cluster the folder belongs to.
        found: ClusterId,
        /// The cluster it was to be used for.
        wanted: ClusterId,
    },
    /// The operating system or the database refused.
    #[error("{0}")]
    Io(String),
    /// The state is being replaced by a received snapshot; it is there again within a
    /// moment.
    #[error("the state is being replaced by a snapshot")]
    BeingReplaced,
    /// The store was closed or an earlier write failed.
    #[error("the store takes no more writes")]
    Stopped,
}

impl StorageError {
    /// An error of `step` on `path`.
    pub fn new(step: &'static str, path: &Path, cause: StorageCause) -> Self {
        StorageError {
            step,
            path: path.to_path_buf(),
            cause,
        }
    }
}

/// Turns an error of the database into a cause.
pub(crate) fn cause_of(error: redb::Error) -> StorageCause {
    match error {
        redb::Error::DatabaseAlreadyOpen => StorageCause::AlreadyOpen,
        redb::Error::Corrupted(what) => StorageCause::Corrupted(what),
        other => StorageCause::Io(other.to_string()),
    }
}
