//! The sizes of a scale run and the limits that they must respect.

use anyhow::ensure;
use clap::ValueEnum;
use serde::Serialize;

use super::usage::machine_memory_bytes;

/// Most processes of a run.
const PROCESS_LIMIT: u64 = 200;
/// Hollow nodes of one process.
pub const NODES_PER_PROCESS: u64 = 200;
/// Control machines.
pub const CONTROLS: u64 = 5;
/// Memory that a hollow node may take, bytes; a trial saw about half.
const HOLLOW_NODE_BYTES: u64 = 1024 * 1024;
/// Memory that one tenant may take in all processes together, bytes.
const TENANT_BYTES: u64 = 16 * 1024;
/// Memory of an open item in all control machines together, bytes.
const ITEM_BYTES: u64 = 4 * 1024;
/// Memory of the processes themselves, bytes.
const FIXED_BYTES: u64 = 1024 * 1024 * 1024;

/// What a run is made of.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Size {
    /// Hollow nodes.
    pub nodes: u64,
    /// Hollow workers.
    pub workers: u64,
    /// Tenants in the bundle.
    pub tenants: u64,
    /// Changes of configuration a second.
    pub changes_per_second: f64,
    /// Batch items a second; 0 for none.
    pub items_per_second: f64,
    /// Items in one job.
    pub items_per_job: u64,
    /// Job groups.
    pub job_groups: u64,
    /// Length of the measurement, seconds.
    pub seconds: u64,
}

/// What a series of runs varies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Dimension {
    /// Hollow nodes.
    Nodes,
    /// Hollow workers.
    Workers,
    /// Tenants in the bundle.
    Tenants,
    /// Changes of configuration a second.
    Changes,
    /// Batch items a second.
    Items,
    /// Items in one job, at the same items a second.
    JobItems,
    /// Job groups.
    Groups,
}

impl Size {
    /// This size with another value along one dimension.
    pub fn with(&self, dimension: Dimension, value: f64) -> Self {
        let mut size = self.clone();
        match dimension {
            Dimension::Nodes => size.nodes = value as u64,
            Dimension::Workers => size.workers = value as u64,
            Dimension::Tenants => size.tenants = value as u64,
            Dimension::Changes => size.changes_per_second = value,
            Dimension::Items => size.items_per_second = value,
            Dimension::JobItems => size.items_per_job = value as u64,
            Dimension::Groups => size.job_groups = value as u64,
        }
        size
    }

    /// Processes that the run starts.
    pub fn processes(&self) -> u64 {
        const WORKERS_AND_REAL_NODE: u64 = 2;
        CONTROLS + WORKERS_AND_REAL_NODE + self.nodes.div_ceil(NODES_PER_PROCESS)
    }

    /// Memory that the run may take, bytes: an upper estimate.
    pub fn memory_bytes(&self) -> u64 {
        let items = (self.items_per_second * self.seconds as f64) as u64;
        FIXED_BYTES
            + self.nodes * HOLLOW_NODE_BYTES
            + self.tenants * TENANT_BYTES
            + items * ITEM_BYTES
    }

    /// Refuses a size that this machine should not carry.
    ///
    /// # Errors
    /// When it needs over half of the memory or too many processes.
    pub fn check(&self) -> anyhow::Result<()> {
        let allowed = machine_memory_bytes()? / 2;
        let wanted = self.memory_bytes();
        ensure!(
            wanted <= allowed,
            "this size may take {wanted} bytes of memory, {allowed} are allowed (half)"
        );
        let processes = self.processes();
        ensure!(
            processes <= PROCESS_LIMIT,
            "this size takes {processes} processes, {PROCESS_LIMIT} are allowed"
        );
        ensure!(self.nodes > 0, "a run needs at least one node");
        ensure!(self.tenants > 0, "a run needs at least one tenant");
        ensure!(self.seconds > 0, "a run needs at least one second");
        Ok(())
    }
}
