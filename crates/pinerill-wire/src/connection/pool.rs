//! Connections from one control machine to the others, kept open.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::identity::Identity;
use super::link::{Connection, LinkCounters};
use crate::api::{CallError, CallErrorKind, Peer};
use crate::message::{Notification, Request, Response};

/// Pause before connecting again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Pause between looks at whether a connection has ended.
const CHECK_PAUSE: Duration = Duration::from_millis(50);

type Connections = Mutex<BTreeMap<SocketAddr, Connection>>;

/// Keeps one connection to each of a fixed set of addresses.
#[derive(Clone)]
pub struct PeerPool {
    connections: Arc<Connections>,
    counters: Arc<LinkCounters>,
}

impl PeerPool {
    /// Connects to `addresses` and again whenever a connection ends, until
    /// `stop`.
    pub fn start(addresses: &[SocketAddr], identity: &Identity, stop: &CancellationToken) -> Self {
        let pool = Self {
            connections: Arc::new(Mutex::new(BTreeMap::new())),
            counters: Arc::new(LinkCounters::default()),
        };
        for address in addresses {
            let task = keep_connected(pool.clone(), *address, identity.clone());
            let stop = stop.clone();
            tokio::spawn(async move {
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = task => {}
                }
            });
        }
        pool
    }

    /// Peers that are connected now.
    pub fn peers(&self) -> Vec<Peer> {
        let connections = self.connections.lock();
        connections
            .values()
            .filter(|connection| !connection.is_closed())
            .map(|connection| connection.peer().clone())
            .collect()
    }

    /// Addresses of the settings that are connected now.
    pub fn connected(&self) -> Vec<SocketAddr> {
        let connections = self.connections.lock();
        let open = connections
            .iter()
            .filter(|(_, connection)| !connection.is_closed());
        open.map(|(address, _)| *address).collect()
    }

    /// Sends a notification to the peer with this data folder; it is dropped
    /// when that one is not connected.
    pub fn notify_replica(&self, replica: u64, notification: Notification) {
        if let Some(connection) = self.find(|peer| peer.replica == replica) {
            connection.notify(notification);
        }
    }

    /// Asks the peer that listens at `address`, or that is reached there.
    ///
    /// # Errors
    /// As [`Connection::call`]; `NotSent` when it is not connected.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request,
        time: Duration,
    ) -> Result<Response, CallError> {
        let reached = self.connections.lock().get(&address).cloned();
        let connection = reached.or_else(|| self.find(|peer| peer.address == address));
        match connection {
            Some(connection) => connection.call(request, time).await,
            None => Err(CallError {
                kind: CallErrorKind::NotSent,
                step: "connect".to_owned(),
                peer: address.to_string(),
                message: "not connected".to_owned(),
            }),
        }
    }

    /// Bytes and frames over all its connections.
    pub fn counters(&self) -> &Arc<LinkCounters> {
        &self.counters
    }

    fn find(&self, wanted: impl Fn(&Peer) -> bool) -> Option<Connection> {
        let connections = self.connections.lock();
        connections
            .values()
            .find(|connection| wanted(connection.peer()) && !connection.is_closed())
            .cloned()
    }
}

async fn keep_connected(pool: PeerPool, address: SocketAddr, identity: Identity) {
    loop {
        match Connection::open(address, &identity, pool.counters.clone()).await {
            Ok(connection) => hold(&pool, address, connection).await,
            Err(error) => log::debug!(error:%; "peer is not connected"),
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

async fn hold(pool: &PeerPool, address: SocketAddr, connection: Connection) {
    let name = connection.peer().name.clone();
    log::info!(peer = name.as_str(), address:%; "peer connected");
    pool.connections.lock().insert(address, connection.clone());
    while !connection.is_closed() {
        sleep(CHECK_PAUSE).await;
    }
    pool.connections.lock().remove(&address);
    log::info!(peer = name.as_str(), address:%; "peer disconnected");
}
