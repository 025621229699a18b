//! Confirms, right before something is sent to a worker, that the worker is not about to leave.
//!
//! Usually the last reading of the platform list or an answer of the worker itself confirms this.
//! If both are too old ([`crate::fleet::Eligibility`]), the worker's health is checked first. Nothing
//! is sent to a worker that does not answer the health check or does not report itself healthy.

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
use crate::fleet::{Eligibility, SlowStartPermit};
use crate::node::Node;

/// Timeout of a health check. The health check waits for a slot at the worker like a request; the
/// request that follows it goes to a slot that is estimated to be free.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Health checks in flight, by worker. Requests for the same worker share one check: the first one
/// runs it and the others wait for its result.
#[derive(Default)]
pub(crate) struct HealthChecks {
    in_flight: Mutex<HashMap<WorkerId, Weak<AsyncMutex<()>>>>,
}

impl HealthChecks {
    fn lock_for(&self, worker: &WorkerId) -> Arc<AsyncMutex<()>> {
        let mut in_flight = self.in_flight.lock();
        if let Some(lock) = in_flight.get(worker).and_then(Weak::upgrade) {
            return lock;
        }
        in_flight.retain(|_, lock| lock.strong_count() > 0);
        let lock = Arc::new(AsyncMutex::new(()));
        in_flight.insert(worker.clone(), Arc::downgrade(&lock));
        lock
    }
}

impl Node {
    /// Confirms that new requests may be sent to a worker, checking its health if the known state
    /// is too old.
    ///
    /// # Errors
    /// Returns the reason why nothing may be sent.
    pub(crate) async fn confirm(
        &self,
        worker: &Arc<WorkerEntry>,
        permit: Option<SlowStartPermit>,
    ) -> Result<(), BreakReason> {
        if self.standing(worker) != Eligibility::Unconfirmed {
            return self.may_send(worker, permit);
        }
        let lock = self.health_checks.lock_for(&worker.id);
        let asked = timeout(HEALTH_CHECK_TIMEOUT, async {
            let _guard = lock.lock().await;
            match self.standing(worker) {
                Eligibility::Unconfirmed => self.check_health_of(worker).await,
                Eligibility::Confirmed | Eligibility::Leaving | Eligibility::Evacuated => Ok(()),
            }
        });
        let asked = asked.await;
        asked.unwrap_or(Err(BreakReason::Unconfirmed(
            "no answer to a health check in time",
        )))?;
        self.may_send(worker, permit)
    }

    /// Returns `Ok` if a new request may be sent to a worker at this moment.
    ///
    /// # Errors
    /// Returns the reason why it may not.
    pub(crate) fn may_send(
        &self,
        worker: &WorkerEntry,
        permit: Option<SlowStartPermit>,
    ) -> Result<(), BreakReason> {
        let is_permitted =
            self.with_fleet(|fleet, now_ms| fleet.is_permitted(now_ms, &worker.id, permit));
        match self.standing(worker) {
            Eligibility::Confirmed if !is_permitted => Err(BreakReason::Cold),
            Eligibility::Confirmed => Ok(()),
            Eligibility::Evacuated => Err(BreakReason::Evacuated),
            Eligibility::Unconfirmed => {
                Err(BreakReason::Unconfirmed("what is known of it is too old"))
            }
            Eligibility::Leaving => Err(BreakReason::Leaving),
        }
    }

    /// Updates what is known of a worker from the head of its answer: its load, and whether it is
    /// still in service. `asked_ms` is the earliest time at which the request may have been sent.
    pub(crate) fn record_worker_answer(&self, asked_ms: u64, worker: &str, answer: &WorkerAnswer) {
        if let Some(load) = answer.load {
            self.record_load(worker, load);
        }
        let is_other_worker = answer.verdict == Verdict::NotRun(NotRunReason::OtherWorker);
        // A leaving worker closes its connections, but a worker may close one for other reasons
        // too.
        if !answer.closes_connection && !is_other_worker {
            self.with_fleet(|fleet, _| fleet.confirm_worker(asked_ms, worker));
        }
    }

    fn standing(&self, worker: &WorkerEntry) -> Eligibility {
        self.with_fleet(|fleet, now_ms| fleet.eligibility(now_ms, &worker.id))
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
            self.with_fleet(|fleet, now_ms| {
                fleet.extend_cold_period(now_ms, &worker.id, cold_left_ms)
            });
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
