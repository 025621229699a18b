//! Forwarded calls: what nodes and control machines share.
//!
//! A *call* is an HTTP request that a node passes on unchanged to a worker of
//! the service that its route names. This crate has the [`table`] of routes,
//! the [`job`]s whose items are whole calls, the [`directory`] of workers, the
//! [`protocol`] ports through which a foreign manner of speaking is met, and
//! the typed [`message`]s between nodes and control machines with their [`encoding`],
//! the [`formats`] of older builds, and how a [`session`] finds the one that a peer reads.
//!
//! Nothing here reads a socket, and but for [`session`] nothing reads a clock.

pub mod cells;
pub mod compression;
pub mod digest;
pub mod directory;
pub mod encoding;
pub mod evacuation;
pub mod formats;
pub mod job;
pub mod message;
pub mod packed;
pub mod protocol;
pub mod session;
pub mod settings;
pub mod table;
pub mod traffic;
