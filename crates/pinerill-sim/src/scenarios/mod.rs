//! The scenarios, one file for each family.

mod bundle_faults;
pub mod bundles;
mod group_scenario;
mod job_faults;
pub mod jobs;
mod planning;
