//! Connections to workers: opening them, and those that are idle.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use pinerill_calls::directory::{WorkerEntry, WorkerId};
use pinerill_process::clock::BootTime;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::connect_times::ConnectTimes;
use super::connection::{BreakReason, WorkerConnection};
use super::lives::Lives;

/// Idle connections kept to one worker.
const KEPT_PER_WORKER: usize = 64;
/// How long one is kept if the worker doesn't say.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// How long before the worker closes it a connection is given up.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);

struct Idle {
    connection: WorkerConnection,
    until: BootTime,
}

/// Connections that may carry another request, by worker; the one used last
/// is used first.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<WorkerId, Vec<Idle>>>,
    connect_times: Mutex<ConnectTimes>,
    pub(super) lives: Lives,
}

impl ConnectionPool {
    /// Connects to a worker, and waits for it no longer than connecting there usually
    /// takes. A connection that comes later is kept for the next request.
    ///
    /// # Errors
    /// [`BreakReason::Connect`] or [`BreakReason::Refused`].
    pub async fn open(
        self: &Arc<Self>,
        worker: &Arc<WorkerEntry>,
    ) -> Result<WorkerConnection, BreakReason> {
        let patience = self.connect_times.lock().patience(&worker.zone);
        let (hand_over, opened) = oneshot::channel();
        let (pool, worker) = (self.clone(), worker.clone());
        tokio::spawn(async move {
            let opened = pool.open_timed(&worker).await;
            if let Err(Ok(unclaimed)) = hand_over.send(opened) {
                pool.put(&worker.id, unclaimed, None);
            }
        });
        let in_time = timeout(patience, opened).await;
        match in_time {
            Ok(Ok(opened)) => opened,
            Ok(Err(_)) | Err(_) => Err(BreakReason::Connect(format!(
                "no answer in {} ms",
                patience.as_millis()
            ))),
        }
    }

    async fn open_timed(&self, worker: &WorkerEntry) -> Result<WorkerConnection, BreakReason> {
        let began = BootTime::now();
        let connection = WorkerConnection::open(worker.address).await?;
        let mut times = self.connect_times.lock();
        times.took(&worker.zone, began.elapsed());
        Ok(connection)
    }

    /// Takes a connection to a worker, if one is open.
    pub fn take(&self, worker: &str) -> Option<WorkerConnection> {
        let now = BootTime::now();
        loop {
            let idle = self.idle.lock().get_mut(worker)?.pop()?;
            let mut connection = idle.connection;
            if idle.until > now && connection.is_reusable() {
                return Some(connection);
            }
        }
    }

    /// Keeps a connection for the next request, if it may carry one.
    /// `keep_alive` is the worker's own time for idle connections.
    pub fn put(
        &self,
        worker: &WorkerId,
        mut connection: WorkerConnection,
        keep_alive: Option<Duration>,
    ) {
        if !connection.is_reusable() {
            return;
        }
        let time = keep_alive.map_or(IDLE_TIME, |told| told.saturating_sub(IDLE_MARGIN));
        let until = BootTime::now() + time.min(IDLE_TIME);
        let mut idle = self.idle.lock();
        let kept = idle.entry(worker.clone()).or_default();
        if kept.len() < KEPT_PER_WORKER {
            kept.push(Idle { connection, until });
        }
    }

    /// Idle connections to all workers.
    pub fn len(&self) -> usize {
        self.idle.lock().values().map(Vec::len).sum()
    }

    /// Whether no connection is idle.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Closes what has been idle for too long.
    pub fn sweep(&self) {
        let now = BootTime::now();
        let mut idle = self.idle.lock();
        for kept in idle.values_mut() {
            kept.retain_mut(|one| one.until > now && one.connection.is_reusable());
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    /// Ends exchanges with starts of workers of which a later one is listed.
    pub fn cancel_superseded_exchanges(&self, listed: &[WorkerEntry]) {
        self.lives.end_earlier(listed);
    }

    /// Closes all connections to a worker that is gone.
    pub fn forget(&self, worker: &str) {
        self.idle.lock().remove(worker);
    }
}
