//! The node's side towards control machines: calls, the route table and the
//! directory.

mod client;
pub mod list_pace;
mod older_leader;
mod watch;

pub use client::{Answered, CallFailure, ClusterClient};
pub use older_leader::OlderLeader;
pub(crate) use watch::follow_leader;
