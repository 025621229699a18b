//! Starts and stops the processes of a rehearsal.

pub mod launcher;
pub mod operator;
pub mod pinerill;
pub mod ports;
pub mod process;
pub mod ready;
pub mod relay;
pub mod standins;
pub mod warden;
pub mod worker;
