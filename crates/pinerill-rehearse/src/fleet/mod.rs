//! Starts and stops the processes of a rehearsal.

pub mod launcher;
pub mod ports;
pub mod process;
pub mod ready;
pub mod standins;
pub mod warden;
