//! Types that nodes and control machines share to forward calls.
//!
//! A *call* is an HTTP request that a node forwards unchanged to a worker of
//! the service that its route specifies. This crate contains the [`table`] of routes,
//! the [`job`]s whose items are complete calls, the [`directory`] of workers, the
//! [`protocol`] traits that adapt external protocols, and the typed [`message`]s
//! between nodes and control machines with their [`encoding`]. [`formats`] converts the
//! messages of older builds, and [`session`] negotiates the format with each peer.
//!
//! Nothing in this crate accesses sockets, and only [`session`] reads a clock.

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
pub mod version_history;
