//! Connections from one control machine to the others, kept open.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::identity::Identity;
use super::link::{Connection, LinkCounters};
use crate::api::{CallError, CallErrorKind, Peer};
use crate::message::{Notification, Request, Response};

/// Pause before connecting again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Time limit of the first attempt to connect, handshake included. It is short because a machine
/// that is starting drops the first packet in silence; the packet is only sent again after seconds.
const FIRST_ATTEMPT_LIMIT: Duration = Duration::from_millis(250);
/// Longest time limit of an attempt. The limit doubles with each attempt that fails, so that slow
/// peers are reached as well.
const LONGEST_ATTEMPT_LIMIT: Duration = Duration::from_secs(2);

type Connections = Mutex<BTreeMap<SocketAddr, Connection>>;

/// A peer to which a connection is open.
#[derive(Debug, Clone)]
pub struct ConnectedPeer {
    /// The address it was connected to.
    pub reached_at: SocketAddr,
    /// What it says of itself.
    pub peer: Peer,
}

/// Keeps one connection to each of a set of addresses, which may grow and
/// shrink.
#[derive(Clone)]
pub struct PeerPool {
    connections: Arc<Connections>,
    /// Ends the task of each address.
    tasks: Arc<Mutex<BTreeMap<SocketAddr, CancellationToken>>>,
    identity: Arc<Identity>,
    stop: CancellationToken,
    counters: Arc<LinkCounters>,
}

impl PeerPool {
    /// Connects to `addresses` and again whenever a connection ends, until
    /// `stop`.
    pub fn start(addresses: &[SocketAddr], identity: &Identity, stop: &CancellationToken) -> Self {
        let pool = Self {
            connections: Arc::new(Mutex::new(BTreeMap::new())),
            tasks: Arc::default(),
            identity: Arc::new(identity.clone()),
            stop: stop.clone(),
            counters: Arc::new(LinkCounters::default()),
        };
        for address in addresses {
            pool.add(*address);
        }
        pool
    }

    /// Keeps a connection to this address too. Must be called within a tokio
    /// runtime.
    pub fn add(&self, address: SocketAddr) {
        let mut tasks = self.tasks.lock();
        if tasks.contains_key(&address) {
            return;
        }
        let ended = self.stop.child_token();
        tasks.insert(address, ended.clone());
        let task = keep_connected(self.clone(), address);
        tokio::spawn(async move {
            tokio::select! {
                () = ended.cancelled() => {}
                () = task => {}
            }
        });
    }

    /// Ends the connection to this address and connects no more.
    pub fn remove(&self, address: SocketAddr) {
        if let Some(ended) = self.tasks.lock().remove(&address) {
            ended.cancel();
        }
        if let Some(connection) = self.connections.lock().remove(&address) {
            connection.close();
        }
    }

    /// Addresses that are kept connected.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.tasks.lock().keys().copied().collect()
    }

    /// The connection to the peer with this data folder.
    pub fn to_replica(&self, replica: u64) -> Option<Connection> {
        self.find(|peer| peer.replica == replica)
    }

    /// Peers that are connected now.
    pub fn peers(&self) -> Vec<Peer> {
        let connected = self.connected_peers().into_iter();
        connected.map(|one| one.peer).collect()
    }

    /// Peers that are connected now, each with the address it is reached at:
    /// one view, so that who is connected and who they are can't disagree.
    pub fn connected_peers(&self) -> Vec<ConnectedPeer> {
        let connections = self.connections.lock();
        let open = connections
            .iter()
            .filter(|(_, connection)| !connection.is_closed());
        open.map(|(address, connection)| ConnectedPeer {
            reached_at: *address,
            peer: connection.peer().clone(),
        })
        .collect()
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

async fn keep_connected(pool: PeerPool, address: SocketAddr) {
    let mut limit = FIRST_ATTEMPT_LIMIT;
    loop {
        let opening = Connection::open(address, &pool.identity, pool.counters.clone());
        match timeout(limit, opening).await {
            Ok(Ok(connection)) => {
                hold(&pool, address, connection).await;
                limit = FIRST_ATTEMPT_LIMIT;
            }
            Ok(Err(error)) => log::debug!(error:%; "peer is not connected"),
            Err(_) => {
                log::debug!(address:%, limit_ms = limit.as_millis() as u64; "peer does not answer");
                limit = (limit * 2).min(LONGEST_ATTEMPT_LIMIT);
            }
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

async fn hold(pool: &PeerPool, address: SocketAddr, connection: Connection) {
    let name = connection.peer().name.clone();
    log::info!(peer = name.as_str(), address:%; "peer connected");
    pool.connections.lock().insert(address, connection.clone());
    connection.closed().await;
    pool.connections.lock().remove(&address);
    log::info!(peer = name.as_str(), address:%; "peer disconnected");
}
