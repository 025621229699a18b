//! The bundle in force at this node: how it is taken in, how long it may be
//! relied on, and what is derived from it.

mod catalog;
mod state;
mod tenants;
mod watch;

pub use catalog::{Catalog, ServicePlan};
pub use state::{ConfigurationState, WatchOutcome};
pub use tenants::TenantPlan;
pub use watch::{Configuration, ControlWatcher};
