//! Options of sockets between processes.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// A peer that acknowledges nothing for this long is taken for cut off: bytes
/// in flight or probes of an idle connection then end it. A silent cut shows
/// on neither socket otherwise.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// Time without traffic before a connection is probed, and between probes.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Unanswered probes after which the connection ends.
const PROBES: u32 = 2;

/// Sends small frames at once and notices peers that are cut off.
pub(super) fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probing = TcpKeepalive::new()
        .with_time(PROBE_PAUSE)
        .with_interval(PROBE_PAUSE)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probing)?;
    socket.set_tcp_user_timeout(Some(SILENCE_LIMIT))
}
