//! Tracks which workers and engines exist and which may get new work, from the
//! directory, load reports, refusals and failed connections.

mod directory;
mod engine;
mod fleet;
mod health;
mod poll_pace;
mod probe;
mod report;
mod serving;
mod view;

pub use directory::Directory;
pub use engine::{Engine, Worker, WorkerEntry};
pub use fleet::{record_response_load, Fleet};
pub use health::Health;
pub use poll_pace::{PollPace, MAX_SKIPPED_ROUNDS};
pub use probe::WorkerPoller;
pub use report::{EngineReport, Role, WorkerReport};
pub use serving::{select_serving, EngineCapabilities, Served};
pub use view::{FleetView, ServiceEngines};
