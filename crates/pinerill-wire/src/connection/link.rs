//! The connecting side: calls in flight over one connection.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::framing::{frame_bytes, read_frame, ConnectionError, FRAME_LIMIT};
use super::handshake;
use super::identity::Identity;
use crate::api::{CallError, CallErrorKind, Peer};
use crate::codec::Frame;
use crate::message::{Notification, Request, Response};

/// Longest time to connect.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// Frames that may wait to be written; calls wait for room, notifications
/// are dropped.
const WRITE_QUEUE: usize = 1024;
/// Bytes gathered before one write.
const WRITE_BATCH_BYTES: usize = 64 * 1024;
/// Bytes read at once where messages are short; longer ones are read into their own place. Each
/// connection keeps so many, and a control machine has one of each process of the fleet.
pub(super) const READ_BUFFER_BYTES: usize = 4 * 1024;

/// Bytes and messages over connections, shared by any number of them.
#[derive(Debug, Default)]
pub struct LinkCounters {
    /// Bytes written.
    pub bytes_out: AtomicU64,
    /// Bytes read.
    pub bytes_in: AtomicU64,
    /// Frames written.
    pub frames_out: AtomicU64,
    /// Frames read.
    pub frames_in: AtomicU64,
    /// Notifications dropped because the queue was full.
    pub dropped: AtomicU64,
}

type Waiting = Mutex<HashMap<u64, oneshot::Sender<Response>>>;

struct Shared {
    peer: Peer,
    waiting: Waiting,
    next_correlation: AtomicU64,
    closed: AtomicBool,
    last_received: Mutex<Instant>,
    stop: CancellationToken,
    counters: Arc<LinkCounters>,
}

/// One proved connection; clones share it.
#[derive(Clone)]
pub struct Connection {
    shared: Arc<Shared>,
    writer: mpsc::Sender<Vec<u8>>,
}

impl Connection {
    /// Connects to `address` and proves both sides.
    ///
    /// # Errors
    /// [`CallErrorKind::NotSent`] with the step `connect` or `handshake`.
    pub async fn open(
        address: SocketAddr,
        identity: &Identity,
        counters: Arc<LinkCounters>,
    ) -> Result<Self, CallError> {
        let failed = |step: &str, error: ConnectionError| CallError {
            kind: CallErrorKind::NotSent,
            step: step.to_owned(),
            peer: address.to_string(),
            message: error.to_string(),
        };
        let mut stream = open_socket(address)
            .await
            .map_err(|error| failed("connect", error))?;
        let peer = handshake::connect(&mut stream, identity, address)
            .await
            .map_err(|error| failed("handshake", error))?;
        Ok(Self::start(stream, peer, counters))
    }

    fn start(stream: TcpStream, peer: Peer, counters: Arc<LinkCounters>) -> Self {
        let (read_half, write_half) = stream.into_split();
        let (writer, queue) = mpsc::channel(WRITE_QUEUE);
        let shared = Arc::new(Shared {
            peer,
            waiting: Mutex::new(HashMap::new()),
            next_correlation: AtomicU64::new(1),
            closed: AtomicBool::new(false),
            last_received: Mutex::new(Instant::now()),
            stop: CancellationToken::new(),
            counters,
        });
        tokio::spawn(write_loop(write_half, queue, shared.clone()));
        tokio::spawn(read_loop(read_half, shared.clone()));
        Self { shared, writer }
    }

    /// The other side.
    pub fn peer(&self) -> &Peer {
        &self.shared.peer
    }

    /// Whether the connection has ended; calls on it fail at once.
    pub fn is_closed(&self) -> bool {
        self.shared.closed.load(Ordering::Acquire)
    }

    /// Waits until the connection has ended.
    pub async fn closed(&self) {
        self.shared.stop.cancelled().await;
    }

    /// Ends the connection; calls in flight end with an unknown outcome.
    pub fn close(&self) {
        self.shared.stop.cancel();
    }

