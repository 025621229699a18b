//! Where repeated responses end on a connection, and the request's own begins.

mod support;

use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use pinerill_forward::exchange::ConnectionPool;
use support::raw_worker::{ask, read_some, worker};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[tokio::test]
async fn a_named_response_is_found_behind_several_repetitions() {
    let worker = worker(|mut stream| async move {
        let first = "HTTP/1.1 200 OK\r\nid: a\r\nstamp: s\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n";
        let repetitions = [
            "HTTP/1.1 200 OK\r\nid: a\r\nstamp: s\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\nt: 1\r\n\r\n",
            "HTTP/1.1 503 Full\r\nid: a\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nid: a\r\nstamp: s\r\ncontent-length: 1\r\n\r\na",
        ];
        let own = "HTTP/1.1 200 OK\r\nid: b\r\nstamp: s\r\n\r\nb";
        read_some(&mut stream).await;
        let written = stream.write_all(first.as_bytes()).await;
        written.expect("written");
        if read_some(&mut stream).await > 0 {
            for byte in [&repetitions.concat(), own].concat().bytes() {
                stream.write_all(&[byte]).await.expect("written");
            }
        }
    })
    .await;
    let pool = Arc::new(ConnectionPool::default());
    let first = ask(&pool, &worker, Method::POST, "a", Bytes::new()).await;
    assert_eq!(first, Ok(Bytes::from("a")));
    let own = ask(&pool, &worker, Method::POST, "b", Bytes::new()).await;
    assert_eq!(own, Ok(Bytes::from("b")));
    assert!(pool.is_empty());
}

#[tokio::test]
async fn a_repetition_that_is_cut_off_makes_no_response() {
    let worker = worker(|mut stream| async move {
        let first = b"HTTP/1.1 200 OK\r\nid: a\r\nstamp: s\r\ncontent-length: 9\r\n\r\naaaaaaaaa";
        let own = b"HTTP/1.1 200 OK\r\nid: b\r\nstamp: s\r\ncontent-length: 1\r\n\r\nb";
        read_some(&mut stream).await;
        stream.write_all(first).await.expect("written");
        if read_some(&mut stream).await > 0 {
            let both = [&first[..first.len() - 3], own].concat();
            stream.write_all(&both).await.expect("written");
            read_some(&mut stream).await;
        }
    })
    .await;
    let pool = Arc::new(ConnectionPool::default());
    let first = ask(&pool, &worker, Method::POST, "a", Bytes::new()).await;
    assert_eq!(first, Ok(Bytes::from("aaaaaaaaa")));
    let own = ask(&pool, &worker, Method::POST, "b", Bytes::new()).await;
    assert!(own.is_err(), "{own:?}");
    assert!(pool.is_empty());
}

/// Serves a connection: repeats each response before the next one. Responses to HEAD and GET
/// have the ids `head` and `get`.
async fn repeat_to_head_and_get(mut stream: TcpStream) {
    let mut last = "";
    let mut request = [0; 1_024];
    while stream.read(&mut request).await.is_ok_and(|read| read > 0) {
        let response = match request.starts_with(b"HEAD ") {
            true => "HTTP/1.1 200 OK\r\nid: head\r\nstamp: s\r\ncontent-length: 9\r\n\r\n",
            false => "HTTP/1.1 200 OK\r\nid: get\r\nstamp: s\r\ncontent-length: 3\r\n\r\ngot",
        };
        let both = [last, response].concat();
        stream.write_all(both.as_bytes()).await.expect("written");
        last = response;
    }
}

#[tokio::test]
async fn a_repeated_response_to_head_does_not_swallow_the_own_response_behind_it() {
    let worker = worker(repeat_to_head_and_get).await;
    let pool = Arc::new(ConnectionPool::default());
    let first = ask(&pool, &worker, Method::HEAD, "head", Bytes::new()).await;
    assert_eq!(first, Ok(Bytes::new()));
    let own = ask(&pool, &worker, Method::GET, "get", Bytes::new()).await;
    assert_eq!(own, Ok(Bytes::from("got")));
}

#[tokio::test]
async fn the_body_of_a_repeated_response_is_not_read_as_the_response_to_head() {
    let worker = worker(repeat_to_head_and_get).await;
    let pool = Arc::new(ConnectionPool::default());
    let first = ask(&pool, &worker, Method::GET, "get", Bytes::new()).await;
    assert_eq!(first, Ok(Bytes::from("got")));
    let own = ask(&pool, &worker, Method::HEAD, "head", Bytes::new()).await;
    assert_eq!(own, Ok(Bytes::new()));
}
