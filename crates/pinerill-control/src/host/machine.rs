//! What a group host needs from its surroundings.

use pinerill_replica::{Envelope, ReplicaId};

/// Collects writes to a group's state table.
pub trait TableWriter {
    /// Sets a key.
    fn put(&mut self, key: &[u8], value: &[u8]);

    /// Removes a key.
    fn delete(&mut self, key: &[u8]);
}

/// A deterministic state machine.
///
/// Its state has two parts: the machine itself, kept in memory and saved in
/// snapshots, and the group's state table on disk. `apply` may write to the
/// table but never reads it. Replaying entries after a restart, over a table
/// that already holds their writes, is therefore idempotent.
pub trait StateMachine: Send + Sync + 'static {
    /// Applies a committed command and returns the answer for its proposer.
    fn apply(&mut self, index: u64, command: &[u8], table: &mut dyn TableWriter) -> Vec<u8>;

    /// The in-memory part; the state table travels besides.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the in-memory part.
    fn restore(&mut self, bytes: &[u8]) -> anyhow::Result<()>;
}

/// Carries messages to other replicas. Messages may be lost, repeated or
/// reordered; sending never blocks.
pub trait Transport: Send + Sync + 'static {
    /// Sends a message, or drops it.
    fn send(&self, to: ReplicaId, envelope: Envelope);
}
