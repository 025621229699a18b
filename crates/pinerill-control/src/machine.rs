//! What a replicated group asks of its state machine.

use thiserror::Error;

/// A command or a snapshot that this build does not read: it was written by another build, or
/// is damaged.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("unreadable state: {0}")]
pub struct UnreadableState(pub String);

/// Collects writes to a group's state table.
pub trait TableWriter {
    /// Sets a key.
    fn put(&mut self, key: &[u8], value: &[u8]);
    /// Removes a key.
    fn delete(&mut self, key: &[u8]);
}

/// Reads a group's state table.
pub trait TableReader {
    /// Value of a key.
    ///
    /// # Errors
    /// When the store can't be read.
    fn get(&self, key: &[u8]) -> anyhow::Result<Option<Vec<u8>>>;
}

/// A deterministic state machine.
///
/// Its state has two parts: the machine itself, kept in memory and saved in
/// snapshots, and the group's state table on disk. `apply` may write to the
/// table but never reads it. Replaying entries after a restart, over a table
/// that already holds their writes, is therefore idempotent.
pub trait StateMachine: Send + Sync + 'static {
    /// Applies the committed command at `index` and returns its reply.
    ///
    /// # Errors
    /// [`UnreadableState`] for a command that this build does not read. Nothing of it is
    /// applied, and nothing behind it may be: another replica may have read it.
    fn apply(
        &mut self,
        index: u64,
        command: &[u8],
        table: &mut dyn TableWriter,
    ) -> Result<Vec<u8>, UnreadableState>;
    /// The part of the state that is in memory; the table travels besides.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the part in memory.
    ///
    /// # Errors
    /// When the bytes are not a snapshot of this machine.
    fn restore(&mut self, bytes: &[u8]) -> anyhow::Result<()>;
}
