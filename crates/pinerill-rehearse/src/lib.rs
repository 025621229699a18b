//! Rehearsal kit of pinerill: stand-ins, load, fleet launcher, faults, reports.
//!
//! The kit is not part of the fleet; it may start processes.

pub mod answer;
pub mod bench;
pub mod check;
pub mod demo;
pub mod engine;
pub mod faults;
pub mod fleet;
pub mod ledger;
pub mod load;
pub mod preset;
pub mod rehearsal;
pub mod scale;
pub mod standin;
pub mod state;
pub mod times;
