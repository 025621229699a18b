//! Free loopback ports for the processes of a rehearsal.
//!
//! Ports come from below the range that the system gives to outgoing
//! connections: a process that is started again on its port must not find it
//! taken by such a connection meanwhile.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::sync::atomic::{AtomicU16, Ordering};

use anyhow::bail;
use socket2::{Domain, Socket, Type};

/// Ports that are tried.
const PORTS: Range<u16> = 10_240..32_000;

/// Ports taken by this process so far, from where it began.
static TAKEN: AtomicU16 = AtomicU16::new(0);

/// Picks `count` loopback addresses with different ports that were free a
/// moment ago. Fails when none are left.
pub fn free_addresses(count: usize) -> anyhow::Result<Vec<SocketAddr>> {
    (0..count).map(|_| free_address()).collect()
}

/// Picks one loopback address; see `free_addresses`.
pub fn free_address() -> anyhow::Result<SocketAddr> {
    for _ in PORTS {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, next_port()));
        if probe(address).is_ok() {
            return Ok(address);
        }
    }
    bail!("picking a free port: all of {PORTS:?} are taken")
}

/// Whether nobody listens at an address. The socket is bound and doesn't listen: a process that
/// another thread starts at this moment holds a copy until it executes its program, and a
/// listener would keep the port from whoever it was picked for until then.
fn probe(address: SocketAddr) -> io::Result<()> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())
}

/// The next port in turn. Processes begin at different ones, so that two
/// rehearsals at once rarely try the same.
fn next_port() -> u16 {
    let begin = std::process::id().wrapping_mul(PROCESS_STEP) % u32::from(PORTS.end - PORTS.start);
    let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
    let offset = (begin + u32::from(taken)) % u32::from(PORTS.end - PORTS.start);
    PORTS.start + offset as u16
}

/// Distance between the first ports of consecutive process numbers; a prime.
const PROCESS_STEP: u32 = 1_009;
