//! Leased items of jobs.
//!
//! `leases` renews what the node holds and takes more, `running` is an item that runs here, `item` runs one
//! until it has an end, `reports` tells the ends to the leader. An item is held
//! until its end is recorded. `preemption` says which running items give way to
//! calls that wait.

mod item;
mod leases;
pub mod preemption;
mod reports;
mod running;
mod runs;

pub(crate) use leases::{give_back, run};
pub(crate) use runs::ItemRuns;
