//! Control machines: replicated groups and what they decide.

pub mod host;
