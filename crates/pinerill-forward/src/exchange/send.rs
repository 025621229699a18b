//! One exchange with one worker: sends the request, then reads the head and body of the response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, HeaderName, Method, Uri};
use pinerill_calls::directory::WorkerEntry;
use pinerill_calls::protocol::{Verdict, WorkerAnswer, WorkerProtocol};

use super::break_reason::BreakReason;
use super::connection::WorkerConnection;
use super::incarnations::IncarnationToken;
use super::pool::ConnectionPool;
use super::request::EncodedRequest;

/// Header in which workers advertise how long they keep idle connections.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// The parts of a request to a worker that are the same for every attempt.
#[derive(Debug, Clone)]
pub struct WorkerRequest {
    /// HTTP method: that of the caller's request or of the job's item.
    pub method: Method,
    /// Request target: path and query.
    pub uri: Uri,
    /// Complete request body.
    pub body: Bytes,
    /// Request id assigned by the caller. A response that carries another id is rejected.
    pub id: String,
}

/// An exchange whose response head has arrived, with the body still to be read. Dropping it
/// closes the connection.
pub struct Exchange {
    worker: Arc<WorkerEntry>,
    connection: WorkerConnection,
    keep_alive: Option<Duration>,
    closes: bool,
    /// Cancelled when the worker has restarted.
    incarnation: IncarnationToken,
}

/// The head of a worker's response, with the exchange that delivers its body.
pub struct StartedAnswer {
    /// Status and headers, as received.
    pub head: Parts,
    /// Information that the worker protocol reads from the head.
    pub answer: WorkerAnswer,
    /// Exchange from which the body is read.
    pub exchange: Exchange,
}

/// A request that got no valid response head.
#[derive(Debug)]
pub struct SendFailure {
    /// Whether the request may have reached the worker. If not, it is safe to send it again.
    pub sent: bool,
    /// Cause of the failure.
    pub reason: BreakReason,
}

impl Exchange {
    /// Sends a request to a worker and awaits the head of its response. Idle connections are
    /// used first; one that the worker has closed meanwhile is replaced if nothing of the
    /// request was sent on it. `may_send` is called directly before the request is written,
    /// because while a connection opens, updates may arrive or the known state may become
    /// stale.
    ///
    /// # Errors
    /// Returns [`SendFailure`], which says whether the request may have reached the worker.
    pub async fn begin(
        pool: &Arc<ConnectionPool>,
        protocol: &dyn WorkerProtocol,
        worker: &Arc<WorkerEntry>,
        request: &WorkerRequest,
        headers: HeaderMap,
        may_send: impl Fn() -> Result<(), BreakReason>,
    ) -> Result<StartedAnswer, SendFailure> {
        let not_sent = |reason| SendFailure {
            sent: false,
            reason,
        };
        // The body of a repetition would be read as the response to HEAD, which has none.
        let may_reuse = request.method != Method::HEAD;
        let take_idle = || pool.take(&worker.id, Some(&request.id));
        while let Some(connection) = may_reuse.then(take_idle).flatten() {
            may_send().map_err(not_sent)?;
            let incarnation = pool.incarnations.token_for(&worker.id);
            match Self::send_on(
                connection,
                incarnation,
                protocol,
                worker,
                request,
                headers.clone(),
            )
            .await
            {
                Err(failure) if !failure.sent => {}
                other => return other,
            }
        }
        let opened = pool.open(worker).await;
        let connection = opened.map_err(not_sent)?;
        may_send().map_err(not_sent)?;
        let incarnation = pool.incarnations.token_for(&worker.id);
        Self::send_on(connection, incarnation, protocol, worker, request, headers).await
    }

    async fn send_on(
        mut connection: WorkerConnection,
        incarnation: IncarnationToken,
        protocol: &dyn WorkerProtocol,
        worker: &Arc<WorkerEntry>,
        request: &WorkerRequest,
        headers: HeaderMap,
    ) -> Result<StartedAnswer, SendFailure> {
        let body = request.body.clone();
        let encoded = EncodedRequest::new(&request.method, &request.uri, headers, body);
        let answered = tokio::select! {
            answered = connection.send(protocol, Some(&request.id), encoded) => answered,
            () = incarnation.cancelled() => {
                let reason = BreakReason::Restarted;
                return Err(SendFailure { sent: true, reason });
            }
        };
        let (head, answer) = answered.map_err(|unanswered| SendFailure {
            sent: unanswered.sent,
            reason: unanswered.reason,
        })?;
        if let Some(reason) = invalid_head(&answer) {
            return Err(SendFailure { sent: true, reason });
        }
        let exchange = Exchange {
            worker: worker.clone(),
            connection,
            keep_alive: keep_alive(&head.headers),
            closes: answer.closes_connection,
            incarnation,
        };
        Ok(StartedAnswer {
            head,
            answer,
            exchange,
        })
    }

    /// Returns the number of requests and health checks that the connection has carried, this
    /// exchange included.
    pub fn carried(&self) -> usize {
        self.connection.carried()
    }

    /// Returns the next chunk of the body; `None` at its regular end.
    ///
    /// # Errors
    /// Returns an error if the response breaks off or is malformed, or if the worker restarts.
    pub async fn next_piece(&mut self) -> Result<Option<Bytes>, BreakReason> {
        tokio::select! {
            piece = self.connection.next_piece() => piece,
            () = self.incarnation.cancelled() => Err(BreakReason::Restarted),
        }
    }

    /// Returns the rest of the body and puts the connection back into the pool.
    ///
    /// # Errors
    /// Returns an error if the response breaks off, is malformed or exceeds `limit` bytes, if
    /// long responses take too much memory together, or if the worker restarts.
    pub async fn read_whole(
        mut self,
        pool: &ConnectionPool,
        limit: usize,
    ) -> Result<Bytes, BreakReason> {
        let mut memory = pool.answer_memory.begin();
        let mut whole = Vec::new();
        while let Some(piece) = self.next_piece().await? {
            let length = whole.len() + piece.len();
            if length > limit || !memory.grow_to(length) {
                return Err(BreakReason::TooLong);
            }
            reserve(&mut whole, length);
            whole.extend_from_slice(&piece);
        }
        self.finish(pool);
        Ok(whole.into())
    }

    /// Puts the connection back into the pool, unless the worker announced that it closes it. Must
    /// be called only after the body was read to its end.
    pub fn finish(self, pool: &ConnectionPool) {
        if !self.closes {
            pool.put(&self.worker.id, self.connection, self.keep_alive);
        }
    }
}

/// Makes room for a body of this length by steps of a quarter, so that little memory is unused.
fn reserve(whole: &mut Vec<u8>, length: usize) {
    if length > whole.capacity() {
        whole.reserve_exact(length - whole.len() + length / 4);
    }
}

/// Returns why a response cannot be that of the worker; `None` if it can.
fn invalid_head(answer: &WorkerAnswer) -> Option<BreakReason> {
    if answer.verdict == Verdict::Accepted && !answer.is_stamped {
        return Some(BreakReason::Unstamped);
    }
    answer.has_content_encoding.then_some(BreakReason::Encoded)
}

/// Returns the idle time from `Keep-Alive: timeout=N`, which is in seconds; `None` if the header
/// is missing or malformed.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parts = value.split(',');
    let seconds = parts.find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}
