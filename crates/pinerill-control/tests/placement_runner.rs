//! The shell of placement: when it leaves engines alone.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use pinerill_control::placement::{run, Models, PlacementCounters, PlacementSource, PlacementTerm};
use pinerill_types::bundle::Model;
use pinerill_types::{WorkerName, ZoneName};
use pinerill_wire::message::{WorkerRecord, WorkerState};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// A leader with one worker.
struct Source {
    version: AtomicU64,
    worker: SocketAddr,
    engines: u16,
    models: Models,
    /// Rounds that asked for the bundle's version.
    asked: Notify,
}

#[async_trait]
impl PlacementSource for Source {
    async fn confirmed_term(&self) -> Option<PlacementTerm> {
        Some(PlacementTerm { term: 1 })
    }

    fn workers_revision(&self) -> u64 {
        0
    }

    fn bundle_version(&self) -> u64 {
        self.asked.notify_one();
        self.version.load(Ordering::Relaxed)
    }

    fn models(&self) -> Models {
        self.models.clone()
    }

    fn workers(&self) -> Vec<WorkerRecord> {
        vec![WorkerRecord {
            name: WorkerName::from("worker"),
            address: self.worker,
            zone: ZoneName::from("zone"),
            engines: self.engines,
            state: WorkerState::Live,
            leaving_incarnation: 0,
        }]
    }
}

#[tokio::test]
async fn engines_are_left_alone_until_the_first_signed_bundle() {
    let engine = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let source = Arc::new(Source {
        version: AtomicU64::new(0),
        worker: engine.local_addr().expect("bound"),
        engines: 1,
        models: Models::default(),
        asked: Notify::new(),
    });
    let stop = CancellationToken::new();
    let counters = Arc::new(PlacementCounters::default());
    let placing = tokio::spawn(run(source.clone(), 1, counters, stop.clone()));
    for _ in 0..3 {
        tokio::select! {
            () = source.asked.notified() => {}
            _ = engine.accept() => panic!("an engine was asked before any bundle was signed"),
        }
    }
    source.version.store(1, Ordering::Relaxed);
    let asked = tokio::time::timeout(Duration::from_secs(60), engine.accept()).await;
    asked
        .expect("asked once a bundle is signed")
        .expect("accepts");
    stop.cancel();
    placing.await.expect("no panic");
}

/// Orders that follow one another while an engine takes none in.
const ORDERS: usize = 4;
/// Time in which they come: a round each second, and no quiet rounds.
const ORDERS_TIME: Duration = Duration::from_secs(15);
/// Time by which the second engine answers later than the first.
const SECOND_ENGINE_DELAY: Duration = Duration::from_millis(100);

fn http(body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

fn state(engine: u16, models: &str) -> String {
    http(&format!(
        r#"{{"worker":"worker","engine":{engine},"incarnation":1,"role":"both","leaving":false,"models":[{models}]}}"#
    ))
}

/// Reads a request and returns its first line; none at the end of the connection.
async fn read_request(reader: &mut BufReader<tokio::net::tcp::OwnedReadHalf>) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).await.ok()? == 0 {
            return None;
        }
    }
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length = length.map_or(0, |text| text.parse().expect("a length"));
    reader.read_exact(&mut vec![0; length]).await.ok()?;
    head.lines().next().map(str::to_owned)
}

/// A worker whose first engine holds the model and whose second one never takes it in. The first
/// engine's state comes once more where the second one's is due on the same connection.
async fn serve_worker(stream: TcpStream, orders: Arc<AtomicU64>) -> Option<()> {
    let (read, mut write) = stream.into_split();
    let mut reader = BufReader::new(read);
    let first = state(0, r#"{"name":"fanar","version":"1","state":"ready"}"#);
    let mut carried_first = false;
    loop {
        let line = read_request(&mut reader).await?;
        let answer = if line.starts_with("POST /engines/1/") {
            orders.fetch_add(1, Ordering::Relaxed);
            http(r#"{"accepted":true}"#)
        } else if line.contains("/engines/0/") {
            carried_first = true;
            first.clone()
        } else {
            if std::mem::take(&mut carried_first) {
                write.write_all(first.as_bytes()).await.ok()?;
            }
            tokio::time::sleep(SECOND_ENGINE_DELAY).await;
            state(1, "")
        };
        write.write_all(answer.as_bytes()).await.ok()?;
    }
}

#[tokio::test]
async fn a_late_copy_of_another_engines_state_hides_no_missing_model() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let model: Model =
        serde_json::from_str(r#"{"version":"1","weights":"fanar/1"}"#).expect("a model");
    let source = Arc::new(Source {
        version: AtomicU64::new(1),
        worker: listener.local_addr().expect("bound"),
        engines: 2,
        models: [("fanar".into(), model)].into(),
        asked: Notify::new(),
    });
    let orders = Arc::new(AtomicU64::new(0));
    let counted = orders.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_worker(stream, counted.clone()));
        }
    });
    let stop = CancellationToken::new();
    let counters = Arc::new(PlacementCounters::default());
    let placing = tokio::spawn(run(source, 1, counters, stop.clone()));
    let ordered = tokio::time::timeout(ORDERS_TIME, async {
        while orders.load(Ordering::Relaxed) < ORDERS as u64 {
            tokio::time::sleep(SECOND_ENGINE_DELAY).await;
        }
    });
    let came = ordered.await.is_ok();
    assert!(came, "{} orders", orders.load(Ordering::Relaxed));
    stop.cancel();
    placing.await.expect("no panic");
}