    /// Sends a request and awaits its answer.
    ///
    /// # Errors
    /// [`CallErrorKind::NotSent`] when the request was not handed to the
    /// socket, otherwise [`CallErrorKind::Unknown`]; a [`Response::Refused`]
    /// becomes [`CallErrorKind::Refused`].
    pub async fn call(&self, request: Request, time: Duration) -> Result<Response, CallError> {
        let correlation = self.shared.next_correlation.fetch_add(1, Ordering::Relaxed);
        let (answer, waiting) = oneshot::channel();
        self.shared.waiting.lock().insert(correlation, answer);
        let guard = WaitingGuard {
            shared: &self.shared,
            correlation,
        };
        let bytes = frame_bytes(correlation, &Frame::Request(request));
        let started = Instant::now();
        if self.is_closed() || self.writer.send(bytes).await.is_err() {
            return Err(self.error(CallErrorKind::NotSent, "send", "connection closed"));
        }
        let answered = timeout(time, waiting).await;
        drop(guard);
        match answered {
            Ok(Ok(Response::Refused(refusal))) => Err(refusal.into()),
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) => Err(self.error(
                CallErrorKind::Unknown,
                "await answer",
                "connection closed before the answer",
            )),
            Err(_) => {
                self.close_if_silent_since(started);
                let message = format!("no answer within {} ms", time.as_millis());
                Err(self.error(CallErrorKind::Unknown, "await answer", &message))
            }
        }
    }

    /// Sends a notification; it is dropped when too many wait.
    pub fn notify(&self, notification: Notification) {
        let bytes = frame_bytes(0, &Frame::Notification(notification));
        if self.writer.try_send(bytes).is_err() {
            self.shared.counters.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// A peer that was silent for a whole call may be cut off without either
    /// socket knowing; a fresh connection finds out.
    fn close_if_silent_since(&self, started: Instant) {
        if *self.shared.last_received.lock() < started {
            self.close();
        }
    }

    fn error(&self, kind: CallErrorKind, step: &str, message: &str) -> CallError {
        CallError {
            kind,
            step: step.to_owned(),
            peer: format!("{} at {}", self.shared.peer.name, self.shared.peer.address),
            message: message.to_owned(),
        }
    }
}

/// Forgets a call whose future was dropped or ended.
struct WaitingGuard<'a> {
    shared: &'a Shared,
    correlation: u64,
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.shared.waiting.lock().remove(&self.correlation);
    }
}

async fn open_socket(address: SocketAddr) -> Result<TcpStream, ConnectionError> {
    let stream = timeout(CONNECT_TIME, TcpStream::connect(address))
        .await
        .map_err(|_| ConnectionError::TimedOut(CONNECT_TIME.as_millis()))??;
    super::socket::set_options(&stream)?;
    Ok(stream)
}

async fn write_loop(
    mut socket: OwnedWriteHalf,
    mut queue: mpsc::Receiver<Vec<u8>>,
    shared: Arc<Shared>,
) {
    loop {
        let first = tokio::select! {
            () = shared.stop.cancelled() => break,
            first = queue.recv() => first,
        };
        let Some(mut batch) = first else { break };
        let mut frames = 1;
        while batch.len() < WRITE_BATCH_BYTES {
            let Ok(next) = queue.try_recv() else { break };
            batch.extend_from_slice(&next);
            frames += 1;
        }
        let written = tokio::select! {
            () = shared.stop.cancelled() => break,
            written = socket.write_all(&batch) => written,
        };
        if written.is_err() {
            break;
        }
        let counters = &shared.counters;
        counters
            .bytes_out
            .fetch_add(batch.len() as u64, Ordering::Relaxed);
        counters.frames_out.fetch_add(frames, Ordering::Relaxed);
    }
    shared.stop.cancel();
}

async fn read_loop(socket: OwnedReadHalf, shared: Arc<Shared>) {
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, socket);
    loop {
        let frame = tokio::select! {
            () = shared.stop.cancelled() => break,
            frame = super::framing::read_message(&mut reader, FRAME_LIMIT) => frame,
        };
        let Ok((correlation, bytes)) = frame else {
            break;
        };
        *shared.last_received.lock() = Instant::now();
        let counters = &shared.counters;
        counters
            .bytes_in
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        counters.frames_in.fetch_add(1, Ordering::Relaxed);
        match crate::codec::decode_frame(&bytes) {
            Ok(Frame::Response(response)) => answer(&shared, correlation, response),
            Ok(Frame::Goodbye(reason)) => {
                log::warn!(peer = shared.peer.name.as_str(), reason = reason.as_str(); "connection closed by peer");
                break;
            }
            Ok(_) => break,
            Err(error) => {
                log::warn!(peer = shared.peer.name.as_str(), error:%; "connection closed after a malformed frame");
                break;
            }
        }
    }
    shared.closed.store(true, Ordering::Release);
    shared.stop.cancel();
    shared.waiting.lock().clear();
}

/// An answer nobody waits for any more is dropped.
fn answer(shared: &Shared, correlation: u64, response: Response) {
    let waiting = shared.waiting.lock().remove(&correlation);
    if let Some(waiting) = waiting {
        let _ = waiting.send(response);
    }
}

/// Reads frames of a proved peer on the accepting side.
pub(super) async fn read_from_peer(
    reader: &mut BufReader<OwnedReadHalf>,
) -> Result<(u64, Frame), ConnectionError> {
    read_frame(reader, FRAME_LIMIT).await
}
