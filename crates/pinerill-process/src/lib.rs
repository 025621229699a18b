//! What control machines and nodes share as processes: when to stop
//! ([`StopSignals`]), HTTP servers that stop in a planned way ([`Server`]),
//! and what operators look at ([`monitoring_server`]).

mod monitoring;
mod server;
mod stop_signals;

pub use monitoring::{monitoring_server, Monitored};
pub use server::{server_settings, Server, ServerError};
pub use stop_signals::StopSignals;
