//! Health checks: whether a worker is sound and not leaving.

use std::sync::Arc;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Method, Request, Uri};
use http_body_util::Full;
use pinerill_calls::directory::WorkerEntry;
use pinerill_calls::protocol::{HealthAnswer, WorkerProtocol};

use super::connection::{BreakReason, WorkerConnection};
use super::pool::ConnectionPool;

/// Longest answer that is read, so that its connection may carry the request that follows.
const ANSWER_LIMIT: usize = 64 << 10;

/// Checks the health of a worker. The answer is of the worker that is there now.
///
/// # Errors
/// Why there is no answer.
pub async fn check_health(
    pool: &Arc<ConnectionPool>,
    protocol: &dyn WorkerProtocol,
    worker: &Arc<WorkerEntry>,
    path: &Uri,
) -> Result<HealthAnswer, BreakReason> {
    while let Some(connection) = pool.take(&worker.id) {
        // A connection that rested may have ended meanwhile; checking twice does no harm.
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
    let sent = connection.send(health_request(worker, path)?).await;
    let response = sent.map_err(|unanswered| unanswered.reason)?;
    let (head, mut body) = response.into_parts();
    let mut length = 0;
    while let Some(piece) = connection.next_piece(&mut body).await? {
        length += piece.len();
        if length > ANSWER_LIMIT {
            return Ok(protocol.read_health(&head));
        }
    }
    if !protocol.read_answer(&head).closes {
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
