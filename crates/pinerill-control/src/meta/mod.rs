//! The meta group's state machine: the bundle in force, the control machines
//! and which of them hold which group.

mod changes;
mod cluster;
mod command;
mod history;
mod machine;
mod partition;

pub use changes::UpdateSince;
pub use cluster::{ControlMachine, GroupMembers, GroupPlan, Replacement};
pub use command::{Founding, MetaCommand, MetaReply, ProposalOutcome};
pub use history::{read_history, PastVersion, HISTORY_LIMIT};
pub use machine::MetaMachine;
pub use partition::{spread_replicas, voter_count};
