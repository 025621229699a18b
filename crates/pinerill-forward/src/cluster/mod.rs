//! The node's side towards control machines: calls, the route table and the
//! directory.

mod client;
pub mod list_pace;
mod watch;

pub use client::{Answered, CallFailure, ClusterClient};
pub(crate) use watch::follow;
