//! Bundles on the simulated meta group: operators who propose and read, and
//! nodes that watch.

mod founding;
mod history;
mod operator;
mod operator_answers;
mod service;
mod watcher;
mod workload;

pub use founding::{founding_bundle, signed_next, FOUNDING_DIGEST};
pub use history::{BundleHistory, BundleOperation, BundleRegister, BundleState, ProposalEnd};
pub use operator::OperatorStyle;
pub use service::{BundleQuery, BundleService, BundleView, WatchView};
pub use workload::{BundleWorkload, WorkloadSettings};
