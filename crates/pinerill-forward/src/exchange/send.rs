//! One exchange with one worker: sends the request, then reads the head and body of the response.

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
use super::history::ResponseIdentity;
use super::incarnations::IncarnationToken;
use super::pool::ConnectionPool;

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
    body: Incoming,
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
        while let Some(connection) = pool.take(&worker.id, Some(&request.id)) {
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
        let http_request = build_http_request(request, headers);
        let response = tokio::select! {
            response = connection.send(Some(&request.id), http_request) => response,
            () = incarnation.cancelled() => {
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
        let identity = ResponseIdentity {
            request: answer.id.as_deref(),
            is_stamped: answer.is_stamped,
        };
        if let Err(reason) = connection.check_response(identity) {
            log::warn!(
                event = "answer_of_other_request", id = request.id.as_str(),
                worker = worker.id.as_str(), named = answer.id.as_deref(),
                status = head.status.as_u16(), carried = connection.carried(), reason:% = reason; ""
            );
            return Err(SendFailure { sent: true, reason });
        }
        if answer.has_content_encoding {
            let reason = BreakReason::Encoded;
            return Err(SendFailure { sent: true, reason });
        }
        let exchange = Exchange {
            worker: worker.clone(),
            connection,
            body,
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
            piece = self.connection.next_piece(&mut self.body) => piece,
            () = self.incarnation.cancelled() => Err(BreakReason::Restarted),
        }
    }

    /// Returns the rest of the body and puts the connection back into the pool.
    ///
    /// # Errors
    /// Returns an error if the response breaks off, is malformed or exceeds `limit` bytes, or if
    /// the worker restarts.
    pub async fn read_whole(
        mut self,
        pool: &ConnectionPool,
        limit: usize,
    ) -> Result<Bytes, BreakReason> {
        let mut whole = Vec::new();
        while let Some(piece) = self.next_piece().await? {
            whole.extend_from_slice(&piece);
            if whole.len() > limit {
                let message = "the response body exceeds the size limit".to_owned();
                return Err(BreakReason::Connection(message));
            }
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

fn build_http_request(request: &WorkerRequest, mut headers: HeaderMap) -> Request<Full<Bytes>> {
    // The body is sent as a whole, so hyper derives the content length from it. The caller's
    // framing and connection headers describe another connection.
    headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
    headers.remove(CONNECTION);
    let mut built = Request::new(Full::new(request.body.clone()));
    *built.method_mut() = request.method.clone();
    *built.uri_mut() = request.uri.clone();
    *built.headers_mut() = headers;
    built
}

/// Returns the idle time from `Keep-Alive: timeout=N`, which is in seconds; `None` if the header
/// is missing or malformed.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parts = value.split(',');
    let seconds = parts.find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}
