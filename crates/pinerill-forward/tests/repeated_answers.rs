//! Exchanges with a worker that repeats a response late, before the next one on its connection.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use pinerill_calls::directory::{WorkerEntry, WorkerId};
use pinerill_forward::exchange::{
    check_health, BreakReason, ConnectionPool, Exchange, StartedAnswer, WorkerRequest,
};
use support::protocol::NamingProtocol;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Far above the time of an exchange on loopback.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_BODY_BYTES: usize = 1 << 10;

/// Starts a worker that repeats each response right before the next one on its connection. The
/// first connection answers 500, the others 200; the body names connection and request.
async fn repeating_worker() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        for connection in 1.. {
            let (stream, _) = listener.accept().await.expect("a connection");
            tokio::spawn(serve(stream, connection));
        }
    });
    address
}

async fn serve(stream: TcpStream, connection: u32) {
    let (read, mut write) = stream.into_split();
    let mut lines = BufReader::new(read).lines();
    let mut last = String::new();
    while let Ok(Some(line)) = lines.next_line().await {
        let path = line.split(' ').nth(1).expect("a path").to_owned();
        while lines
            .next_line()
            .await
            .is_ok_and(|line| line != Some(String::new()))
        {}
        let response = response(&path, connection);
        let written = write
            .write_all(format!("{last}{response}").as_bytes())
            .await;
        if written.is_err() {
            return;
        }
        last = response;
    }
}

fn response(path: &str, connection: u32) -> String {
    let id = path.trim_start_matches('/');
    let named = match id {
        "health" => "instance: w\r\n".to_owned(),
        "unnamed" => "stamp: s\r\n".to_owned(),
        _ => format!("id: {id}\r\nstamp: s\r\n"),
    };
    let status = if connection == 1 {
        "500 Failed"
    } else {
        "200 OK"
    };
    let body = format!("{connection} {id}");
    format!(
        "HTTP/1.1 {status}\r\n{named}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

struct Scene {
    pool: Arc<ConnectionPool>,
    worker: Arc<WorkerEntry>,
}

impl Scene {
    async fn start() -> Self {
        let mut entry = support::entry(WorkerId::new("w", None));
        entry.address = repeating_worker().await;
        Scene {
            pool: Arc::new(ConnectionPool::default()),
            worker: Arc::new(entry),
        }
    }

    /// Sends a request and returns the body of its response.
    async fn ask(&self, id: &str) -> Result<Bytes, BreakReason> {
        let request = WorkerRequest {
            method: Method::GET,
            uri: format!("/{id}").parse().expect("a path"),
            body: Bytes::new(),
            id: id.to_owned(),
        };
        let headers = HeaderMap::new();
        let begun = Exchange::begin(
            &self.pool,
            &NamingProtocol,
            &self.worker,
            &request,
            headers,
            || Ok(()),
        );
        let begun = timeout(EXCHANGE_TIMEOUT, begun).await.expect("no time-out");
        let StartedAnswer { exchange, .. } = begun.map_err(|failure| failure.reason)?;
        let read = exchange.read_whole(&self.pool, MAX_BODY_BYTES);
        timeout(EXCHANGE_TIMEOUT, read).await.expect("no time-out")
    }

    async fn is_healthy(&self) -> Result<bool, BreakReason> {
        let path = Uri::from_static("/health");
        let checked = check_health(&self.pool, &NamingProtocol, &self.worker, &path);
        let checked = timeout(EXCHANGE_TIMEOUT, checked).await;
        Ok(checked.expect("no time-out")?.healthy)
    }
}

#[tokio::test]
async fn a_repeated_response_is_not_taken_for_that_to_a_second_attempt() {
    let scene = Scene::start().await;
    assert_eq!(scene.ask("a").await, Ok(Bytes::from("1 a")));
    assert_eq!(scene.ask("a").await, Ok(Bytes::from("2 a")));
    assert_eq!(scene.ask("a").await, Ok(Bytes::from("3 a")));
}

#[tokio::test]
async fn a_repeated_response_is_not_taken_for_a_health_answer_nor_the_other_way_round() {
    let scene = Scene::start().await;
    assert_eq!(scene.is_healthy().await, Ok(false));
    for id in ["a", "b", "c"] {
        let answered = scene.ask(id).await;
        let is_own = |body: &Bytes| body.ends_with(format!(" {id}").as_bytes());
        assert!(answered.as_ref().map_or(true, is_own), "{id}: {answered:?}");
        assert_eq!(scene.is_healthy().await, Ok(true), "{id}");
    }
}

#[tokio::test]
async fn the_own_response_behind_a_repeated_one_is_delivered() {
    let scene = Scene::start().await;
    assert_eq!(scene.ask("a").await, Ok(Bytes::from("1 a")));
    assert_eq!(scene.ask("b").await, Ok(Bytes::from("1 b")));
    assert_eq!(scene.ask("c").await, Ok(Bytes::from("2 c")));
    assert_eq!(scene.is_healthy().await, Ok(true));
    assert!(
        scene.pool.is_empty(),
        "a connection with repetitions is closed"
    );
}

#[tokio::test]
async fn a_response_without_an_id_is_delivered_and_ends_the_reuse() {
    let scene = Scene::start().await;
    assert_eq!(scene.ask("unnamed").await, Ok(Bytes::from("1 unnamed")));
    assert!(
        scene.pool.is_empty(),
        "a repetition could not be told apart"
    );
    assert_eq!(scene.ask("a").await, Ok(Bytes::from("2 a")));
}

#[tokio::test]
async fn many_attempts_of_a_request_keep_few_connections() {
    let scene = Scene::start().await;
    for attempt in 1..=50 {
        let own = Bytes::from(format!("{attempt} a"));
        assert_eq!(scene.ask("a").await, Ok(own));
        assert_eq!(scene.pool.len(), 1);
    }
}
