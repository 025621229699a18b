//! Probes of workers at which runs broke off: whether a process still runs there.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pinerill_calls::directory::{WorkerEntry, WorkerId};
use pinerill_forward::exchange::{BreakReason, ConnectionPool, PROBE_TIME};
use support::raw_worker::worker;
use tokio::net::TcpListener;
use tokio::time::sleep;

fn worker_at(address: SocketAddr) -> Arc<WorkerEntry> {
    let mut entry = support::entry(WorkerId::new("w", None));
    entry.address = address;
    Arc::new(entry)
}

/// Its crash was not counted: the first connection was taken for proof that it runs.
#[tokio::test]
async fn a_process_that_closes_its_listening_socket_during_the_probe_has_ended() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let ending = worker_at(listener.local_addr().expect("an address"));
    tokio::spawn(async move {
        sleep(PROBE_TIME / 4).await;
        drop(listener);
    });
    let pool = Arc::new(ConnectionPool::default());
    assert_eq!(pool.probe(&ending).await.err(), Some(BreakReason::Refused));
}

#[tokio::test]
async fn a_process_that_keeps_the_connection_runs_and_the_connection_is_usable() {
    let running = worker(|stream| async move {
        sleep(Duration::from_secs(5)).await;
        drop(stream);
    })
    .await;
    let pool = Arc::new(ConnectionPool::default());
    let mut connection = pool.probe(&running).await.expect("a connection");
    assert!(connection.is_reusable());
}

/// Nothing is shown of a process that closes every connection: it may be at their limit.
#[tokio::test]
async fn a_process_that_closes_each_connection_is_neither_running_nor_ended() {
    let closing = worker(|stream| async move { drop(stream) }).await;
    let pool = Arc::new(ConnectionPool::default());
    let outcome = pool.probe(&closing).await;
    assert!(matches!(outcome.err(), Some(BreakReason::Connection(_))));
}

/// Still passes: a listening socket that outlives the connections by more than the probe.
#[tokio::test]
async fn a_listening_socket_that_stays_open_for_long_counts_as_a_process_that_runs() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let hanging = worker_at(listener.local_addr().expect("an address"));
    let pool = Arc::new(ConnectionPool::default());
    assert!(pool.probe(&hanging).await.is_ok());
}
