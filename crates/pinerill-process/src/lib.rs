//! Infrastructure shared by all long-running processes (control machines and nodes):
//! shutdown signals ([`StopSignals`]), HTTP servers with graceful shutdown ([`Server`]), a
//! settings file that is reloaded when it changes ([`SettingsFile`]), the endpoints for
//! metrics and health checks ([`monitoring_server`]), logging and the boot-time clock.

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
