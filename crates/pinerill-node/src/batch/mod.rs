//! Runs batch items on the workers that are assigned to this node.
//!
//! [`Planner`] makes all decisions without I/O. Its inputs are the time, engine
//! loads, responses of job groups and outcomes of runs; its outputs say what to
//! lease, start, pause, stop and report. [`BatchShell`] feeds it and carries out
//! its outputs.

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
pub use engines::BatchTotals;
pub use leases::LEASE_MS;
pub use message::{
    Backlog, EngineView, Event, Input, NodeIdentity, NotAnswered, Output, RunCommand, RunEnd,
};
pub use planner::Planner;
pub use shell::{request_id, BatchShell};
pub use window::{EngineLoad, OnlineSignal, Window, WindowPolicy};
