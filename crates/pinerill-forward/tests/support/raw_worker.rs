//! Workers that are scripted byte by byte, and requests to them.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use pinerill_calls::directory::{WorkerEntry, WorkerId};
use pinerill_forward::exchange::{BreakReason, ConnectionPool, Exchange, WorkerRequest};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use super::protocol::NamingProtocol;

/// Far above the time of an exchange on loopback.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_BODY_BYTES: usize = 1 << 20;

/// Starts a worker that serves each connection with this function.
pub async fn worker<F: Future<Output = ()> + Send + 'static>(
    serve: impl Fn(TcpStream) -> F + Send + 'static,
) -> Arc<WorkerEntry> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            tokio::spawn(serve(stream));
        }
    });
    let mut entry = super::entry(WorkerId::new("w", None));
    entry.address = address;
    Arc::new(entry)
}

/// Sends a request and returns the body of its response.
pub async fn ask(
    pool: &Arc<ConnectionPool>,
    worker: &Arc<WorkerEntry>,
    method: Method,
    id: &str,
    body: Bytes,
) -> Result<Bytes, BreakReason> {
    let request = WorkerRequest {
        method,
        uri: "/x".parse().expect("a path"),
        body,
        id: id.to_owned(),
    };
    let headers = HeaderMap::new();
    let may_send = || Ok(());
    let begun = Exchange::begin(pool, &NamingProtocol, worker, &request, headers, may_send);
    let begun = timeout(EXCHANGE_TIMEOUT, begun).await;
    let started = begun.map_err(|_| BreakReason::Silent)?;
    let started = started.map_err(|failure| failure.reason)?;
    let read = started.exchange.read_whole(pool, MAX_BODY_BYTES);
    let read = timeout(EXCHANGE_TIMEOUT, read).await;
    read.map_err(|_| BreakReason::Silent)?
}

/// Reads some bytes of a request; returns their number, which is 0 at the end of the connection.
pub async fn read_some(stream: &mut TcpStream) -> usize {
    let mut bytes = [0; 1_024];
    stream.read(&mut bytes).await.unwrap_or(0)
}
