//! Snapshots on their way to followers.
//!
//! Each holds the in-memory part of its snapshot and what was read ahead of the
//! table. One that nobody asked a part of for a while is let go; the transfer then
//! begins again with a newer snapshot.

use std::collections::HashMap;

use pinerill_replica::ReplicaId;
use pinerill_storage::SnapshotStream;

/// How long a snapshot is kept for a follower that asks for no part of it,
/// milliseconds. Parts follow each other within a round trip and a sync.
const IDLE_MS: u64 = 1_000;

struct Outgoing {
    stream: SnapshotStream,
    used_ms: u64,
}

/// Snapshots being sent, by follower.
#[derive(Default)]
pub(super) struct OutgoingSnapshots {
    streams: HashMap<ReplicaId, Outgoing>,
}

impl OutgoingSnapshots {
    /// Takes out the stream that goes on at `offset`; any other one for this
    /// follower is let go.
    pub(super) fn take(&mut self, to: ReplicaId, offset: u64) -> Option<SnapshotStream> {
        let known = self.streams.remove(&to)?.stream;
        (offset > 0 && known.offset() == offset).then_some(known)
    }

    /// Keeps a stream for the next part.
    pub(super) fn keep(&mut self, to: ReplicaId, stream: SnapshotStream, now_ms: u64) {
        let used_ms = now_ms;
        self.streams.insert(to, Outgoing { stream, used_ms });
    }

    /// Keeps every stream for longer.
    pub(super) fn postpone(&mut self, ms: u64) {
        for outgoing in self.streams.values_mut() {
            outgoing.used_ms += ms;
        }
    }

    /// Lets go of what nobody asks for any more.
    pub(super) fn drop_idle(&mut self, now_ms: u64) {
        self.streams
            .retain(|_, outgoing| now_ms < outgoing.used_ms + IDLE_MS);
    }
}
