//! Starts and stops the processes of a rehearsal.

pub mod ports;
pub mod process;
