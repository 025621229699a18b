//! One connection to a worker.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::poll_fn;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::connect_times;

/// Unacknowledged bytes end a connection after this time.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_000);
/// Bytes of a worker's answer that are buffered.
const BUFFER_BYTES: usize = 32 << 10;

/// Why an exchange broke.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BreakReason {
    /// The worker could not be connected to.
    #[error("connect: {0}")]
    Connect(String),
    /// The worker's machine refuses connections: no process listens there.
    #[error("connect: refused")]
    Refused,
    /// The connection ended or what came was no answer.
    #[error("connection: {0}")]
    Connection(String),
    /// The answer names another request.
    #[error("the answer names another request")]
    OtherRequest,
    /// The body is encoded, which no caller asked for.
    #[error("the answer's body is encoded")]
    Encoded,
    /// Events are missing, doubled or out of order.
    #[error("events out of order")]
    EventOrder,
    /// The worker has started again; what it ran before is gone.
    #[error("the worker has started again")]
    Restarted,
    /// The worker is leaving, or gone, so that nothing was sent.
    #[error("the worker is leaving")]
    Leaving,
    /// The worker is not known to stay, so that nothing was sent.
    #[error("the worker is not known to stay: {0}")]
    Unconfirmed(&'static str),
    /// The worker's zone is evacuated, so that nothing was sent.
    #[error("the worker's zone is evacuated")]
    Evacuated,
    /// The worker is still cold, and no permit lets the request go there; nothing was sent.
    #[error("the worker is cold, and there is no permit")]
    Cold,
    /// Nothing came for too long.
    #[error("silent for too long")]
    Silent,
    /// The answer ended before its last event was whole.
    #[error("the answer ended within an event")]
    Truncated,
}

impl BreakReason {
    /// Whether the worker said nothing at all, so that others will hear nothing either.
    pub fn is_unresponsive(&self) -> bool {
        matches!(
            self,
            BreakReason::Connect(_) | BreakReason::Refused | BreakReason::Silent
        )
    }

    /// Whether the worker ended the connection, so that it may do so to others.
    pub fn is_disconnect(&self) -> bool {
        matches!(self, BreakReason::Connection(_) | BreakReason::Truncated)
    }

    /// Whether the worker failed. One that is merely spared did not.
    pub fn is_failure(&self) -> bool {
        !matches!(self, BreakReason::Evacuated | BreakReason::Cold)
    }

    /// Whether a crash of the worker may be behind it: a worker whose answer was merely
    /// wrong lives.
    pub fn may_be_crash(&self) -> bool {
        matches!(
            self,
            BreakReason::Connection(_)
                | BreakReason::Truncated
                | BreakReason::Silent
                | BreakReason::Restarted
        )
    }
}

type Driver = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// A connection that carries one request at a time.
pub struct WorkerConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: Pin<Box<Driver>>,
    /// Why the connection ended, once it has.
    ended: Option<String>,
}

/// A request that could not be sent, or whose answer did not come.
pub(super) struct Unanswered {
    /// Whether any byte may have reached the worker.
    pub(super) sent: bool,
    pub(super) reason: BreakReason,
}

impl WorkerConnection {
    /// Connects to a worker.
    ///
    /// # Errors
    /// [`BreakReason::Connect`] or [`BreakReason::Refused`].
    pub async fn open(address: SocketAddr) -> Result<Self, BreakReason> {
        let failed = |error: String| BreakReason::Connect(error);
        let connected = timeout(connect_times::LONGEST, TcpStream::connect(address)).await;
        let stream = connected
            .map_err(|_| failed("no answer in time".to_owned()))?
            .map_err(|error| match error.kind() {
                io::ErrorKind::ConnectionRefused => BreakReason::Refused,
                _ => failed(error.to_string()),
            })?;
        set_options(&stream).map_err(|error| failed(error.to_string()))?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| failed(error.to_string()))?;
        Ok(WorkerConnection {
            sender,
            driver: Box::pin(driver),
            ended: None,
        })
    }

    /// Sends a request and awaits the head of its answer.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Unanswered> {
        let answer = self.sender.try_send_request(request);
        let answered = drive(&mut self.driver, &mut self.ended, answer).await;
        answered.map_err(|mut error| {
            let sent = error.take_message().is_none();
            let reason = BreakReason::Connection(error.into_error().to_string());
            Unanswered { sent, reason }
        })
    }

    /// The next piece of an answer's body; none at its clean end.
    pub(super) async fn next_piece(
        &mut self,
        body: &mut Incoming,
    ) -> Result<Option<Bytes>, BreakReason> {
        loop {
            let frame = drive(&mut self.driver, &mut self.ended, body.frame()).await;
            match frame {
                None => return Ok(None),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Err(error)) => return Err(BreakReason::Connection(error.to_string())),
            }
        }
    }

    /// Whether it may carry another request: it is open, its last answer was
    /// read to the end, and the worker has sent nothing since.
    pub fn is_reusable(&mut self) -> bool {
        let waker = futures_util::task::noop_waker();
        let mut context = Context::from_waker(&waker);
        self.poll_driver(&mut context);
        let ready = self.sender.poll_ready(&mut context);
        self.ended.is_none() && matches!(ready, Poll::Ready(Ok(())))
    }

    fn poll_driver(&mut self, context: &mut Context<'_>) {
        if self.ended.is_none() {
            poll_driver(&mut self.driver, &mut self.ended, context);
        }
    }
}

fn poll_driver(
    driver: &mut Pin<Box<Driver>>,
    ended: &mut Option<String>,
    context: &mut Context<'_>,
) {
    if let Poll::Ready(result) = driver.as_mut().poll(context) {
        *ended = Some(match result {
            Ok(()) => "closed".to_owned(),
            Err(error) => error.to_string(),
        });
    }
}

/// Awaits a future of the connection while the connection itself is driven.
/// Both are woken by the same task. The connection's end wakes the future.
async fn drive<F: Future>(
    driver: &mut Pin<Box<Driver>>,
    ended: &mut Option<String>,
    future: F,
) -> F::Output {
    let mut future = pin!(future);
    poll_fn(|context| {
        if let Poll::Ready(output) = future.as_mut().poll(context) {
            return Poll::Ready(output);
        }
        if ended.is_none() {
            poll_driver(driver, ended, context);
        }
        future.as_mut().poll(context)
    })
    .await
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(SILENCE_LIMIT))
}
