//! Accepts and serves callers' connections.
//!
//! The server uses hyper directly, because rocket neither informs a handler that its caller has
//! disconnected nor lets connections stay idle for as long as the route table allows. When a
//! caller disconnects, the future that serves it is dropped, and with it the connection to the
//! worker.

use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

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

/// TCP user timeout: a connection ends if sent bytes stay unacknowledged, or the caller accepts
/// none, for this time. A caller that reads slowly still accepts some bytes every few seconds,
/// and the deadline of a call ends its response earlier.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after the node begins to stop during which a connection is closed only together with its
/// next response. Idle connections are closed after it, so that callers learn of the stop before they
/// send on a connection that is being closed.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2_500);
/// Pause before something that rests is closed. It must pass on time: then the process was not
/// paused, and has read what came before.
const READ_PAUSE: Duration = Duration::from_millis(20);
/// Socket send buffer for a caller that reads slowly. By default the kernel grows it to several
/// megabytes.
const SEND_BUFFER_BYTES: usize = 32 << 10;
/// Bytes that a connection buffers for a caller that reads slowly. When the buffer is full, the
/// worker's response is not read any further, so backpressure reaches the worker.
const CONNECTION_BUFFER_BYTES: usize = 32 << 10;
/// Delay before the next connection is accepted after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Serves callers until the node stops. Then drains the requests in flight, while new connections
/// are still accepted for one request each. If it is dropped before, the connections are closed.
pub(crate) async fn serve(node: Arc<Node>, listener: TcpListener) {
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
            Err(error) => report_failed_accept(&error).await,
        }
    }
    drain(&node, &listener, &mut connections).await;
}

/// Accepts connections until none is left.
async fn drain(node: &Arc<Node>, listener: &TcpListener, connections: &mut JoinSet<()>) {
    loop {
        let all_ended = async {
            while connections.join_next().await.is_some() {}
            pause_on_time().await;
        };
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = all_ended => return,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(serve_connection(node.clone(), stream));
            }
            Err(error) => report_failed_accept(&error).await,
        }
    }
}

async fn report_failed_accept(error: &io::Error) {
    log::warn!(event = "accept_failed", error:%; "");
    sleep(ACCEPT_RETRY_DELAY).await;
}

/// Waits until a pause has passed on time. After a pause of the process, for example a suspension
/// of the machine, timers fire before it is known what has arrived meanwhile.
async fn pause_on_time() {
    loop {
        let began = Instant::now();
        sleep(READ_PAUSE).await;
        if began.elapsed() < 2 * READ_PAUSE {
            return;
        }
    }
}

async fn serve_connection(node: Arc<Node>, stream: TcpStream) {
    if set_options(&stream).is_err() {
        return;
    }
    // While the node stops, a new connection carries only one request.
    let keep_alive = !node.stopping.is_cancelled();
    let limits = node
        .table()
        .map_or_else(RequestLimits::default, |index| index.table().limits);
    let idle_timeout = Duration::from_millis(limits.idle_timeout_ms.max(limits.header_timeout_ms));
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
        .header_read_timeout(idle_timeout)
        .max_buf_size(CONNECTION_BUFFER_BYTES.max(limits.max_header_bytes as usize * 2))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let idle_close = async {
        stopping.cancelled().await;
        sleep(IDLE_CLOSE_DELAY).await;
        pause_on_time().await;
    };
    let ended = tokio::select! {
        biased;
        ended = connection.as_mut() => Some(ended),
        () = idle_close => None,
    };
    if ended.is_none() {
        connection.as_mut().graceful_shutdown();
        // A caller that disconnects is not an error of this node.
        let _ = connection.await;
    }
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
