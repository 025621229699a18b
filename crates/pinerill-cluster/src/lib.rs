//! Control machines of a fleet that forwards calls.
//!
//! One replicated group holds the route table, the jobs whose items are calls
//! and the list of control machines. Decisions are pure: [`machine`] applies
//! committed commands, [`leases`] hands items to nodes, [`membership`] says how
//! the group changes when machines come and go. [`server`] feeds them from
//! sockets, timers and the store of [`pinerill_control::host`].

pub mod backlog;
pub mod cells;
pub mod connections;
pub mod leases;
pub mod list_pace;
pub mod machine;
pub mod membership;
pub mod server;
pub mod turns;

pub use server::{run, ControlProtocols};
