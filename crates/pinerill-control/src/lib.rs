//! The control machine: replicated state machines and what serves them.
//!
//! [`meta`] and [`job`] are pure state machines: no clock, no I/O, no
//! randomness. Replicated groups of the [`host`] feed them committed commands.

pub mod codec;
pub mod host;
pub mod job;
pub mod machine;
pub mod meta;
pub mod placement;
pub mod server;

pub use server::run;
