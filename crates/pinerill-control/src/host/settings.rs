//! Settings of a group host.

use std::time::Duration;

use pinerill_process::clock::Clock;
use pinerill_replica::{GroupId, ReplicaConfig, ReplicaId};

use super::driver::DriverSettings;

/// Settings shared by all groups of a host.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// The clock by which leaders, leases and silent peers age.
    pub clock: Clock,
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Shortest election timeout.
    pub election_min: Duration,
    /// Longest election timeout.
    pub election_max: Duration,
    /// Applied entries after which a snapshot is saved.
    pub snapshot_entries: u64,
    /// Applied bytes after which a snapshot is saved.
    pub snapshot_bytes: u64,
    /// Entries kept behind a snapshot for followers that lag a little.
    pub compaction_margin: u64,
    /// Bytes of these entries at most.
    pub compaction_margin_bytes: usize,
    /// Bytes of entries kept at most for followers that are sent a snapshot.
    pub transfer_margin_bytes: usize,
    /// Bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
    /// Proposals of one group that may be unanswered.
    pub max_pending_proposals: usize,
    /// Bytes of uncommitted entries of one group.
    pub max_uncommitted_bytes: usize,
    /// How long a read waits to be confirmed and applied.
    pub read_timeout: Duration,
}

impl Default for HostSettings {
    fn default() -> Self {
        HostSettings {
            clock: Clock::default(),
            heartbeat: Duration::from_millis(100),
            election_min: Duration::from_millis(500),
            election_max: Duration::from_millis(1000),
            snapshot_entries: 10_000,
            snapshot_bytes: 16 << 20,
            compaction_margin: 1000,
            compaction_margin_bytes: 16 << 20,
            transfer_margin_bytes: 64 << 20,
            snapshot_chunk_bytes: 256 << 10,
            max_pending_proposals: 4096,
            max_uncommitted_bytes: 64 << 20,
            read_timeout: Duration::from_secs(2),
        }
    }
}

impl HostSettings {
    pub(super) fn replica_config(&self, id: ReplicaId, group: GroupId) -> ReplicaConfig {
        let mut config = ReplicaConfig::new(id, group, rand::random());
        config.heartbeat_ms = self.heartbeat.as_millis() as u64;
        config.election_min_ms = self.election_min.as_millis() as u64;
        config.election_max_ms = self.election_max.as_millis() as u64;
        config.compaction_margin = self.compaction_margin;
        config.compaction_margin_bytes = self.compaction_margin_bytes;
        config.transfer_margin_bytes = self.transfer_margin_bytes;
        config.max_uncommitted_bytes = self.max_uncommitted_bytes;
        config
    }

    pub(super) fn driver_settings(&self) -> DriverSettings {
        DriverSettings {
            snapshot_entries: self.snapshot_entries,
            snapshot_bytes: self.snapshot_bytes,
            snapshot_chunk_bytes: self.snapshot_chunk_bytes,
        }
    }
}
