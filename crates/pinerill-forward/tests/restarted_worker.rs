//! Exchanges with a restarted worker must end promptly. Its old connection may stay open and
//! silent, so that the exchange would otherwise end only at its time-out.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use pinerill_calls::directory::{WorkerEntry, WorkerId, WorkerState};
use pinerill_forward::exchange::{BreakReason, ConnectionPool, Exchange, WorkerRequest};
use support::protocol::NamingProtocol;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

/// Far below any time-out of an exchange.
const SHORT_TIMEOUT: Duration = Duration::from_millis(500);

fn entry(address: SocketAddr, started_at_ms: u64) -> WorkerEntry {
    WorkerEntry {
        id: WorkerId::new("w", Some(started_at_ms)),
        service: "svc".to_owned(),
        address,
        zone: "za".to_owned(),
        slots: 4,
        state: WorkerState::Ready,
        cold_left_ms: 0,
        version: None,
    }
}

/// Starts a worker that accepts one connection, reads the request, sends these bytes and then
/// stalls.
async fn stalling_worker(response: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 1_024];
        assert!(stream.read(&mut request).await.expect("a request") > 0);
        stream.write_all(response).await.expect("written");
        std::future::pending::<()>().await;
    });
    address
}

async fn begin(
    pool: &Arc<ConnectionPool>,
    worker: &Arc<WorkerEntry>,
) -> Result<Exchange, BreakReason> {
    let request = WorkerRequest {
        method: Method::POST,
        uri: "/x".parse().expect("a path"),
        body: Bytes::from_static(b"body"),
        id: "call".to_owned(),
    };
    let begun = Exchange::begin(
        pool,
        &NamingProtocol,
        worker,
        &request,
        HeaderMap::new(),
        || Ok(()),
    )
    .await;
    match begun {
        Ok(sent) => Ok(sent.exchange),
        Err(failure) => {
            assert!(failure.sent, "the request may have run");
            Err(failure.reason)
        }
    }
}

#[tokio::test]
async fn an_unanswered_request_ends_when_its_worker_restarts() {
    let address = stalling_worker(b"").await;
    let pool = Arc::new(ConnectionPool::default());
    let (first, second) = (Arc::new(entry(address, 10)), entry(address, 20));
    let ended = tokio::spawn({
        let pool = pool.clone();
        async move { begin(&pool, &first).await.err() }
    });
    sleep(Duration::from_millis(100)).await;
    pool.cancel_superseded_exchanges(&[second]);
    let reason = timeout(SHORT_TIMEOUT, ended)
        .await
        .expect("no time-out")
        .expect("the task must not panic");
    assert_eq!(reason, Some(BreakReason::Restarted));
}

#[tokio::test]
async fn an_incomplete_answer_ends_when_its_worker_restarts_and_not_before() {
    let head = b"HTTP/1.1 200 OK\r\nid: call\r\nstamp: s\r\nContent-Length: 10\r\n\r\nhalf";
    let address = stalling_worker(head).await;
    let pool = Arc::new(ConnectionPool::default());
    let first = Arc::new(entry(address, 10));
    let mut exchange = begin(&pool, &first).await.expect("a head");
    assert_eq!(
        exchange.next_piece().await,
        Ok(Some(Bytes::from_static(b"half")))
    );
    // Directories that list the same incarnation, an earlier one, or no worker.
    for listed in [vec![entry(address, 10)], vec![entry(address, 5)], vec![]] {
        pool.cancel_superseded_exchanges(&listed);
        let piece = timeout(Duration::from_millis(50), exchange.next_piece()).await;
        assert!(piece.is_err(), "the exchange must stay open: {piece:?}");
    }
    pool.cancel_superseded_exchanges(&[entry(address, 20)]);
    let piece = timeout(SHORT_TIMEOUT, exchange.next_piece()).await;
    assert_eq!(piece.expect("no time-out"), Err(BreakReason::Restarted));
}
