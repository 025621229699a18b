//! A replicated group on a virtual clock, with faults and checks.
//!
//! Control machines run the very driver that the group host runs
//! ([`pinerill_control::host::driver`]) over the store's twin that loses what
//! was not synced. Everything random comes from one seed.

mod checks;
mod client_stub;
mod clock;
mod core;
mod event;
mod fault;
mod inject;
mod machine;
mod network;
mod observed;
mod process;
mod repair;
mod service;
mod settings;
mod simulation;

pub use self::core::Cluster;
pub use checks::GroupChecks;
pub use client_stub::ClientStub;
pub use clock::{LocalClock, MAX_SKEW_PPM};
pub use fault::{ClientFault, Direction, Fault, PlannedFault, Target, Trigger};
pub use network::{CutId, Endpoint, LinkQuality, Network};
pub use observed::{Applied, AppliedLog, Observed};
pub use service::{CallAnswer, CallId, CallKind, CallResult, ClientId, GroupService, Timer};
pub use settings::{ClusterSettings, Plan};
pub use simulation::{Simulation, Workload};
