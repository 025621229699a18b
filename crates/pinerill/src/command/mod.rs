//! One file per subcommand.

pub mod bundle;
pub mod cluster;
pub mod explain;
pub mod job;
mod overrides;
pub mod process;
pub mod settings;
