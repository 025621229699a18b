//! What control machines and nodes share as processes: when to stop
//! ([`StopSignals`]), HTTP servers that stop in a planned way ([`Server`]),
//! a settings file that may change ([`SettingsFile`]), and what operators look at ([`monitoring_server`]).

pub mod clock;
pub mod logging;
mod monitoring;
mod server;
mod settings_file;
mod stop_signals;

pub use monitoring::{monitoring_server, Monitored};
pub use server::{server_settings, Server, ServerError};
pub use settings_file::SettingsFile;
pub use stop_signals::StopSignals;
