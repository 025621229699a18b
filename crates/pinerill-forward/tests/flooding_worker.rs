//! Exchanges with a worker that sends faster than its bytes are read.

mod support;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use pinerill_calls::directory::WorkerId;
use pinerill_forward::exchange::ConnectionPool;
use support::raw_worker::ask;
use tokio::time::timeout;

/// Time after which the flood of a worker ends.
const FLOOD: Duration = Duration::from_secs(2);
/// Time that an exchange may take.
const LIMIT: Duration = Duration::from_millis(300);
/// Response to the first request on a connection.
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nid: a\r\nstamp: s\r\ncontent-length: 0\r\n\r\n";

/// Sends a request, with a timeout, on the connection of an earlier one to a worker that sends
/// these bytes over and over.
fn flood(unit: &'static [u8]) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
    let address = listener.local_addr().expect("an address");
    let flooding = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 1_024]);
        stream.write_all(RESPONSE).expect("written");
        let _ = stream.read(&mut [0; 1_024]);
        let block = unit.repeat(1 << 14);
        let began = Instant::now();
        while began.elapsed() < FLOOD && stream.write_all(&block).is_ok() {}
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let elapsed = runtime.block_on(async {
        let mut entry = support::entry(WorkerId::new("w", None));
        entry.address = address;
        let pool = Arc::new(ConnectionPool::default());
        let entry = Arc::new(entry);
        let first = ask(&pool, &entry, Method::GET, "a", Bytes::new()).await;
        assert_eq!(first, Ok(Bytes::new()));
        let began = Instant::now();
        let asked = ask(&pool, &entry, Method::GET, "b", Bytes::new());
        let _ = timeout(LIMIT, asked).await;
        began.elapsed()
    });
    flooding.join().expect("the flood ends");
    assert!(elapsed < 3 * LIMIT, "{elapsed:?}");
}

#[test]
fn a_flood_of_repetitions_does_not_outlast_the_timeout() {
    flood(RESPONSE);
}

#[test]
fn a_flood_of_interim_responses_does_not_outlast_the_timeout() {
    flood(b"HTTP/1.1 100 Continue\r\n\r\n");
}
