//! Health checks of workers.
//!
//! [`check_health`] requests a worker's health path and reports whether the worker is healthy
//! and not leaving.

use std::sync::Arc;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Method, Request, Uri};
use http_body_util::Full;
use pinerill_calls::directory::WorkerEntry;
use pinerill_calls::protocol::{HealthAnswer, WorkerProtocol};

use super::connection::{BreakReason, WorkerConnection};
use super::history::ResponseIdentity;
use super::pool::ConnectionPool;

/// Longest health response that is read to its end, in bytes. Only a connection whose response
/// was read completely can carry the next request.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Checks the health of a worker, on idle connections first and then on a new one. The result
/// describes the process that listens at the worker's address now, which may be a later
/// incarnation than `worker`.
///
/// # Errors
/// Returns why no response was received.
pub async fn check_health(
    pool: &Arc<ConnectionPool>,
    protocol: &dyn WorkerProtocol,
    worker: &Arc<WorkerEntry>,
    path: &Uri,
) -> Result<HealthAnswer, BreakReason> {
    while let Some(connection) = pool.take(&worker.id, None) {
        // The worker may have closed an idle connection. A health check has no side effects, so it
        // can be repeated.
        if let Ok(answer) = check_on(connection, pool, protocol, worker, path).await {
            return Ok(answer);
        }
    }
    let connection = pool.open(worker).await?;
    check_on(connection, pool, protocol, worker, path).await
}

async fn check_on(
    mut connection: WorkerConnection,
    pool: &ConnectionPool,
    protocol: &dyn WorkerProtocol,
    worker: &WorkerEntry,
    path: &Uri,
) -> Result<HealthAnswer, BreakReason> {
    let sent = connection.send(None, health_request(worker, path)?).await;
    let response = sent.map_err(|unanswered| unanswered.reason)?;
    let (head, mut body) = response.into_parts();
    let answer = protocol.read_answer(&head);
    let identity = ResponseIdentity {
        request: answer.id.as_deref(),
        is_stamped: answer.is_stamped,
    };
    if let Err(reason) = connection.check_response(identity) {
        log::warn!(
            event = "answer_of_other_request", worker = worker.id.as_str(),
            named = answer.id.as_deref(), status = head.status.as_u16(),
            carried = connection.carried(), reason:% = reason; ""
        );
        return Err(reason);
    }
    let mut length = 0;
    while let Some(piece) = connection.next_piece(&mut body).await? {
        length += piece.len();
        if length > MAX_ANSWER_BYTES {
            return Ok(protocol.read_health(&head));
        }
    }
    if !answer.closes_connection {
        pool.put(&worker.id, connection, None);
    }
    Ok(protocol.read_health(&head))
}

fn health_request(worker: &WorkerEntry, path: &Uri) -> Result<Request<Full<Bytes>>, BreakReason> {
    let host = HeaderValue::try_from(worker.address.to_string());
    let host = host.map_err(|error| BreakReason::Connection(error.to_string()))?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = Method::GET;
    *request.uri_mut() = path.clone();
    request.headers_mut().insert(HOST, host);
    Ok(request)
}
