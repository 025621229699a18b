//! Exchanges with a worker that responds before it has read a long request.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use pinerill_calls::directory::{WorkerEntry, WorkerId};
use pinerill_forward::exchange::{ConnectionPool, Exchange, WorkerRequest};
use support::protocol::NamingProtocol;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Far above the time of an exchange on loopback.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// More than the buffers of a connection hold.
const LONG_BODY_BYTES: usize = 16 << 20;
const RESPONSE: &[u8] = b"HTTP/1.1 413 Too Long\r\nid: call\r\ncontent-length: 4\r\n\r\nlong";

/// Starts a worker that responds to the first bytes of each connection, and reports all bytes
/// that it reads on one when the connection ends.
async fn hasty_worker() -> (SocketAddr, mpsc::Receiver<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("an address");
    let (report, reports) = mpsc::channel(4);
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let report = report.clone();
            tokio::spawn(async move {
                let mut received = vec![0; 1_024];
                let length = stream.read(&mut received).await.expect("a request");
                received.truncate(length);
                stream.write_all(RESPONSE).await.expect("written");
                let _ = stream.read_to_end(&mut received).await;
                report.send(received).await.expect("the test runs");
            });
        }
    });
    (address, reports)
}

async fn ask(pool: &Arc<ConnectionPool>, worker: &Arc<WorkerEntry>, body: Bytes) -> Bytes {
    let request = WorkerRequest {
        method: Method::POST,
        uri: "/x?y=1".parse().expect("a path"),
        body,
        id: "call".to_owned(),
    };
    let headers = HeaderMap::new();
    let may_send = || Ok(());
    let begun = Exchange::begin(pool, &NamingProtocol, worker, &request, headers, may_send);
    let begun = timeout(EXCHANGE_TIMEOUT, begun).await.expect("no time-out");
    let Ok(started) = begun else {
        panic!("no response");
    };
    let read = started.exchange.read_whole(pool, RESPONSE.len());
    let read = timeout(EXCHANGE_TIMEOUT, read).await;
    read.expect("no time-out").expect("a whole response")
}

#[tokio::test]
async fn a_connection_that_still_owes_a_body_carries_no_other_request() {
    let (address, mut reports) = hasty_worker().await;
    let mut entry = support::entry(WorkerId::new("w", None));
    entry.address = address;
    let (pool, worker) = (Arc::new(ConnectionPool::default()), Arc::new(entry));
    let body = Bytes::from(vec![b'x'; LONG_BODY_BYTES]);
    assert_eq!(ask(&pool, &worker, body).await, "long");
    assert!(pool.is_empty());
    let received = reports.recv().await.expect("a connection ended");
    let head = format!("POST /x?y=1 HTTP/1.1\r\ncontent-length: {LONG_BODY_BYTES}\r\n\r\n");
    let (written_head, written_body) = received.split_at(head.len());
    assert_eq!(written_head, head.as_bytes());
    assert!(written_body.iter().all(|byte| *byte == b'x'));
    assert!(written_body.len() < LONG_BODY_BYTES);
    assert_eq!(ask(&pool, &worker, Bytes::new()).await, "long");
}
