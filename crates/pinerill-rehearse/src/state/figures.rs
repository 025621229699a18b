//! What is measured.

use serde::Serialize;

use crate::scale::hollow::Quantiles;

/// All figures of a run.
#[derive(Debug, Clone, Serialize)]
pub struct StateFigures {
    /// The disk alone.
    pub disk: DiskFigures,
    /// Items and bundles under load.
    pub throughput: ThroughputFigures,
    /// A killed leader.
    pub failover: FailoverFigures,
    /// A lost disk.
    pub repair: RepairFigures,
}

/// What the disk does without pinerill.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct DiskFigures {
    /// Writes of 4 KiB with a sync each, a second, one after the other.
    pub syncs_per_second: f64,
}

/// Items and bundles under load.
#[derive(Debug, Clone, Serialize)]
pub struct ThroughputFigures {
    /// Length, seconds.
    pub seconds: f64,
    /// Items accepted a second.
    pub accepted_per_second: f64,
    /// Items leased a second.
    pub leased_per_second: f64,
    /// Items completed a second.
    pub completed_per_second: f64,
    /// Syncs a second, all control machines.
    pub syncs_per_second: f64,
    /// Syncs per completed item, all control machines.
    pub syncs_per_item: f64,
    /// Log entries per completed item, all groups counted once.
    pub entries_per_item: f64,
    /// Bytes on disk per accepted item on one control machine.
    pub disk_bytes_per_item: f64,
    /// Resident bytes per accepted item on one control machine.
    pub memory_bytes_per_item: f64,
    /// Commit of a bundle under this load, milliseconds.
    pub commit: Quantiles,
    /// From commit of a bundle to in force on the last node, milliseconds.
    pub in_force: Quantiles,
    /// Ends that came late.
    pub late: u64,
}

/// A killed leader.
#[derive(Debug, Clone, Serialize)]
pub struct FailoverFigures {
    /// From the kill of the meta leader to the next accepted bundle,
    /// milliseconds.
    pub next_accepted_ms: f64,
    /// Index among the control machines of the killed one.
    #[serde(skip)]
    pub killed: usize,
    /// Its identity.
    #[serde(skip)]
    pub killed_replica: u64,
}

/// A lost disk.
#[derive(Debug, Clone, Serialize)]
pub struct RepairFigures {
    /// Bytes of the lost data folder.
    pub lost_bytes: u64,
    /// From the order to replace until all groups are whole again, seconds.
    pub seconds: f64,
    /// Groups that were repaired.
    pub groups: u32,
}
