//! Seeded simulation of the parts that decide, with histories and checks.
//!
//! A run is determined by its scenario and its seed. Scenarios bring faults
//! about on a virtual clock while clients work; rules are checked at every
//! step and histories at the end. Deliberate defects prove that the checks
//! see: each names the scenario that must catch it.

pub mod bundle;
pub mod cluster;
pub mod defect;
pub mod job;
pub mod random;
pub mod registry;
pub mod scenario;
pub mod scenarios;
pub mod sweep;
pub mod trace;
