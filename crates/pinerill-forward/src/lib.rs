//! Nodes, which forward calls to workers.
//!
//! A call passes through these modules: [`gateway`] reads its head, matches its route and admits
//! it. [`call`] then makes attempts: [`dispatch`] queues the call until a worker chosen by
//! [`fleet`] has a free slot, `confirmation` checks that the worker is still there, [`exchange`]
//! sends the request and reads the response, and [`call::decision`] decides whether to retry. The
//! response or its events go back to the caller. [`batch`] runs leased items of jobs over the same
//! fleet and exchange. [`cluster`] keeps the route table and the directory of workers up to date.
//! [`crash`] blocks requests that repeatedly crash workers. [`resumption`] finds out which software
//! version began a stream that a caller continues.
//!
//! Decisions (the choice of a worker, the step after an attempt, the order of events, the number
//! of items to lease) are made by code without I/O; the other code supplies its inputs.

pub mod batch;
pub mod call;
pub mod cluster;
pub mod crash;
pub mod dispatch;
pub mod drain;
pub mod exchange;
pub mod fleet;
pub mod gaps;
pub mod gateway;
pub mod run_time;
mod slow_start;
pub mod waking;

mod confirmation;
mod monitoring;
mod node;
mod peers;
mod quota;
pub mod resumption;
mod run;

pub use node::Node;
pub use run::{run, NodeProtocols};
