//! The pure model of one engine: no clock, no I/O, no randomness of its own.

mod admission;
pub mod messages;
pub mod model;
pub mod parameters;
pub mod prefix_cache;
pub mod sequence;
