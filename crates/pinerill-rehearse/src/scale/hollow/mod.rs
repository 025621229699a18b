//! Hollow processes: many nodes in one process that speak the real internal
//! protocol but serve no callers.

mod node;
mod process;
mod results;

pub use node::unix_microseconds;
pub use process::{run, HollowArguments};
pub use results::{HollowResults, Quantiles, SeenVersion};
