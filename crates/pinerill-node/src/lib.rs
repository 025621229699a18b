//! A node: takes callers' requests over HTTP, runs them at engines, and runs
//! batch items on the workers it drives.
//!
//! A request's way: [`gateway`] → [`dispatcher`] → [`online`] → [`engine`].
//! Decisions are pure ([`configuration::ConfigurationState`], [`routing`],
//! [`queue`], [`admission`], [`membership::Health`], [`engine::Assembly`],
//! `online::decide`, `batch::Window`); thin shells around them own sockets,
//! clocks and random numbers.

pub mod admission;
pub mod batch;
pub mod clock;
pub mod configuration;
pub mod dispatcher;
pub mod drain;
pub mod engine;
pub mod failure;
pub mod gateway;
mod gauges;
pub mod groups;
pub mod jobs;
pub mod membership;
pub mod metrics;
mod monitoring;
pub mod node;
pub mod online;
pub mod queue;
pub mod routing;
mod run;

pub use pinerill_process::StopSignals;
pub use run::{run, run_with, RunError};
