//! HTTP server on a raw socket that sends an answer once more, late: before the answer to the
//! next request on the same connection.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};

/// A received request.
#[derive(Debug)]
pub struct RawRequest {
    pub path: String,
    /// Value of `X-Request-Id`; empty if there is none.
    pub id: String,
    pub body: Vec<u8>,
}

/// An answer, and whether it comes once more before the next one that may be preceded.
pub struct RawAnswer {
    pub status: u16,
    pub body: String,
    /// Whether a copy of this answer comes later on its connection.
    pub repeated: bool,
    /// Whether the copy of an earlier answer comes before this one.
    pub preceded: bool,
}

type Handler = Arc<dyn Fn(&RawRequest) -> RawAnswer + Send + Sync>;

/// Starts the server, which stops with the test's runtime.
pub async fn start(
    handler: impl Fn(&RawRequest) -> RawAnswer + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let handler: Handler = Arc::new(handler);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, handler.clone()));
        }
    });
    address
}

async fn serve(stream: TcpStream, handler: Handler) {
    let (read, mut write) = stream.into_split();
    let mut reader = BufReader::new(read);
    let mut copy = String::new();
    while let Some(request) = read_request(&mut reader).await {
        let answer = handler(&request);
        if answer.preceded {
            let late = std::mem::take(&mut copy);
            if write.write_all(late.as_bytes()).await.is_err() {
                return;
            }
        }
        let (status, length) = (answer.status, answer.body.len());
        let head = format!("HTTP/1.1 {status} -\r\nContent-Length: {length}\r\n\r\n");
        let whole = head + &answer.body;
        if write.write_all(whole.as_bytes()).await.is_err() {
            return;
        }
        if answer.repeated {
            copy = whole;
        }
    }
}

/// Reads a request; none at the end of the connection.
async fn read_request(reader: &mut BufReader<OwnedReadHalf>) -> Option<RawRequest> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).await.ok()? == 0 {
            return None;
        }
    }
    let header = |name: &str| {
        head.lines().find_map(|line| {
            let (found, value) = line.split_once(": ")?;
            found.eq_ignore_ascii_case(name).then(|| value.to_owned())
        })
    };
    let length = header("content-length").map_or(0, |length| length.parse().expect("a length"));
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await.ok()?;
    Some(RawRequest {
        path: head.split_whitespace().nth(1)?.to_owned(),
        id: header("x-request-id").unwrap_or_default(),
        body,
    })
}
