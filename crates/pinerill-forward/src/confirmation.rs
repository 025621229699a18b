//! Makes sure, right before something is sent to a worker, that the worker stays.
//!
//! Mostly the last reading of the platform list says so, or an answer of the worker's own. Where
//! both are too old ([`crate::fleet::Standing`]) the worker's health is checked first. One
//! that can't be asked, or doesn't say that it stays, gets nothing.

use std::collections::HashMap;
use std::sync::{Arc, Weak};
use std::time::Duration;

use http::Uri;
use parking_lot::Mutex;
use pinerill_calls::directory::{WorkerEntry, WorkerId};
use pinerill_calls::protocol::{NotRunReason, Verdict, WorkerAnswer};
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::timeout;

use crate::exchange::{check_health, BreakReason};
use crate::fleet::{SlowStartPermit, Standing};
use crate::node::Node;

/// Longest wait for a health check. It waits for a slot there like a request;
/// the request that shall follow has a slot that is believed to be free.
const HEALTH_CHECK_TIME: Duration = Duration::from_millis(500);

/// HealthChecks under way, so that of several requests for one worker the first asks for all.
#[derive(Default)]
pub(crate) struct HealthChecks {
    running: Mutex<HashMap<WorkerId, Weak<AsyncMutex<()>>>>,
}

impl HealthChecks {
    fn of(&self, worker: &WorkerId) -> Arc<AsyncMutex<()>> {
        let mut running = self.running.lock();
        if let Some(held) = running.get(worker).and_then(Weak::upgrade) {
            return held;
        }
        running.retain(|_, held| held.strong_count() > 0);
        let turn = Arc::new(AsyncMutex::new(()));
        running.insert(worker.clone(), Arc::downgrade(&turn));
        turn
    }
}

impl Node {
    /// Makes sure that a worker may be sent something new.
    ///
    /// # Errors
    /// Why it may not.
    pub(crate) async fn confirm(
        &self,
        worker: &Arc<WorkerEntry>,
        permit: Option<SlowStartPermit>,
    ) -> Result<(), BreakReason> {
        if self.standing(worker) != Standing::Unconfirmed {
            return self.may_send(worker, permit);
        }
        let turn = self.health_checks.of(&worker.id);
        let asked = timeout(HEALTH_CHECK_TIME, async {
            let _turn = turn.lock().await;
            match self.standing(worker) {
                Standing::Unconfirmed => self.check_health_of(worker).await,
                Standing::Confirmed | Standing::Leaving | Standing::Evacuated => Ok(()),
            }
        });
        let asked = asked.await;
        asked.unwrap_or(Err(BreakReason::Unconfirmed(
            "no answer to a health check in time",
        )))?;
        self.may_send(worker, permit)
    }

    /// Whether something new may be sent to a worker at this moment.
    ///
    /// # Errors
    /// Why not.
    pub(crate) fn may_send(
        &self,
        worker: &WorkerEntry,
        permit: Option<SlowStartPermit>,
    ) -> Result<(), BreakReason> {
        let is_permitted =
            self.with_fleet(|fleet, now_ms| fleet.is_permitted(now_ms, &worker.id, permit));
        match self.standing(worker) {
            Standing::Confirmed if !is_permitted => Err(BreakReason::Cold),
            Standing::Confirmed => Ok(()),
            Standing::Evacuated => Err(BreakReason::Evacuated),
            Standing::Unconfirmed => {
                Err(BreakReason::Unconfirmed("what is known of it is too old"))
            }
            Standing::Leaving => Err(BreakReason::Leaving),
        }
    }

    /// Takes in what the head of a worker's answer says of the worker. `asked_ms` is when the
    /// request was sent at the earliest.
    pub(crate) fn record_worker_answer(&self, asked_ms: u64, worker: &str, answer: &WorkerAnswer) {
        if let Some(load) = answer.load {
            self.take_load(worker, load);
        }
        let is_another = answer.verdict == Verdict::NotRun(NotRunReason::OtherWorker);
        // A worker that leaves closes its connections, though not only such a one does.
        if !answer.closes && !is_another {
            self.with_fleet(|fleet, _| fleet.confirm_worker(asked_ms, worker));
        }
    }

    fn standing(&self, worker: &WorkerEntry) -> Standing {
        self.with_fleet(|fleet, now_ms| fleet.standing(now_ms, &worker.id))
    }

    async fn check_health_of(&self, worker: &Arc<WorkerEntry>) -> Result<(), BreakReason> {
        let path = self.health_path(&worker.service);
        let path = path.ok_or(BreakReason::Unconfirmed("its service has no health path"))?;
        let asked_ms = self.now_ms();
        self.metrics.health_checks.inc();
        let asked = check_health(self.connections(), self.worker_protocol(), worker, &path).await;
        let healthy = asked.as_ref().is_ok_and(|answer| {
            let named = answer.worker.as_deref();
            answer.healthy && named == Some(worker.id.name())
        });
        log::info!(
            event = "health_checked", worker = worker.id.as_str(), healthy, answer:? = asked,
            directory_age_ms = self.directory_age_ms(), ms = self.now_ms() - asked_ms; ""
        );
        let answer = asked?;
        if let Some(cold_left_ms) = answer.cold_left_ms {
            self.with_fleet(|fleet, now_ms| fleet.take_cold(now_ms, &worker.id, cold_left_ms));
        }
        if !healthy {
            return Err(BreakReason::Unconfirmed("it is not healthy, or leaving"));
        }
        self.with_fleet(|fleet, _| fleet.confirm_worker(asked_ms, &worker.id));
        Ok(())
    }

    fn health_path(&self, service: &str) -> Option<Uri> {
        let index = self.table()?;
        let path = index.table().service(service)?.health_path.as_deref()?;
        path.parse().ok()
    }
}
