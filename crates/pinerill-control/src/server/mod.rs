//! The process of a control machine: what it hosts, what it answers.
//!
//! | module | job |
//! |---|---|
//! | `run` | starts and stops the parts |
//! | `service` | hands each request to its part |
//! | `groups`, `groups_runtime` | the replicated groups that run here |
//! | `founding`, `founders` | a new cluster, and who founds it |
//! | `membership`, `reconcile` | members of groups, as the meta group plans them |
//! | `bundles` | proposals, the bundle in force, who has it |
//! | `watch`, `confirmation`, `snapshots` | the nodes' long polls |
//! | `directory`, `platform`, `exchange` | workers, nodes and leaders, as soft state |
//! | `metrics` | what operators look at |

mod bundles;
mod clock;
mod confirmation;
mod control;
mod directory;
mod exchange;
mod founders;
mod founding;
mod groups;
mod groups_runtime;
mod membership;
mod metrics;
mod placement_source;
mod platform;
mod reconcile;
mod refusal;
mod run;
mod service;
mod snapshots;
mod status;
mod transport;
mod watch;

pub use confirmation::{Confirmations, Ticket};
pub use directory::{Directory, Listed, NODE_LIFE_MS, PEER_LIFE_MS};
pub use founders::{founders, FounderMissing};
pub use membership::{next_step, MembershipStep};
pub use pinerill_process::StopSignals;
pub use run::{run, run_with, StartError};
pub use transport::PeerTransport;
