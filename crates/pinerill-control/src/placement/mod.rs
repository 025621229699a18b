//! Which engines hold which model, adapter and version, and in which role.
//!
//! [`assignment`] says what each engine should hold, [`planner`] turns the
//! difference to what it does hold into orders, and [`runner`] observes the
//! engines and posts the orders. Observed state decides the next order, so a
//! lost order or a lost answer costs one round.

pub mod assignment;
pub mod engine_state;
pub mod planner;
mod runner;

pub use assignment::Models;
pub use runner::{run, PlacementCounters, PlacementSource, PlacementTerm};
