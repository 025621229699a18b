//! Execution of leased job items on this node.
//!
//! `leases` leases items from the leader and renews the leases, `held` keeps the leased items,
//! `running` holds the state of an item, `item` runs one item to its end, `item_slot` waits for a
//! worker for it, `withheld` for the end of a block, and `reports` sends the results to the leader. An
//! item stays leased until its result is recorded. `stall` bounds the time that it keeps text without
//! getting on. `preemption` selects the running items that yield their slots to waiting calls, and
//! `runs` stops them.

mod held;
mod item;
mod item_slot;
mod leases;
pub mod preemption;
mod reports;
mod running;
mod runs;
pub mod stall;
mod withheld;

pub(crate) use leases::{release_all, run};
pub(crate) use runs::ItemRuns;
