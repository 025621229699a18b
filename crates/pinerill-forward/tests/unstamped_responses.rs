//! Which responses without the worker's marks count as the response to a request.

mod support;

use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use pinerill_forward::exchange::{BreakReason, ConnectionPool};
use support::raw_worker::{ask, read_some, worker};
use tokio::io::AsyncWriteExt;

const SOUND: &str = "HTTP/1.1 200 OK\r\nid: first\r\nstamp: s\r\ncontent-length: 0\r\n\r\n";

/// Asks a worker that sends these bytes and closes; on a connection with a sound response before
/// them if `is_reused`.
async fn answered(response: &'static str, is_reused: bool) -> Result<Bytes, BreakReason> {
    let worker = worker(move |mut stream| async move {
        if is_reused {
            read_some(&mut stream).await;
            let written = stream.write_all(SOUND.as_bytes()).await;
            written.expect("written");
        }
        if read_some(&mut stream).await > 0 {
            let written = stream.write_all(response.as_bytes()).await;
            written.expect("written");
        }
    })
    .await;
    let pool = Arc::new(ConnectionPool::default());
    if is_reused {
        let first = ask(&pool, &worker, Method::POST, "first", Bytes::new()).await;
        assert_eq!(first, Ok(Bytes::new()));
    }
    ask(&pool, &worker, Method::POST, "call", Bytes::new()).await
}

/// Bytes that begin like a success were taken for the worker's answer on a new connection.
#[tokio::test]
async fn a_success_without_a_stamp_is_no_response() {
    let responses = [
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nid: call\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nid: call\r\ncontent-length: 4\r\n\r\nbody",
        "HTTP/1.1 204 No Content\r\nid: call\r\n\r\n",
    ];
    for response in responses {
        for is_reused in [false, true] {
            let answer = answered(response, is_reused).await;
            let is_refused = matches!(
                answer,
                Err(BreakReason::Unstamped | BreakReason::OtherRequest)
            );
            assert!(is_refused, "{response:?} {is_reused}: {answer:?}");
        }
    }
}

/// What a worker may leave out: the id of a stamped response.
#[tokio::test]
async fn a_stamped_response_without_an_id_still_counts() {
    let response = "HTTP/1.1 200 OK\r\nstamp: s\r\ncontent-length: 4\r\n\r\nbody";
    for is_reused in [false, true] {
        let answer = answered(response, is_reused).await;
        assert_eq!(answer, Ok(Bytes::from("body")));
    }
}
