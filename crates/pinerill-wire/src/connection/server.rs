//! The accepting side: proves peers and hands their requests to a service.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::task::{yield_now, JoinSet};
use tokio_util::sync::CancellationToken;

use super::framing::{frame_bytes, ConnectionError};
use super::handshake;
use super::identity::Identity;
use super::link::{read_from_peer, READ_BUFFER_BYTES};
use crate::api::{Peer, Service};
use crate::codec::Frame;
use crate::message::{BundleUpdate, Request, Response};

/// Requests of one peer that are carried out at once; more wait unread.
const REQUESTS_PER_PEER: usize = 256;
/// Connections that are accepted between two turns of other tasks: their proofs take some tens
/// of microseconds each, and a whole fleet may connect at once.
const ACCEPTED_AT_ONCE: usize = 8;
/// Answers that may wait to be written.
const ANSWER_QUEUE: usize = 256;
/// Bytes gathered before one write.
const BUFFER_BYTES: usize = 64 * 1024;

/// What the accepting side counts.
#[derive(Debug, Default)]
pub struct ServerCounters {
    /// Connections that were proved.
    pub accepted: AtomicU64,
    /// Connections that were refused or broke in the handshake.
    pub refused: AtomicU64,
    /// Connections closed for a malformed or too long frame.
    pub malformed: AtomicU64,
    /// Requests carried out.
    pub requests: AtomicU64,
    /// Notifications received.
    pub notifications: AtomicU64,
}

/// Accepts connections until `stop`; then answers what is in flight and
/// closes them.
pub async fn serve<S: Service>(
    listener: TcpListener,
    identity: Identity,
    service: Arc<S>,
    counters: Arc<ServerCounters>,
    stop: CancellationToken,
) {
    let mut connections = JoinSet::new();
    let mut taken: usize = 0;
    loop {
        taken += 1;
        if taken.is_multiple_of(ACCEPTED_AT_ONCE) {
            // What else is ready goes first, however many connections wait.
            yield_now().await;
        }
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        while connections.try_join_next().is_some() {}
        match accepted {
            Ok((stream, address)) => {
                let identity = identity.clone();
                let service = service.clone();
                let counters = counters.clone();
                let stop = stop.clone();
                connections.spawn(async move {
                    serve_peer(stream, address, identity, service, counters, stop).await;
                });
            }
            Err(error) => log::warn!(error:%; "accepting a connection failed"),
        }
    }
    while connections.join_next().await.is_some() {}
}

async fn serve_peer<S: Service>(
    mut stream: TcpStream,
    address: SocketAddr,
    identity: Identity,
    service: Arc<S>,
    counters: Arc<ServerCounters>,
    stop: CancellationToken,
) {
    if let Err(error) = super::socket::set_options(&stream) {
        log::debug!(step = "set socket options", peer:% = address, error:%; "connection lost");
    }
    let peer = match handshake::accept(&mut stream, &identity, address).await {
        Ok(peer) => peer,
        Err(error) => {
            counters.refused.fetch_add(1, Ordering::Relaxed);
            log::warn!(step = "handshake", peer:% = address, error:%; "connection refused");
            return;
        }
    };
    counters.accepted.fetch_add(1, Ordering::Relaxed);
    let (read_half, write_half) = stream.into_split();
    let (answers, queue) = mpsc::channel(ANSWER_QUEUE);
    let writer = tokio::spawn(write_answers(write_half, queue));
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, read_half);
    let session = Session {
        peer: Arc::new(peer),
        service,
        counters,
        answers,
        slots: Arc::new(Semaphore::new(REQUESTS_PER_PEER)),
    };
    session.run(&mut reader, &stop).await;
    drop(session);
    let _ = writer.await;
}

struct Session<S> {
    peer: Arc<Peer>,
    service: Arc<S>,
    counters: Arc<ServerCounters>,
    answers: mpsc::Sender<Vec<u8>>,
    slots: Arc<Semaphore>,
}

impl<S: Service> Session<S> {
    async fn run(
        &self,
        reader: &mut BufReader<tokio::net::tcp::OwnedReadHalf>,
        stop: &CancellationToken,
    ) {
        loop {
            let frame = tokio::select! {
                () = stop.cancelled() => return,
                () = self.answers.closed() => return,
                frame = read_from_peer(reader) => frame,
            };
            match frame {
                Ok((correlation, Frame::Request(request))) => {
                    self.start_request(correlation, request).await;
                }
                Ok((_, Frame::Notification(notification))) => {
                    self.counters.notifications.fetch_add(1, Ordering::Relaxed);
                    self.service.notified(&self.peer, notification);
                }
                Ok(_) => {
                    self.close(&ConnectionError::Unexpected("frame")).await;
                    return;
                }
                Err(ConnectionError::Socket(_)) => return,
                Err(error) => {
                    self.close(&error).await;
                    return;
                }
            }
        }
    }

    async fn start_request(&self, correlation: u64, request: Request) {
        self.counters.requests.fetch_add(1, Ordering::Relaxed);
        let Ok(slot) = self.slots.clone().acquire_owned().await else {
            return;
        };
        let peer = self.peer.clone();
        let service = self.service.clone();
        let answers = self.answers.clone();
        tokio::spawn(async move {
            let response = service.call(&peer, request).await;
            let Some(bytes) = encode_response(correlation, response).await else {
                return;
            };
            // A peer that went away needs no answer.
            let _ = answers.send(bytes).await;
            drop(slot);
        });
    }

    async fn close(&self, error: &ConnectionError) {
        self.counters.malformed.fetch_add(1, Ordering::Relaxed);
        log::warn!(step = "read frame", peer = self.peer.name.as_str(), error:%; "connection closed");
        let goodbye = Frame::Goodbye(format!("read frame: {error}"));
        let _ = self.answers.send(frame_bytes(0, &goodbye)).await;
    }
}

/// Encodes a response; one that may be large on a thread of its own, since
/// encoding some megabytes would hold up whatever else waits for this one.
async fn encode_response(correlation: u64, response: Response) -> Option<Vec<u8>> {
    let large = may_be_large(&response);
    let encode = move || frame_bytes(correlation, &Frame::Response(response));
    if !large {
        return Some(encode());
    }
    // Fails only while the runtime stops.
    tokio::task::spawn_blocking(encode).await.ok()
}

fn may_be_large(response: &Response) -> bool {
    match response {
        Response::Watch(watch) => matches!(watch.bundle, Some(BundleUpdate::Snapshot(_))),
        Response::BundleShow(_) | Response::JobOutput(_) => true,
        _ => false,
    }
}

async fn write_answers(mut socket: OwnedWriteHalf, mut queue: mpsc::Receiver<Vec<u8>>) {
    while let Some(mut batch) = queue.recv().await {
        while batch.len() < BUFFER_BYTES {
            let Ok(next) = queue.try_recv() else { break };
            batch.extend_from_slice(&next);
        }
        if socket.write_all(&batch).await.is_err() {
            return;
        }
    }
}
