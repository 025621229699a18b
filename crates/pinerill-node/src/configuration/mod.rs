//! The configuration bundle in force at this node: watches control for changes,
//! applies them, tracks the lease and derives the lookup tables of requests.

mod catalog;
mod state;
mod tenants;
mod watch;

pub use catalog::{Catalog, ServicePlan};
pub use state::{ConfigurationState, WatchOutcome};
pub use tenants::TenantPlan;
pub use watch::{Configuration, ControlWatcher};
