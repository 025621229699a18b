//! Durable log, snapshots, state tables and identity of a data folder.
//!
//! [`Store`] keeps everything of one process in one embedded database and
//! syncs the writes of many groups together. [`MemoryStore`] is its twin for
//! simulations and tests: it loses what was not synced.

mod batch;
mod codec;
mod creation;
mod error;
mod memory;
mod memory_group;
mod reader;
mod replacement;
mod snapshot_stream;
mod store;
mod store_trait;
mod tables;
mod thin_file;
mod writer;

pub use batch::{Operation, StateEntry, WriteBatch};
pub use error::{StorageCause, StorageError};
pub use memory::MemoryStore;
pub use snapshot_stream::{decode_snapshot, DecodedSnapshot, SnapshotStream};
pub use store::{Store, DATABASE_FILE};
pub use store_trait::{
    ClusterId, Completion, CountersSnapshot, GroupReader, GroupStore, Identity, RestoredGroup,
    StoreCounters,
};
pub use thin_file::{ThinFile, BLOCK_BYTES};
