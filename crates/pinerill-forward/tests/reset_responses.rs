//! Exchanges with a worker that resets the connection within its response.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use pinerill_forward::exchange::{BreakReason, ConnectionPool};
use support::raw_worker::{ask, read_some, worker};
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

/// Time in which bytes on loopback arrive.
const ARRIVAL: Duration = Duration::from_millis(200);
/// More than the buffers of a connection hold.
const LONG_BODY_BYTES: usize = 16 << 20;

#[tokio::test]
async fn a_response_without_a_length_that_is_reset_while_the_request_is_written_is_not_whole() {
    let worker = worker(|mut stream| async move {
        read_some(&mut stream).await;
        let part = b"HTTP/1.1 200 OK\r\nid: call\r\nstamp: s\r\n\r\npart";
        stream.write_all(part).await.expect("written");
        sleep(ARRIVAL).await;
        // Unread bytes of the request make the close a reset.
        drop(stream);
    })
    .await;
    let pool = Arc::new(ConnectionPool::default());
    let body = Bytes::from(vec![b'x'; LONG_BODY_BYTES]);
    let answered = ask(&pool, &worker, Method::POST, "call", body).await;
    assert!(
        matches!(answered, Err(BreakReason::Connection(_))),
        "{answered:?}"
    );
}
