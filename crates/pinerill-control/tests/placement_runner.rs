//! The shell of placement: when it leaves engines alone.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use pinerill_control::placement::{run, Models, PlacementCounters, PlacementSource, PlacementTerm};
use pinerill_types::{WorkerName, ZoneName};
use pinerill_wire::message::{WorkerRecord, WorkerState};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// A leader with one worker and a bundle without models.
struct Source {
    version: AtomicU64,
    worker: SocketAddr,
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
        Models::default()
    }

    fn workers(&self) -> Vec<WorkerRecord> {
        vec![WorkerRecord {
            name: WorkerName::from("worker"),
            address: self.worker,
            zone: ZoneName::from("zone"),
            engines: 1,
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
