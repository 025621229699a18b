//! Control plane of a fleet that forwards calls to workers.
//!
//! One replicated group of control machines holds the route table, the jobs whose items are
//! calls, and the list of control machines. The decisions are made without I/O: [`machine`]
//! applies committed commands, [`leases`] assigns items to nodes, and [`membership`] decides
//! how the group changes as machines join and leave. [`server`] drives them from sockets,
//! timers and the store of [`pinerill_control::host`].

pub mod backlog;
pub mod cells;
pub mod command_clock;
pub mod command_order;
pub mod connections;
pub mod job_limits;
mod lease_requests;
mod lease_search;
pub mod lease_shares;
pub mod leases;
pub mod list_pace;
pub mod machine;
pub mod membership;
pub mod server;
pub mod service_capacity;
pub mod turns;

pub use server::{run, ControlProtocols};
