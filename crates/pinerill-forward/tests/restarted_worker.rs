//! What is in flight at a worker that has started again ends at once, though its connection
//! stays silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, Method};
use pinerill_calls::directory::{WorkerEntry, WorkerId, WorkerState};
use pinerill_calls::job::Header;
use pinerill_calls::protocol::{
    AttemptContext, HealthAnswer, Verdict, WorkerAnswer, WorkerProtocol,
};
use pinerill_forward::exchange::{BreakReason, ConnectionPool, Exchange, WorkerRequest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

/// Far below any time-out of an exchange.
const AT_ONCE: Duration = Duration::from_millis(500);

struct Plain;

impl WorkerProtocol for Plain {
    fn call_headers(&self, caller: &HeaderMap, _: &AttemptContext<'_>) -> HeaderMap {
        caller.clone()
    }

    fn item_headers(&self, _: &str, _: &str, _: &[Header], _: &AttemptContext<'_>) -> HeaderMap {
        HeaderMap::new()
    }

    fn read_answer(&self, _: &Parts) -> WorkerAnswer {
        WorkerAnswer {
            id: None,
            verdict: Verdict::Accepted,
            load: None,
            closes_connection: false,
            has_content_encoding: false,
        }
    }

    fn read_health(&self, _: &Parts) -> HealthAnswer {
        HealthAnswer {
            healthy: true,
            worker: None,
            cold_left_ms: None,
        }
    }

    fn answer_headers(&self, worker: &HeaderMap) -> HeaderMap {
        worker.clone()
    }
}

fn entry(address: SocketAddr, birth_ms: u64) -> WorkerEntry {
    WorkerEntry {
        id: WorkerId::new("w", Some(birth_ms)),
        service: "svc".to_owned(),
        address,
        zone: "za".to_owned(),
        slots: 4,
        state: WorkerState::Ready,
        cold_left_ms: 0,
    }
}

/// A worker that says this much of an answer and then nothing.
async fn silent_worker(said: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 1_024];
        assert!(stream.read(&mut request).await.expect("a request") > 0);
        stream.write_all(said).await.expect("written");
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
    let begun = Exchange::begin(pool, &Plain, worker, &request, HeaderMap::new(), || Ok(())).await;
    match begun {
        Ok(sent) => Ok(sent.exchange),
        Err(failure) => {
            assert!(failure.sent, "it may have run");
            Err(failure.reason)
        }
    }
}

#[tokio::test]
async fn a_request_without_an_answer_ends_when_its_worker_has_started_again() {
    let address = silent_worker(b"").await;
    let pool = Arc::new(ConnectionPool::default());
    let (first, second) = (Arc::new(entry(address, 10)), entry(address, 20));
    let ended = tokio::spawn({
        let pool = pool.clone();
        async move { begin(&pool, &first).await.err() }
    });
    sleep(Duration::from_millis(100)).await;
    pool.cancel_superseded_exchanges(&[second]);
    let reason = timeout(AT_ONCE, ended)
        .await
        .expect("at once")
        .expect("it ran");
    assert_eq!(reason, Some(BreakReason::Restarted));
}

#[tokio::test]
async fn an_answer_midway_ends_when_its_worker_has_started_again_and_not_before() {
    let head = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf";
    let address = silent_worker(head).await;
    let pool = Arc::new(ConnectionPool::default());
    let first = Arc::new(entry(address, 10));
    let mut exchange = begin(&pool, &first).await.expect("a head");
    assert_eq!(
        exchange.next_piece().await,
        Ok(Some(Bytes::from_static(b"half")))
    );
    // The same start is listed, then an earlier one, then none.
    for listed in [vec![entry(address, 10)], vec![entry(address, 5)], vec![]] {
        pool.cancel_superseded_exchanges(&listed);
        let piece = timeout(Duration::from_millis(50), exchange.next_piece()).await;
        assert!(piece.is_err(), "it goes on: {piece:?}");
    }
    pool.cancel_superseded_exchanges(&[entry(address, 20)]);
    let piece = timeout(AT_ONCE, exchange.next_piece()).await;
    assert_eq!(piece.expect("at once"), Err(BreakReason::Restarted));
}
