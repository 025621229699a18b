//! Communication of a node with the control machines: requests, and the watch that receives the
//! route table, the worker directory and the addresses of other processes.

mod client;
mod directory_kind;
pub mod list_pace;
mod older_leader;
mod versions;
mod watch;

pub use client::{Answered, CallFailure, ClusterClient};
pub(crate) use directory_kind::DirectoryKind;
pub use older_leader::OlderLeader;
pub(crate) use versions::{read_versions, VersionHistoryRead};
pub(crate) use watch::follow_leader;
