//! The control machine: replicated state machines and what serves them.
//!
//! [`meta`] and `job` are pure state machines: no clock, no I/O, no
//! randomness. Replicated groups feed them committed commands.

pub mod codec;
pub mod machine;
pub mod meta;
