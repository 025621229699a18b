//! Hollow processes: many nodes in one process that speak the real internal
//! protocol but serve no callers, and many workers in one process that report
//! no load.

mod node;
mod process;
mod results;
mod worker;

pub use node::unix_microseconds;
pub use process::{run as run_nodes, HollowArguments};
pub use results::{HollowResults, Quantiles, SeenVersion};
pub use worker::{run as run_workers, HollowWorkerArguments};
