//! Pool of connections to workers.
//!
//! Opens connections with a timeout that follows recent connect times in the worker's zone, and
//! keeps idle ones for later requests.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use pinerill_calls::directory::{WorkerEntry, WorkerId};
use pinerill_process::clock::BootTime;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::answer_memory::AnswerMemory;
use super::break_reason::BreakReason;
use super::connect_times::ConnectTimes;
use super::connection::WorkerConnection;
use super::incarnations::IncarnationTokens;

/// Maximum number of idle connections kept per worker.
const MAX_IDLE_PER_WORKER: usize = 64;
/// Longest time that an idle connection is kept, even if the worker advertises more.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// Subtracted from the keep-alive time that a worker advertises, so that this side closes an
/// idle connection before the worker does.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// Time for which a connection must stay open to show that the worker's process runs.
pub const PROBE_TIME: Duration = Duration::from_millis(100);
/// Pause after a connection that ended, in which the process may close its listening socket.
const PROBE_PAUSE: Duration = Duration::from_millis(30);
/// Maximum number of connections that one probe opens.
const MAX_PROBE_CONNECTIONS: usize = 3;

struct IdleConnection {
    connection: WorkerConnection,
    expires_at: BootTime,
}

/// Idle connections by worker, reused in last-in, first-out order.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<WorkerId, Vec<IdleConnection>>>,
    connect_times: Mutex<ConnectTimes>,
    repetitions: Arc<AtomicU64>,
    pub(super) incarnations: IncarnationTokens,
    /// Memory of the responses that are read whole.
    pub(super) answer_memory: AnswerMemory,
}

impl ConnectionPool {
    /// Connects to a worker, waiting at most the connect timeout of the worker's zone. A
    /// connection that is established after the timeout goes to the pool for a later request.
    ///
    /// # Errors
    /// Returns [`BreakReason::Refused`] if the worker's machine refuses the connection, and
    /// [`BreakReason::Connect`] after the timeout or any other failure.
    pub async fn open(
        self: &Arc<Self>,
        worker: &Arc<WorkerEntry>,
    ) -> Result<WorkerConnection, BreakReason> {
        let limit = self.connect_times.lock().connect_timeout(&worker.zone);
        let (sender, opened) = oneshot::channel();
        let (pool, worker) = (self.clone(), worker.clone());
        tokio::spawn(async move {
            let opened = pool.open_timed(&worker).await;
            if let Err(Ok(unclaimed)) = sender.send(opened) {
                pool.put(&worker.id, unclaimed, None);
            }
        });
        let outcome = timeout(limit, opened).await;
        match outcome {
            Ok(Ok(opened)) => opened,
            Ok(Err(_)) | Err(_) => Err(BreakReason::Connect(format!(
                "no connection within {} ms",
                limit.as_millis()
            ))),
        }
    }

    /// Connects to a worker to learn whether its process runs. While a process ends, its listening
    /// socket may outlive its connections; the kernel then accepts new connections and resets them
    /// when that socket closes. So a connection that ends within [`PROBE_TIME`], or fails without being
    /// refused, shows nothing, and another one is opened.
    ///
    /// # Errors
    /// Returns [`BreakReason::Refused`] if the process has ended, and the last reason of
    /// [`ConnectionPool::open`] or [`BreakReason::Connection`] if no connection stayed open.
    pub async fn probe(
        self: &Arc<Self>,
        worker: &Arc<WorkerEntry>,
    ) -> Result<WorkerConnection, BreakReason> {
        let mut failure = BreakReason::Connection("no connection stayed open".to_owned());
        for _ in 0..MAX_PROBE_CONNECTIONS {
            match self.open(worker).await {
                Ok(connection) if connection.stays_silent(PROBE_TIME).await => {
                    return Ok(connection)
                }
                Ok(_) => {}
                Err(BreakReason::Refused) => return Err(BreakReason::Refused),
                Err(reason) => failure = reason,
            }
            sleep(PROBE_PAUSE).await;
        }
        Err(failure)
    }

    async fn open_timed(&self, worker: &WorkerEntry) -> Result<WorkerConnection, BreakReason> {
        let began = BootTime::now();
        let connection = WorkerConnection::open(worker.address, self.repetitions.clone()).await?;
        let mut times = self.connect_times.lock();
        times.record(&worker.zone, began.elapsed());
        Ok(connection)
    }

    /// Takes an idle connection to a worker that may carry a request with this id, or a health
    /// check for `None`; returns `None` if there is none. Expired and closed connections that it
    /// comes across are dropped. If idle connections are left that may not carry it, the oldest is
    /// closed: the caller opens another one, and many attempts of one request must not use up the
    /// connections that the worker accepts.
    pub fn take(&self, worker: &str, request: Option<&str>) -> Option<WorkerConnection> {
        let now = BootTime::now();
        loop {
            let idle = {
                let mut by_worker = self.idle.lock();
                let kept = by_worker.get_mut(worker)?;
                let may_carry = |idle: &IdleConnection| idle.connection.may_carry(request);
                match kept.iter().rposition(may_carry) {
                    Some(last) => kept.remove(last),
                    None if kept.is_empty() => return None,
                    None => {
                        kept.remove(0);
                        return None;
                    }
                }
            };
            let mut connection = idle.connection;
            if idle.expires_at > now && connection.is_reusable() {
                return Some(connection);
            }
        }
    }

    /// Keeps a connection for a later request; drops it if it can't carry one or the worker has
    /// enough idle connections. `keep_alive` is the idle time that the worker advertises.
    pub fn put(
        &self,
        worker: &WorkerId,
        mut connection: WorkerConnection,
        keep_alive: Option<Duration>,
    ) {
        if !connection.is_reusable() {
            return;
        }
        let time = keep_alive.map_or(MAX_IDLE_TIME, |time| time.saturating_sub(IDLE_MARGIN));
        let expires_at = BootTime::now() + time.min(MAX_IDLE_TIME);
        let mut idle = self.idle.lock();
        let kept = idle.entry(worker.clone()).or_default();
        if kept.len() < MAX_IDLE_PER_WORKER {
            kept.push(IdleConnection {
                connection,
                expires_at,
            });
        }
    }

    /// Returns the number of idle connections to all workers.
    pub fn len(&self) -> usize {
        self.idle.lock().values().map(Vec::len).sum()
    }

    /// Returns whether the pool holds no idle connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many responses were skipped because they repeated earlier ones.
    pub fn repetitions(&self) -> u64 {
        self.repetitions.load(Ordering::Relaxed)
    }

    /// Closes expired idle connections and those that the worker has closed.
    pub fn sweep(&self) {
        let now = BootTime::now();
        let mut idle = self.idle.lock();
        for kept in idle.values_mut() {
            kept.retain_mut(|one| one.expires_at > now && one.connection.is_reusable());
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    /// Ends exchanges with worker incarnations for which `listed` holds a later incarnation; they
    /// fail with [`BreakReason::Restarted`].
    pub fn cancel_superseded_exchanges(&self, listed: &[WorkerEntry]) {
        self.incarnations.cancel_superseded(listed);
    }

    /// Closes all idle connections to a worker that has left the directory.
    pub fn forget(&self, worker: &str) {
        self.idle.lock().remove(worker);
    }
}
