//! Framed, multiplexed TCP connections between pinerill's processes.
//!
//! Both sides prove the cluster key to each other before anything else is
//! read (see [`handshake`]). After that either side of a [`Connection`] may
//! have many calls in flight; answers are matched by correlation number.
//! Connections are authenticated but not encrypted.

mod framing;
mod handshake;
mod identity;
mod link;
mod pool;
mod server;
mod socket;

pub use framing::{ConnectionError, FRAME_LIMIT, HANDSHAKE_FRAME_LIMIT};
pub use identity::{ClusterKey, Identity, KeyError};
pub use link::{Connection, LinkCounters};
pub use pool::{ConnectedPeer, PeerPool};
pub use server::{serve, ServerCounters};
