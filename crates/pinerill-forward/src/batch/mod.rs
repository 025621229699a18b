//! Leased items of jobs.
//!
//! `leases` renews what the node holds and takes more, `item` runs one item
//! until it has an end, `reports` tells the ends to the leader. An item is held
//! until its end is recorded.

mod item;
mod leases;
mod reports;
pub mod run_time;

pub(crate) use leases::{give_back, run};
