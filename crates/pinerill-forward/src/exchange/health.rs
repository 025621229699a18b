//! Health checks of workers.
//!
//! [`check_health`] requests a worker's health path and reports whether the worker is healthy
//! and not leaving.

use std::sync::Arc;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Method, Uri};
use pinerill_calls::directory::WorkerEntry;
use pinerill_calls::protocol::{HealthAnswer, WorkerProtocol};

use super::break_reason::BreakReason;
use super::connection::WorkerConnection;
use super::pool::ConnectionPool;
use super::request::EncodedRequest;

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
    let host = HeaderValue::try_from(worker.address.to_string());
    let host = host.map_err(|error| BreakReason::Connection(error.to_string()))?;
    let headers = HeaderMap::from_iter([(HOST, host)]);
    let request = EncodedRequest::new(&Method::GET, path, headers, Bytes::new());
    let sent = connection.send(protocol, None, request).await;
    let (head, answer) = sent.map_err(|unanswered| unanswered.reason)?;
    let mut length = 0;
    while let Some(piece) = connection.next_piece().await? {
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
