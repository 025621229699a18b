//! Free loopback ports for the processes of a rehearsal.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use anyhow::Context;

/// Picks `count` loopback addresses with different ports that were free a
/// moment ago. Fails when the system has none left.
pub fn free_addresses(count: usize) -> anyhow::Result<Vec<SocketAddr>> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))
        .collect::<Result<_, _>>()
        .context("picking a free port")?;
    listeners
        .iter()
        .map(|listener| listener.local_addr().context("reading a free port"))
        .collect()
}

/// Picks one loopback address; see `free_addresses`.
pub fn free_address() -> anyhow::Result<SocketAddr> {
    let address = free_addresses(1)?.pop();
    address.context("picking a free port")
}
