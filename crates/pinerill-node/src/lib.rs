//! A node accepts callers' requests over HTTP, runs them on the engines of workers, and
//! runs batch items on the workers assigned to it.
//!
//! A request passes through [`gateway`] → [`dispatcher`] → [`online`] → [`engine`].
//! Decision logic is free of I/O ([`configuration::ConfigurationState`], [`routing`],
//! [`queue`], [`admission`], [`membership::Health`], [`engine::Assembly`],
//! `online::decide`, `batch::Window`); the thin layers around it own sockets, clocks
//! and random numbers.

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
