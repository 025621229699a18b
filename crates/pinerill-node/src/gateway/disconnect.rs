//! Sees callers who go away while they wait.
//!
//! Rocket tells a handler nothing about its connection, and a stream only
//! when it writes the next piece. While requests wait, this reads the
//! system's table of TCP connections a few times a second and looks for those
//! that the caller has closed. Where there is no such table (`/proc`), a
//! caller who went is seen at the next piece of its answer.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(200);
/// State of a connection that both sides keep open, as the table writes it.
const ESTABLISHED: &str = "01";
const TABLE_V4: &str = "/proc/self/net/tcp";
const TABLE_V6: &str = "/proc/self/net/tcp6";

/// Callers whose requests wait.
#[derive(Debug)]
pub struct Disconnects {
    listen: SocketAddr,
    waiting: Mutex<HashMap<SocketAddr, CancellationToken>>,
}

/// Watches one caller until dropped.
#[derive(Debug)]
pub struct DisconnectWatch {
    disconnects: Arc<Disconnects>,
    remote: Option<SocketAddr>,
    token: CancellationToken,
}

impl DisconnectWatch {
    /// Completes when the caller has gone.
    pub async fn gone(&self) {
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
    /// For callers who connect to `listen`.
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            waiting: Mutex::default(),
        }
    }

    /// Watches the caller at `remote`; one connection has one request.
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

    /// Looks until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut seen: HashSet<SocketAddr> = HashSet::new();
        loop {
            tokio::time::sleep(LOOK_PAUSE).await;
            let waiting: HashSet<SocketAddr> = self.waiting.lock().keys().copied().collect();
            let long: Vec<SocketAddr> = waiting.intersection(&seen).copied().collect();
            if !long.is_empty() {
                self.look(&long).await;
            }
            seen = waiting;
        }
    }

    async fn look(&self, callers: &[SocketAddr]) {
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

/// The remote sides of established connections to a local port, from the text
/// of the table.
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

/// `0100007F:1F90`: the address in words of the machine's byte order.
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
