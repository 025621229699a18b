//! What a group host needs from its surroundings.

use pinerill_replica::{Envelope, ReplicaId};

pub use crate::machine::{StateMachine, TableWriter, UnreadableState};

/// Carries messages to other replicas. Messages may be lost, repeated or
/// reordered; sending never blocks.
pub trait Transport: Send + Sync + 'static {
    /// Sends a message, or drops it.
    fn send(&self, to: ReplicaId, envelope: Envelope);
}
