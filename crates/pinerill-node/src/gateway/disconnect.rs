//! Detects callers that disconnect while they wait for an answer.
//!
//! Rocket doesn't notify a handler when its connection closes, and a response
//! stream notices only when it writes the next chunk. While requests wait, this
//! module therefore polls the system's table of TCP connections in `/proc` a few
//! times a second for connections that the caller has closed. On a system
//! without that table, a disconnect is noticed at the next chunk of the answer.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

/// Pause between two reads of the connection table.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// State of an established connection, as the table writes it.
const ESTABLISHED: &str = "01";
const TABLE_V4: &str = "/proc/self/net/tcp";
const TABLE_V6: &str = "/proc/self/net/tcp6";

/// Tracks the callers that wait for an answer and signals their disconnects.
#[derive(Debug)]
pub struct Disconnects {
    listen: SocketAddr,
    waiting: Mutex<HashMap<SocketAddr, CancellationToken>>,
}

/// Watch on one caller's connection, which ends when dropped.
#[derive(Debug)]
pub struct DisconnectWatch {
    disconnects: Arc<Disconnects>,
    remote: Option<SocketAddr>,
    token: CancellationToken,
}

impl DisconnectWatch {
    /// Completes when the caller has disconnected; never, if its address is
    /// unknown.
    pub async fn disconnected(&self) {
        self.token.cancelled().await;
    }
}

impl Drop for DisconnectWatch {
    fn drop(&mut self) {
        if let Some(remote) = &self.remote {
            self.disconnects.waiting.lock().remove(remote);
        }
    }
}

impl Disconnects {
    /// Creates a tracker for callers that connect to the address `listen`.
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            waiting: Mutex::default(),
        }
    }

    /// Starts to watch the caller at `remote`. A connection carries one request at
    /// a time, so the address identifies the request.
    pub fn watch(self: &Arc<Self>, remote: Option<SocketAddr>) -> DisconnectWatch {
        let token = CancellationToken::new();
        if let Some(remote) = remote {
            self.waiting.lock().insert(remote, token.clone());
        }
        DisconnectWatch {
            disconnects: self.clone(),
            remote,
            token,
        }
    }

    /// Polls the connection table until the task is dropped. Only callers that
    /// already waited at the previous poll are checked.
    pub async fn run(self: Arc<Self>) {
        let mut previous: HashSet<SocketAddr> = HashSet::new();
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let waiting: HashSet<SocketAddr> = self.waiting.lock().keys().copied().collect();
            let still_waiting: Vec<SocketAddr> = waiting.intersection(&previous).copied().collect();
            if !still_waiting.is_empty() {
                self.cancel_closed(&still_waiting).await;
            }
            previous = waiting;
        }
    }

    async fn cancel_closed(&self, callers: &[SocketAddr]) {
        let path = if self.listen.is_ipv4() {
            TABLE_V4
        } else {
            TABLE_V6
        };
        let Ok(table) = tokio::fs::read_to_string(path).await else {
            return;
        };
        let open = open_connections(&table, self.listen.port());
        let waiting = self.waiting.lock();
        for caller in callers.iter().filter(|caller| !open.contains(caller)) {
            if let Some(token) = waiting.get(caller) {
                token.cancel();
            }
        }
    }
}

/// Parses the text of the connection table and returns the remote addresses of
/// established connections to `local_port`. Malformed rows are skipped.
pub fn open_connections(table: &str, local_port: u16) -> HashSet<SocketAddr> {
    let rows = table.lines().skip(1);
    rows.filter_map(|row| {
        let mut columns = row.split_ascii_whitespace().skip(1);
        let local = parse_address(columns.next()?)?;
        let remote = parse_address(columns.next()?)?;
        let established = columns.next()? == ESTABLISHED;
        (established && local.port() == local_port).then_some(remote)
    })
    .collect()
}

/// Parses an address such as `0100007F:1F90`: hexadecimal 32-bit words in the
/// machine's byte order, then the port. Returns None when it is malformed.
fn parse_address(text: &str) -> Option<SocketAddr> {
    let (address, port) = text.split_once(':')?;
    let port = u16::from_str_radix(port, 16).ok()?;
    let words: Option<Vec<u32>> = (0..address.len() / 8)
        .map(|index| u32::from_str_radix(&address[index * 8..index * 8 + 8], 16).ok())
        .collect();
    let bytes: Vec<u8> = words?.iter().flat_map(|word| word.to_ne_bytes()).collect();
    let address: IpAddr = match bytes.len() {
        4 => Ipv4Addr::from(<[u8; 4]>::try_from(bytes).ok()?).into(),
        16 => {
            let address = Ipv6Addr::from(<[u8; 16]>::try_from(bytes).ok()?);
            IpAddr::V6(address)
        }
        _ => return None,
    };
    Some(SocketAddr::new(address, port))
}
