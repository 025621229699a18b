//! Callers' connections.
//!
//! hyper is used directly: rocket tells a handler neither that its caller has
//! gone nor lets connections rest for as long as the route table allows. A
//! caller who goes drops the future that serves it, and with it the connection
//! to the worker.

use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::header::CONNECTION;
use http::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use pinerill_calls::table::RequestLimits;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::request;
use crate::node::Node;

/// Unacknowledged bytes, and a caller who takes none, end a connection after this time. One who
/// reads slowly takes some each few seconds; a call's own deadline ends its answer before.
const SILENCE_LIMIT: Duration = Duration::from_secs(30);
/// Time at a stop in which connections end with their next answer, before those
/// that rest are closed: callers hear of it before they send.
const CLOSING_LEAD: Duration = Duration::from_millis(2_500);
/// Bytes that the system holds for a caller who reads slowly; by itself it would grow to some
/// megabytes.
const SEND_BUFFER_BYTES: usize = 32 << 10;
/// Bytes that a connection holds for a caller who reads slowly. What is beyond stays with the
/// worker, whose answer is then not read any further.
const HELD_BYTES: usize = 32 << 10;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Serves callers until the node stops; then lets what is in flight end,
/// for `grace` at most.
pub(crate) async fn serve(node: Arc<Node>, listener: TcpListener, grace: Duration) {
    let mut connections = JoinSet::new();
    let stopping = node.stopping.clone();
    loop {
        let accepted = tokio::select! {
            () = stopping.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        while connections.try_join_next().is_some() {}
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(serve_connection(node.clone(), stream));
            }
            Err(error) => {
                log::warn!(event = "accept_failed", error:%; "");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    let ending = async {
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        connections.spawn(serve_connection(node.clone(), stream));
                    }
                }
                ended = connections.join_next() => {
                    if ended.is_none() {
                        break;
                    }
                }
            }
        }
    };
    if tokio::time::timeout(grace, ending).await.is_err() {
        log::warn!(event = "connections_cut"; "");
    }
}

async fn serve_connection(node: Arc<Node>, stream: TcpStream) {
    if set_options(&stream).is_err() {
        return;
    }
    // While the node stops, a new connection carries one request.
    let keep_alive = !node.stopping.is_cancelled();
    let limits = node
        .table()
        .map_or_else(RequestLimits::default, |index| index.table().limits);
    let resting = Duration::from_millis(limits.idle_timeout_ms.max(limits.header_timeout_ms));
    let stopping = node.stopping.clone();
    let service = service_fn(move |received| {
        let node = node.clone();
        async move {
            let stopping = node.stopping.clone();
            let mut answer = request::serve(node, received).await;
            if stopping.is_cancelled() {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(keep_alive)
        .header_read_timeout(resting)
        .max_buf_size(HELD_BYTES.max(limits.max_header_bytes as usize * 2))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let lead = async {
        stopping.cancelled().await;
        sleep(CLOSING_LEAD).await;
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = lead => None,
    };
    if ended.is_none() {
        connection.as_mut().graceful_shutdown();
        // A caller that goes away is no error of this node.
        let _ = connection.await;
    }
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.set_tcp_user_timeout(Some(SILENCE_LIMIT))
}
