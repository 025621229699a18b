//! Messages and framed connections between pinerill's own processes.
//!
//! [`message`] has the typed messages, [`codec`] turns them into Cap'n Proto
//! and back, [`connection`] carries them over TCP with a mutual proof of the
//! cluster key, and [`client`] finds the control machine that can answer.

pub mod api;
pub mod client;
pub mod codec;
pub mod connection;
pub mod message;

#[allow(missing_docs, unreachable_pub, clippy::all, clippy::pedantic)]
#[path = "generated/wire_capnp.rs"]
mod wire_capnp;
