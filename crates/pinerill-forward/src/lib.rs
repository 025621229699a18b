//! Nodes that forward calls.
//!
//! A call's way, top to bottom: [`gateway`] reads its head, finds its route
//! and admits it; [`call`] runs it: [`dispatch`] finds a place for it at a
//! worker that [`fleet`] chooses, `confirmation` makes sure that the worker stays, [`exchange`] sends it there and reads the answer, [`call::decision`] says what follows,
//! and the answer or its events go back to the caller. [`batch`] runs leased
//! items of jobs over the same fleet and exchange. [`cluster`] keeps the route
//! table and the directory of workers up to date. [`crash`] keeps requests that crash workers from running on.
//!
//! Decisions (choice of worker, what follows an attempt, the order of events,
//! how many items to take) are pure; the rest feeds them.

pub mod batch;
pub mod call;
pub mod cluster;
pub mod crash;
pub mod dispatch;
pub mod exchange;
pub mod fleet;
pub mod gateway;
pub mod run_time;
mod slow_start;
pub mod waking;

mod confirmation;
mod monitoring;
mod node;
mod peers;
mod quota;
mod run;

pub use node::Node;
pub use run::{run, NodeProtocols};
