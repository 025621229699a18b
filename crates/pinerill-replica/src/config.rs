//! Settings of a replica and the state it starts from.

use crate::{Defects, Entry, GroupId, HardState, ReplicaId, SnapshotMeta};

/// Settings of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// This replica.
    pub id: ReplicaId,
    /// The group it belongs to.
    pub group: GroupId,
    /// Random for each start of the process: spreads election timeouts and
    /// keeps requests of an earlier start from being taken for new ones.
    pub seed: u64,
    /// Time between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Shortest election timeout, in milliseconds. A follower that heard its
    /// leader within this time refuses to vote.
    pub election_min_ms: u64,
    /// Longest election timeout, in milliseconds.
    pub election_max_ms: u64,
    /// Bytes of entries in one append.
    pub max_append_bytes: usize,
    /// Appends to one follower that may be unanswered.
    pub max_inflight_appends: usize,
    /// Bytes of uncommitted entries above which proposals are refused.
    pub max_uncommitted_bytes: usize,
    /// Entries kept behind a snapshot for followers that lag a little.
    pub compaction_margin: u64,
    /// Bytes of these entries at most: they stay in memory and on disk.
    pub compaction_margin_bytes: usize,
    /// Bytes of entries kept at most for followers that are being sent a snapshot.
    /// One that needs older ones by then is sent a newer snapshot.
    pub transfer_margin_bytes: usize,
    /// Deliberate defects; empty except in the simulation's mutants.
    pub defects: Defects,
}

impl ReplicaConfig {
    /// Settings with the default times and bounds.
    pub fn new(id: ReplicaId, group: GroupId, seed: u64) -> Self {
        ReplicaConfig {
            id,
            group,
            seed,
            heartbeat_ms: 100,
            election_min_ms: 500,
            election_max_ms: 1000,
            max_append_bytes: 1 << 20,
            max_inflight_appends: 64,
            max_uncommitted_bytes: 64 << 20,
            compaction_margin: 1000,
            compaction_margin_bytes: 16 << 20,
            transfer_margin_bytes: 64 << 20,
            defects: Defects::default(),
        }
    }
}

/// What the store holds of a replica. The default is that of a newcomer: no
/// membership, so it never campaigns before a leader has sent it a snapshot.
#[derive(Clone, Debug, Default)]
pub struct RestoredState {
    /// Durable election state.
    pub hard_state: HardState,
    /// What the stored snapshot covers; holds the membership at that point.
    pub snapshot: SnapshotMeta,
    /// Stored entries in order; those the snapshot covers are skipped.
    pub entries: Vec<Entry>,
}
