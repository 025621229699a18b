//! Idle connections to workers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use pinerill_calls::directory::WorkerId;

use super::connection::WorkerConnection;

/// Idle connections kept to one worker.
const KEPT_PER_WORKER: usize = 64;
/// How long one is kept if the worker doesn't say.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// How long before the worker closes it a connection is given up.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);

struct Idle {
    connection: WorkerConnection,
    until: Instant,
}

/// Connections that may carry another request, by worker; the one used last
/// is used first.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<WorkerId, Vec<Idle>>>,
}

impl ConnectionPool {
    /// Takes a connection to a worker, if one is open.
    pub fn take(&self, worker: &str) -> Option<WorkerConnection> {
        let now = Instant::now();
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
        let until = Instant::now() + time.min(IDLE_TIME);
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
        let now = Instant::now();
        let mut idle = self.idle.lock();
        for kept in idle.values_mut() {
            kept.retain_mut(|one| one.until > now && one.connection.is_reusable());
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    /// Closes all connections to a worker that is gone.
    pub fn forget(&self, worker: &str) {
        self.idle.lock().remove(worker);
    }
}
