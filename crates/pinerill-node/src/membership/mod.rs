//! Who is there and who may get new work: the directory from the watch, load
//! reports, refusals and failed connections.

mod directory;
mod fleet;
mod health;
mod probe;
mod report;

pub use directory::Directory;
pub use fleet::{note_load, Engine, Fleet, FleetView, ServiceEngines, Worker, WorkerEntry};
pub use health::Health;
pub use probe::ProbeShell;
pub use report::{EngineReport, Role, WorkerReport};
