//! Jobs on a simulated job group: callers who submit, cancel and read, nodes
//! that lease items under the very planner that serves, and engines that keep
//! a ledger of what really ran.

mod caller;
mod engines;
mod facts;
mod ledger;
mod node;
mod service;
mod truth;
mod workload;
mod world;

pub use caller::CallerStyle;
pub use engines::EngineStyle;
pub use facts::Facts;
pub use ledger::{ItemId, Ledger};
pub use service::{JobGroup, JobQuery, JobView};
pub use truth::JobTruth;
pub use workload::{JobSettings, JobWorkload};
