//! One HTTP/1 connection to a worker.
//!
//! The connection has no task of its own: it makes progress only while its owner awaits one of
//! its methods, and dropping it closes the socket. It reads responses itself, because a response
//! that repeats an earlier one is skipped and the request's own is read behind it.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::response::Parts;
use http::Method;
use pinerill_calls::protocol::{WorkerAnswer, WorkerProtocol};
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::coop::consume_budget;
use tokio::time::timeout;

use super::break_reason::BreakReason;
use super::connect_times;
use super::history::{ConnectionHistory, Origin, ResponseIdentity};
use super::request::EncodedRequest;
use super::response::{BodyPart, MalformedResponse, ResponseDecoder};

/// TCP user timeout: a connection ends if sent bytes stay unacknowledged for this time.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Maximum size of the head of a worker's response.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Space for received bytes that is reserved before each read.
const READ_BYTES: usize = 8 << 10;
/// Maximum number of repeated responses that one exchange skips. A connection has carried no more
/// requests.
const MAX_REPETITIONS: usize = 256;
/// Maximum size of the body of a repeated response that is skipped.
const MAX_SKIPPED_BYTES: usize = 4 << 20;

/// A connection to a worker that carries one request at a time.
pub struct WorkerConnection {
    stream: TcpStream,
    /// The worker's address, for log lines.
    address: SocketAddr,
    /// Counts the responses of all connections that repeated earlier ones.
    repetitions: Arc<AtomicU64>,
    history: ConnectionHistory,
    decoder: ResponseDecoder,
    /// Bytes of the current request that are not yet written.
    unsent: EncodedRequest,
    /// Received bytes that are not yet decoded.
    received: BytesMut,
    /// Whether writing has failed, so that the rest of the request is not sent.
    write_failed: bool,
    /// Whether the connection has failed or ended.
    is_broken: bool,
}

/// A request that could not be sent or whose response head did not arrive.
pub(super) struct Unanswered {
    /// Whether any byte of the request may have reached the worker.
    pub(super) sent: bool,
    pub(super) reason: BreakReason,
}

/// What a wait for bytes of the worker has brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Received {
    Bytes,
    End,
}

