//! Batch items on the workers that this node drives.
//!
//! [`Planner`] decides, and is pure: it is given time, the engines' loads, what
//! groups answer and how runs end, and says what to lease, start, pause, stop
//! and report. [`BatchShell`] carries that out.

mod calls;
mod control;
mod demand;
mod engines;
mod leases;
mod message;
mod observer;
mod outbox;
mod planner;
mod run;
mod shell;
mod window;

pub use control::BatchControl;
pub use engines::BoardTotals;
pub use leases::LEASE_MS;
pub use message::{
    Backlog, EngineView, Event, Input, NodeIdentity, NotAnswered, Output, RunCommand, RunEnd,
};
pub use planner::Planner;
pub use shell::{request_id, BatchShell};
pub use window::{EngineLoad, OnlineSign, Window, WindowPolicy};
