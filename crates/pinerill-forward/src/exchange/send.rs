//! One exchange with one worker: send, head, pieces of the body.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderMap, HeaderName, Method, Request, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use pinerill_calls::directory::WorkerEntry;
use pinerill_calls::protocol::{WorkerAnswer, WorkerProtocol};

use super::connection::{BreakReason, WorkerConnection};
use super::lives::Life;
use super::pool::ConnectionPool;

/// Header in which workers tell how long they keep idle connections.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A request to a worker, without what differs from attempt to attempt.
#[derive(Debug, Clone)]
pub struct WorkerRequest {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Its body.
    pub body: Bytes,
    /// The caller's name for it, which the answer must repeat.
    pub id: String,
}

/// An exchange whose answer has begun.
pub struct Exchange {
    worker: Arc<WorkerEntry>,
    connection: WorkerConnection,
    body: Incoming,
    keep_alive: Option<Duration>,
    closes: bool,
    /// The worker's life.
    life: Life,
}

/// The head of a worker's answer, with the exchange that brings its body.
pub struct StartedAnswer {
    /// The head.
    pub head: Parts,
    /// What the head says.
    pub answer: WorkerAnswer,
    /// The rest.
    pub exchange: Exchange,
}

/// A request without an answer.
#[derive(Debug)]
pub struct SendFailure {
    /// Whether it may have reached the worker.
    pub sent: bool,
    /// What happened.
    pub reason: BreakReason,
}

impl Exchange {
    /// Sends a request to a worker and awaits the head of its answer. A
    /// connection that was idle may have been closed by the worker meanwhile;
    /// if nothing of the request was sent there, a new one takes its place. Right before the
    /// request is written, `may_send` has the last word: opening a connection takes time, in
    /// which news may come or what is known may become too old.
    ///
    /// # Errors
    /// [`SendFailure`], which tells whether the request may have arrived.
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
        while let Some(connection) = pool.take(&worker.id) {
            may_send().map_err(not_sent)?;
            let life = pool.lives.of(&worker.id);
            match Self::on(connection, life, protocol, worker, request, headers.clone()).await {
                Err(failure) if !failure.sent => {}
                other => return other,
            }
        }
        let opened = pool.open(worker).await;
        let connection = opened.map_err(not_sent)?;
        may_send().map_err(not_sent)?;
        let life = pool.lives.of(&worker.id);
        Self::on(connection, life, protocol, worker, request, headers).await
    }

    async fn on(
        mut connection: WorkerConnection,
        life: Life,
        protocol: &dyn WorkerProtocol,
        worker: &Arc<WorkerEntry>,
        request: &WorkerRequest,
        headers: HeaderMap,
    ) -> Result<StartedAnswer, SendFailure> {
        let http_request = build(request, headers);
        let response = tokio::select! {
            response = connection.send(http_request) => response,
            () = life.cancelled() => {
                let reason = BreakReason::Restarted;
                return Err(SendFailure { sent: true, reason });
            }
        };
        let response = response.map_err(|unanswered| SendFailure {
            sent: unanswered.sent,
            reason: unanswered.reason,
        })?;
        let (head, body) = response.into_parts();
        let answer = protocol.read_answer(&head);
        if answer.id.as_deref().is_some_and(|id| id != request.id) {
            let reason = BreakReason::OtherRequest;
            return Err(SendFailure { sent: true, reason });
        }
        if answer.encoded {
            let reason = BreakReason::Encoded;
            return Err(SendFailure { sent: true, reason });
        }
        let exchange = Exchange {
            worker: worker.clone(),
            connection,
            body,
            keep_alive: keep_alive(&head.headers),
            closes: answer.closes,
            life,
        };
        Ok(StartedAnswer {
            head,
            answer,
            exchange,
        })
    }

    /// The next piece of the body; none at its clean end.
    ///
    /// # Errors
    /// When the answer breaks off or is malformed.
    pub async fn next_piece(&mut self) -> Result<Option<Bytes>, BreakReason> {
        tokio::select! {
            piece = self.connection.next_piece(&mut self.body) => piece,
            () = self.life.cancelled() => Err(BreakReason::Restarted),
        }
    }

    /// The whole rest of the body, and the connection kept for another
    /// request.
    ///
    /// # Errors
    /// When the answer breaks off, is malformed or longer than `limit` bytes.
    pub async fn read_whole(
        mut self,
        pool: &ConnectionPool,
        limit: usize,
    ) -> Result<Bytes, BreakReason> {
        let mut whole = Vec::new();
        while let Some(piece) = self.next_piece().await? {
            whole.extend_from_slice(&piece);
            if whole.len() > limit {
                let message = "the answer is too long".to_owned();
                return Err(BreakReason::Connection(message));
            }
        }
        self.finish(pool);
        Ok(whole.into())
    }

    /// Keeps the connection after an answer that was read to its end.
    pub fn finish(self, pool: &ConnectionPool) {
        if !self.closes {
            pool.put(&self.worker.id, self.connection, self.keep_alive);
        }
    }
}

fn build(request: &WorkerRequest, mut headers: HeaderMap) -> Request<Full<Bytes>> {
    // The body is sent whole; its length is told by its size alone.
    headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
    headers.remove(CONNECTION);
    let mut built = Request::new(Full::new(request.body.clone()));
    *built.method_mut() = request.method.clone();
    *built.uri_mut() = request.uri.clone();
    *built.headers_mut() = headers;
    built
}

/// Seconds of `Keep-Alive: timeout=N`.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parts = value.split(',');
    let seconds = parts.find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}
