//! HTTP interface for callers, built on Rocket: online requests and batch jobs.

mod admission;
mod answer;
mod batch_body;
mod batches;
mod caller;
mod disconnect;
mod online;
mod server;

pub use disconnect::Disconnects;
pub use server::caller_server;