impl WorkerConnection {
    /// Connects to a worker, waiting at most [`connect_times::MAX_TIMEOUT`]. Responses that repeat
    /// earlier ones are added to `repetitions`.
    ///
    /// # Errors
    /// Returns [`BreakReason::Refused`] if the worker's machine refuses the connection, and
    /// [`BreakReason::Connect`] on any other failure.
    pub(super) async fn open(
        address: SocketAddr,
        repetitions: Arc<AtomicU64>,
    ) -> Result<Self, BreakReason> {
        let failed = |error: String| BreakReason::Connect(error);
        let connected = timeout(connect_times::MAX_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected
            .map_err(|_| failed("connection timed out".to_owned()))?
            .map_err(|error| match error.kind() {
                io::ErrorKind::ConnectionRefused => BreakReason::Refused,
                _ => failed(error.to_string()),
            })?;
        set_options(&stream).map_err(|error| failed(error.to_string()))?;
        Ok(WorkerConnection {
            stream,
            address,
            repetitions,
            history: ConnectionHistory::default(),
            decoder: ResponseDecoder::new(MAX_HEAD_BYTES),
            unsent: EncodedRequest::default(),
            received: BytesMut::new(),
            write_failed: false,
            is_broken: false,
        })
    }

    /// Sends a request and awaits the head of its response; responses that repeat earlier ones
    /// are skipped. `id` is the request's id, or `None` for a health check.
    pub(super) async fn send(
        &mut self,
        protocol: &dyn WorkerProtocol,
        id: Option<&str>,
        request: EncodedRequest,
    ) -> Result<(Parts, WorkerAnswer), Unanswered> {
        self.history.begin(id);
        let method = request.method().clone();
        self.unsent = request;
        let answered = self.response_head(protocol, &method).await;
        answered.map_err(|reason| Unanswered {
            sent: !self.unsent.is_untouched(),
            reason,
        })
    }

    async fn response_head(
        &mut self,
        protocol: &dyn WorkerProtocol,
        method: &Method,
    ) -> Result<(Parts, WorkerAnswer), BreakReason> {
        for _ in 0..=MAX_REPETITIONS {
            let head = self.next_head(method).await?;
            let answer = protocol.read_answer(&head);
            let origin = self.history.receive(ResponseIdentity {
                request: answer.id.as_deref(),
                is_stamped: answer.is_stamped,
                is_health_answer: answer.is_health_answer,
                is_refusal: answer.is_refusal,
            });
            match origin {
                Origin::Current => return Ok((head, answer)),
                Origin::Earlier => {
                    self.repetitions.fetch_add(1, Ordering::Relaxed);
                    self.log_other_response("repeated_answer_skipped", &head, &answer);
                    self.skip_body().await?;
                }
                Origin::Unknown => {
                    self.log_other_response("answer_of_other_request", &head, &answer);
                    return Err(BreakReason::OtherRequest);
                }
            }
        }
        Err(BreakReason::Repetition)
    }

    fn log_other_response(&self, event: &'static str, head: &Parts, answer: &WorkerAnswer) {
        log::warn!(
            event = event, id = self.history.current(), address:% = self.address,
            named = answer.id.as_deref(), status = head.status.as_u16(),
            carried = self.history.carried(); ""
        );
    }

    async fn next_head(&mut self, method: &Method) -> Result<Parts, BreakReason> {
        loop {
            let head = self.decoder.next_head(method, &mut self.received);
            if let Some(head) = head.map_err(|error| self.malformed(&error))? {
                return Ok(head);
            }
            if self.receive().await? == Received::End {
                return Err(self.malformed(&MalformedResponse::Truncated));
            }
        }
    }

    /// Reads a repeated response to its end. If it ends with the connection, so does the exchange.
    async fn skip_body(&mut self) -> Result<(), BreakReason> {
        let mut skipped = 0;
        while let Some(data) = self.next_piece().await? {
            skipped += data.len();
            if skipped > MAX_SKIPPED_BYTES {
                return Err(BreakReason::Repetition);
            }
        }
        Ok(())
    }

    /// Returns the next chunk of a response body; `None` at its regular end. Trailers are
    /// skipped.
    pub(super) async fn next_piece(&mut self) -> Result<Option<Bytes>, BreakReason> {
        loop {
            let part = self.decoder.next_part(&mut self.received);
            let part = match part.map_err(|error| self.malformed(&error))? {
                Some(part) => part,
                None if self.receive().await? == Received::Bytes => continue,
                // A failed write takes the socket's error, so that a reset reads as a regular end.
                None if self.write_failed => {
                    return Err(self.malformed(&MalformedResponse::Truncated));
                }
                None => {
                    let end = self.decoder.end_of_input();
                    end.map_err(|error| self.malformed(&error))?
                }
            };
            return Ok(match part {
                BodyPart::Data(data) => Some(data),
                BodyPart::End => None,
            });
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

    /// Returns whether the connection can carry another request: it is open, its last request
    /// was written and its last response read to the end, the worker has sent nothing since, and
    /// its responses can be told apart.
    pub fn is_reusable(&mut self) -> bool {
        !self.is_broken
            && !self.write_failed
            && self.history.is_usable()
            && self.decoder.keeps_alive()
            // A repetition would be read with the body that a response to HEAD does not have.
            && self.unsent.method() != Method::HEAD
            && self.unsent.remaining() == 0
            && self.received.is_empty()
            && self.is_silent()
    }

    /// Returns whether the worker has neither sent anything nor closed the connection.
    fn is_silent(&self) -> bool {
        let read = self.stream.try_read(&mut [0]);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Waits until the worker sends something or closes the connection, at most for this time.
    /// Returns whether it did neither.
    pub(super) async fn stays_silent(&self, time: Duration) -> bool {
        let broken = async { while self.stream.readable().await.is_ok() && self.is_silent() {} };
        timeout(time, broken).await.is_err()
    }

    /// Waits for bytes of the worker, and writes the rest of the request meanwhile.
    async fn receive(&mut self) -> Result<Received, BreakReason> {
        loop {
            // Reads that never have to wait would otherwise keep timeouts and other tasks waiting.
            consume_budget().await;
            self.write_unsent()?;
            match self.read_available() {
                Ok(0) => {
                    self.is_broken = true;
                    return Ok(Received::End);
                }
                Ok(_) => return Ok(Received::Bytes),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(self.failed(&error)),
            }
            let interest = match self.is_writing() {
                true => Interest::READABLE | Interest::WRITABLE,
                false => Interest::READABLE,
            };
            let ready = self.stream.ready(interest).await;
            ready.map_err(|error| self.failed(&error))?;
        }
    }

    fn is_writing(&self) -> bool {
        self.unsent.remaining() > 0 && !self.write_failed
    }

    /// Writes as much of the request as the connection accepts. A worker may respond to a part
    /// of a request and read no more, so a response may still arrive after a failed write.
    fn write_unsent(&mut self) -> Result<(), BreakReason> {
        while self.is_writing() {
            match self.unsent.write_to(&self.stream) {
                Ok(()) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if self.unsent.is_untouched() => return Err(self.failed(&error)),
                Err(_) => self.write_failed = true,
            }
        }
        Ok(())
    }

    fn read_available(&mut self) -> io::Result<usize> {
        self.received.reserve(READ_BYTES);
        self.stream.try_read_buf(&mut self.received)
    }

    fn malformed(&mut self, error: &MalformedResponse) -> BreakReason {
        self.is_broken = true;
        BreakReason::Connection(error.to_string())
    }

    fn failed(&mut self, error: &io::Error) -> BreakReason {
        self.is_broken = true;
        BreakReason::Connection(error.to_string())
    }
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
