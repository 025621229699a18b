//! Polls the load report and the cache events of each worker in the fleet's view
//! and applies them to the fleet.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use pinerill_types::{EngineId, WorkerName};
use serde::Deserialize;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::engine::WorkerEntry;
use super::fleet::Fleet;
use super::poll_pace::PollPace;
use super::report::WorkerReport;

/// Timeout of a request for a load report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time that the worker keeps a long poll for cache events open, in
/// milliseconds.
const EVENTS_WAIT_MS: u64 = 10_000;
/// Timeout of a request for cache events, longer than the long poll.
const EVENTS_TIMEOUT: Duration = Duration::from_millis(EVENTS_WAIT_MS + 2_000);
/// Pause between two polls for cache events, so that events of busy engines
/// arrive in groups.
const EVENTS_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a failed poll for cache events.
const EVENTS_FAILED_PAUSE: Duration = Duration::from_secs(2);

#[derive(Debug, Deserialize)]
struct CacheEvents {
    next: u64,
    events: Vec<CacheEvent>,
}

#[derive(Debug, Deserialize)]
struct CacheEvent {
    engine: u16,
    kind: CacheEventKind,
    prefix: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum CacheEventKind {
    Stored,
    Evicted,
}

/// Runs one polling task for each worker in the fleet's view.
pub struct WorkerPoller {
    fleet: Arc<Fleet>,
    pause: Duration,
    running: HashMap<WorkerName, (WorkerEntry, DropGuard)>,
}

impl WorkerPoller {
    /// Creates a poller without tasks. `pause` is the time between two rounds in
    /// which a worker's load report may be polled.
    pub fn new(fleet: Arc<Fleet>, pause: Duration) -> Self {
        Self {
            fleet,
            pause,
            running: HashMap::new(),
        }
    }

    /// Starts and stops polling tasks as the fleet's view changes. Never returns;
    /// dropping it stops all polling tasks.
    pub async fn run(mut self) {
        loop {
            self.sync_with_view();
            tokio::select! {
                () = self.fleet.members_changed.notified() => {}
                () = tokio::time::sleep(self.pause) => {}
            }
        }
    }

    fn sync_with_view(&mut self) {
        let view = self.fleet.view();
        self.running.retain(|name, (entry, _)| {
            let current = view.workers.get(name);
            current.is_some_and(|one| Arc::ptr_eq(&one.worker, &entry.worker))
        });
        for (name, entry) in &view.workers {
            if self.running.contains_key(name) {
                continue;
            }
            let guard = self.start(entry.clone());
            self.running.insert(name.clone(), (entry.clone(), guard));
        }
    }

    fn start(&self, entry: WorkerEntry) -> DropGuard {
        let stop = CancellationToken::new();
        let reports = poll_reports(self.fleet.clone(), entry.clone(), self.pause);
        let events = poll_events(self.fleet.clone(), entry);
        let stopped = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                ((), ()) = futures::future::join(reports, events) => {}
            }
        });
        stop.drop_guard()
    }
}

async fn poll_reports(fleet: Arc<Fleet>, entry: WorkerEntry, pause: Duration) {
    let mut pace = PollPace::default();
    let mut last = None;
    let mut answers = 0;
    loop {
        let answers_now = entry.worker.answers.load(Ordering::Relaxed);
        let in_use = answers_now != answers || is_in_use(&entry);
        answers = answers_now;
        if pace.is_due(in_use) {
            match fetch_report(&entry).await {
                Ok(report) => {
                    fleet.apply_report(&entry, &report);
                    pace.record_report(last.as_ref() != Some(&report));
                    last = Some(report);
                }
                Err(_) => {
                    fleet.connection_failed(&entry.worker);
                    pace.record_failure();
                }
            }
        }
        tokio::time::sleep(pause).await;
    }
}

/// Returns whether this node has online requests on the worker, or schedules
/// batch work that runs there and must yield to online requests of other nodes.
fn is_in_use(entry: &WorkerEntry) -> bool {
    let is_driven = entry.worker.is_driven();
    entry.engines.iter().any(|engine| {
        let has_batch = is_driven && engine.load.lock().batch_running() > 0;
        has_batch || engine.online.load(Ordering::Relaxed) > 0
    })
}

async fn fetch_report(entry: &WorkerEntry) -> reqwest::Result<WorkerReport> {
    let url = format!("http://{}/worker", entry.worker.address);
    let request = entry.worker.http.pooled.get(url).timeout(REPORT_TIMEOUT);
    request.send().await?.error_for_status()?.json().await
}

async fn poll_events(fleet: Arc<Fleet>, entry: WorkerEntry) {
    let mut after = 0;
    loop {
        match fetch_events(&entry, after).await {
            Ok(events) => {
                after = events.next;
                apply_cache_events(&fleet, &entry, &events.events);
                tokio::time::sleep(EVENTS_PAUSE).await;
            }
            Err(_) => {
                after = 0;
                tokio::time::sleep(EVENTS_FAILED_PAUSE).await;
            }
        }
    }
}

async fn fetch_events(entry: &WorkerEntry, after: u64) -> reqwest::Result<CacheEvents> {
    let address = entry.worker.address;
    let url =
        format!("http://{address}/worker/cache_events?after={after}&wait_ms={EVENTS_WAIT_MS}");
    let request = entry.worker.http.pooled.get(url).timeout(EVENTS_TIMEOUT);
    request.send().await?.error_for_status()?.json().await
}

fn apply_cache_events(fleet: &Fleet, entry: &WorkerEntry, events: &[CacheEvent]) {
    let mut hints = fleet.hints.lock();
    for event in events {
        let Ok(prefix) = u64::from_str_radix(&event.prefix, 16) else {
            continue;
        };
        let engine = EngineId {
            worker: entry.worker.name.clone(),
            engine: event.engine,
        };
        match event.kind {
            CacheEventKind::Stored => hints.stored(prefix, &engine),
            CacheEventKind::Evicted => hints.evicted(prefix, &engine),
        }
    }
}
