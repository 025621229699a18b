//! Settings of a simulated cluster and the plan of a run.

use pinerill_control::host::driver::DriverSettings;
use pinerill_replica::{GroupId, ReplicaConfig, ReplicaId};

use super::clock::MAX_SKEW_PPM;
use super::fault::{Fault, PlannedFault};
use super::network::LinkQuality;

/// The simulated group.
pub(super) const GROUP: GroupId = GroupId(0);

/// Settings of a simulated cluster.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// Control machines that vote at first.
    pub machines: usize,
    /// Further control machines that only learn.
    pub learners: usize,
    /// Links when no fault is on them.
    pub quality: LinkQuality,
    /// Shortest time of a sync, milliseconds.
    pub min_sync_ms: u64,
    /// Longest usual time of a sync, milliseconds.
    pub max_sync_ms: u64,
    /// Share of syncs that take up to ten times as long.
    pub slow_sync_share: f64,
    /// Bytes of entries in one append.
    pub max_append_bytes: usize,
    /// Entries kept behind a snapshot.
    pub compaction_margin: u64,
    /// Bounds of the driver.
    pub driver: DriverSettings,
    /// Shortest election timeout, milliseconds.
    pub election_min_ms: u64,
    /// Longest election timeout, milliseconds.
    pub election_max_ms: u64,
    /// Largest deviation of clocks, parts per million.
    pub skew_ppm: i64,
}

impl Default for ClusterSettings {
    fn default() -> Self {
        ClusterSettings {
            machines: 5,
            learners: 0,
            quality: LinkQuality::GOOD,
            min_sync_ms: 1,
            max_sync_ms: 8,
            slow_sync_share: 0.02,
            max_append_bytes: 1 << 20,
            compaction_margin: 5,
            driver: DriverSettings {
                snapshot_entries: 25,
                snapshot_bytes: 1 << 20,
                snapshot_chunk_bytes: 700,
            },
            election_min_ms: 500,
            election_max_ms: 1_000,
            skew_ppm: MAX_SKEW_PPM,
        }
    }
}

impl ClusterSettings {
    pub(super) fn replica_config(&self, id: ReplicaId, seed: u64) -> ReplicaConfig {
        let mut config = ReplicaConfig::new(id, GROUP, seed);
        config.election_min_ms = self.election_min_ms;
        config.election_max_ms = self.election_max_ms;
        config.max_append_bytes = self.max_append_bytes;
        config.compaction_margin = self.compaction_margin;
        config
    }
}

/// What happens in a run besides the clients' operations.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// How long clients begin operations, virtual milliseconds.
    pub duration_ms: u64,
    /// Faults, and when they happen.
    pub faults: Vec<PlannedFault>,
    /// Longest time until everything has come to rest after the last fault,
    /// virtual milliseconds.
    pub rest_limit_ms: u64,
}

impl Plan {
    /// Adds a fault at a virtual time.
    pub fn add(&mut self, at_ms: u64, fault: Fault) {
        self.faults.push(PlannedFault::at(at_ms, fault));
    }
}
