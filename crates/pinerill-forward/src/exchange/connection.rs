//! One HTTP/1 connection to a worker.
//!
//! The connection has no task of its own: it makes progress only while its owner awaits one of
//! its methods, and dropping it closes the socket.

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
use super::history::{ConnectionHistory, Origin, ResponseIdentity};

/// TCP user timeout: a connection ends if sent bytes stay unacknowledged for this time.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Maximum size of the buffer for a worker's response.
const BUFFER_BYTES: usize = 32 << 10;

/// Why an exchange with a worker failed or was not begun.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BreakReason {
    /// No connection to the worker could be established.
    #[error("connect: {0}")]
    Connect(String),
    /// The worker's machine refused the connection, so no process listens there.
    #[error("connect: connection refused")]
    Refused,
    /// The connection ended early, or the bytes received were not a valid response.
    #[error("connection: {0}")]
    Connection(String),
    /// The response belongs to no request that was sent on the connection.
    #[error("the response carries the id of another request")]
    OtherRequest,
    /// The response repeats that to an earlier request on the connection.
    #[error("the response repeats an earlier one")]
    Repetition,
    /// The response body has a content encoding, which no caller requested.
    #[error("the response body has a content encoding")]
    Encoded,
    /// Events of the response are missing, duplicate, out of order or too long.
    #[error("events out of order")]
    EventOrder,
    /// The worker has restarted; requests sent to its earlier incarnation are lost.
    #[error("the worker has restarted")]
    Restarted,
    /// The worker is leaving the fleet or has left it; nothing was sent.
    #[error("the worker is leaving or gone")]
    Leaving,
    /// It could not be confirmed that the worker is healthy and not leaving; nothing was sent.
    #[error("the worker could not be confirmed: {0}")]
    Unconfirmed(&'static str),
    /// The worker's zone is being evacuated; nothing was sent.
    #[error("the worker's zone is evacuated")]
    Evacuated,
    /// The worker is in slow start and there is no permit for the request; nothing was sent.
    #[error("no slow-start permit for a cold worker")]
    Cold,
    /// The worker sent nothing within the timeout that applied.
    #[error("silent for too long")]
    Silent,
    /// The response ended in the middle of an event.
    #[error("the response ended within an event")]
    Truncated,
}

impl BreakReason {
    /// Returns whether the worker could not be reached or did not respond, in which case other
    /// nodes can expect no response either.
    pub fn is_unresponsive(&self) -> bool {
        matches!(
            self,
            BreakReason::Connect(_) | BreakReason::Refused | BreakReason::Silent
        )
    }

    /// Returns whether the connection or the response broke off, which other nodes may see too.
    pub fn is_disconnect(&self) -> bool {
        matches!(self, BreakReason::Connection(_) | BreakReason::Truncated)
    }

    /// Returns whether the reason counts as a failure of the worker. It does not if the request
    /// was held back because of an evacuation or slow start.
    pub fn is_failure(&self) -> bool {
        !matches!(self, BreakReason::Evacuated | BreakReason::Cold)
    }

    /// Returns whether a crash of the worker may be the cause. A worker that sent an invalid
    /// response is still running.
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

/// A connection to a worker that carries one request at a time.
pub struct WorkerConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: Pin<Box<Driver>>,
    history: ConnectionHistory,
    /// Why the connection ended; `None` while it is open.
    ended: Option<String>,
}

/// A request that could not be sent or whose response head did not arrive.
pub(super) struct Unanswered {
    /// Whether any byte of the request may have reached the worker.
    pub(super) sent: bool,
    pub(super) reason: BreakReason,
}

impl WorkerConnection {
    /// Connects to a worker, waiting at most [`connect_times::MAX_TIMEOUT`].
    ///
    /// # Errors
    /// Returns [`BreakReason::Refused`] if the worker's machine refuses the connection, and
    /// [`BreakReason::Connect`] on any other failure.
    pub async fn open(address: SocketAddr) -> Result<Self, BreakReason> {
        let failed = |error: String| BreakReason::Connect(error);
        let connected = timeout(connect_times::MAX_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected
            .map_err(|_| failed("connection timed out".to_owned()))?
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
            history: ConnectionHistory::default(),
            ended: None,
        })
    }

    /// Sends a request and awaits the head of a response. `id` is the request's id, or `None` for
    /// a health check; the caller then passes the identity of the response to
    /// [`WorkerConnection::check_response`].
    pub(super) async fn send(
        &mut self,
        id: Option<&str>,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Unanswered> {
        self.history.begin(id);
        let answer = self.sender.try_send_request(request);
        let answered = drive(&mut self.driver, &mut self.ended, answer).await;
        answered.map_err(|mut error| {
            let sent = error.take_message().is_none();
            let reason = BreakReason::Connection(error.into_error().to_string());
            Unanswered { sent, reason }
        })
    }

    /// Checks that a response belongs to the request that was sent last.
    pub(super) fn check_response(
        &mut self,
        response: ResponseIdentity<'_>,
    ) -> Result<(), BreakReason> {
        match self.history.receive(response) {
            Origin::Current => Ok(()),
            Origin::Earlier => Err(BreakReason::Repetition),
            Origin::Unknown => Err(BreakReason::OtherRequest),
        }
    }

    /// Returns the number of requests and health checks that the connection has carried.
    pub(super) fn carried(&self) -> usize {
        self.history.carried()
    }

    /// Returns whether the connection may carry a request with this id, or a health check for
    /// `None`. A repetition of a response must not be mistaken for that to a later attempt.
    pub(super) fn may_carry(&self, request: Option<&str>) -> bool {
        self.history.may_carry(request)
    }

    /// Returns the next chunk of a response body; `None` at its regular end. Trailers are
    /// skipped.
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

    /// Returns whether the connection can carry another request: it is open, its last response
    /// was read to the end, the worker has sent nothing since, and its responses can be told
    /// apart.
    pub fn is_reusable(&mut self) -> bool {
        if !self.history.is_usable() {
            return false;
        }
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

/// Awaits a future that depends on the connection while also polling the connection itself.
/// Both are polled by the same task. The future is polled again after the connection, because
/// progress or the end of the connection may have made it ready.
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
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
