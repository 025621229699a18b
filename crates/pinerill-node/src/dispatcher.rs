//! Gives each online request a place at an engine, or lets it wait in the
//! bounded queue of its service.

mod choosing;
mod place;

use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use pinerill_types::{EngineId, ServiceName, TenantName};
use tokio::sync::oneshot;

use self::choosing::{can_go_on, Choice};
pub use self::place::{PendingPrefill, SlotGuard};
use crate::clock;
use crate::configuration::ServicePlan;
use crate::membership::{Fleet, FleetView, Served};
use crate::metrics::Metrics;
use crate::queue::{Enqueued, FairQueue, Ticket};

/// What a request needs of an engine.
#[derive(Debug)]
pub struct SlotRequest {
    /// Its service.
    pub plan: Arc<ServicePlan>,
    /// Whose request it is.
    pub tenant: TenantName,
    /// Length of its prompt, tokens.
    pub prompt_tokens: u32,
    /// Names of the prompt's whole blocks.
    pub blocks: Arc<Vec<u64>>,
    /// Engines that failed it before.
    pub excluded: Vec<EngineId>,
    /// The version that began its answer, which no other one can go on with.
    pub required_version: Option<Served>,
}

/// Why there is no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotUnavailable {
    /// No engine serves the service.
    NoBackend,
    /// The wait would be, or was, longer than the service allows; come back
    /// after so many milliseconds.
    Overloaded(u64),
}

struct Waiter {
    demand: SlotRequest,
    reply: oneshot::Sender<Result<SlotGuard, SlotUnavailable>>,
}

#[derive(Default)]
struct ServiceQueue {
    queue: FairQueue,
    waiters: HashMap<Ticket, Waiter>,
}

/// Places at engines and the queues before them.
pub struct Dispatcher {
    fleet: Arc<Fleet>,
    metrics: Arc<Metrics>,
    queues: Mutex<HashMap<ServiceName, ServiceQueue>>,
    next_ticket: AtomicU64,
}

impl Dispatcher {
    /// No request waits.
    pub fn new(fleet: Arc<Fleet>, metrics: Arc<Metrics>) -> Self {
        Self {
            fleet,
            metrics,
            queues: Mutex::default(),
            next_ticket: AtomicU64::new(0),
        }
    }

    /// A place now, or after a wait of at most `patience`.
    ///
    /// # Errors
    /// [`SlotUnavailable`].
    pub async fn acquire(
        self: &Arc<Self>,
        demand: SlotRequest,
        patience: Duration,
    ) -> Result<SlotGuard, SlotUnavailable> {
        let service = demand.plan.name.clone();
        let tenant = demand.tenant.clone();
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let receiver = match self.place_or_wait(demand, ticket, patience)? {
            Ok(place) => return Ok(place),
            Err(receiver) => receiver,
        };
        let waiting = WaitGuard {
            dispatcher: self,
            service,
            tenant,
            ticket,
        };
        let answer = tokio::time::timeout(patience, receiver).await;
        drop(waiting);
        match answer {
            Ok(Ok(answer)) => answer,
            _ => Err(SlotUnavailable::Overloaded(patience.as_millis() as u64)),
        }
    }

    #[allow(clippy::type_complexity)]
    fn place_or_wait(
        self: &Arc<Self>,
        demand: SlotRequest,
        ticket: Ticket,
        patience: Duration,
    ) -> Result<
        Result<SlotGuard, oneshot::Receiver<Result<SlotGuard, SlotUnavailable>>>,
        SlotUnavailable,
    > {
        let view = self.fleet.view();
        if !has_backend(&view, &demand) {
            return Err(SlotUnavailable::NoBackend);
        }
        let mut queues = self.queues.lock();
        let service = queues.entry(demand.plan.name.clone()).or_default();
        if service.queue.is_empty() {
            if let Some(choice) = self.choose_engine(&view, &demand) {
                return Ok(Ok(self.take_place(choice)));
            }
        }
        let limit = demand.plan.settings.queue_limit as usize;
        let patience_ms = patience.as_millis() as u64;
        let enqueued = service
            .queue
            .enqueue(&demand.tenant, ticket, limit, patience_ms);
        let displaced = match enqueued {
            Enqueued::Refused(wait) => return Err(SlotUnavailable::Overloaded(wait)),
            Enqueued::Displaced(other) => service.waiters.remove(&other),
            Enqueued::Waits => None,
        };
        let (reply, receiver) = oneshot::channel();
        service.waiters.insert(ticket, Waiter { demand, reply });
        drop(queues);
        self.metrics.queued.inc();
        self.fleet.online_arrived.notify_one();
        if let Some(waiter) = displaced {
            self.metrics.queued.dec();
            let _ = waiter
                .reply
                .send(Err(SlotUnavailable::Overloaded(patience_ms)));
        }
        Ok(Err(receiver))
    }

    /// Gives free places to requests that wait.
    pub fn pump(self: &Arc<Self>) {
        let mut placed = Vec::new();
        let mut queues = self.queues.lock();
        if queues.values().all(|service| service.queue.is_empty()) {
            return;
        }
        let view = self.fleet.view();
        for service in queues.values_mut() {
            while let Some((waiter, choice)) = self.next_placement(service, &view) {
                placed.push((waiter, self.take_place(choice)));
            }
        }
        drop(queues);
        for (waiter, place) in placed {
            self.metrics.queued.dec();
            let _ = waiter.reply.send(Ok(place));
        }
    }

    fn next_placement(
        &self,
        service: &mut ServiceQueue,
        view: &FleetView,
    ) -> Option<(Waiter, Choice)> {
        let ticket = service.queue.peek()?;
        let demand = &service.waiters.get(&ticket)?.demand;
        let choice = self.choose_engine(view, demand)?;
        service.queue.pop(clock::now_ms());
        let waiter = service.waiters.remove(&ticket)?;
        Some((waiter, choice))
    }

    /// Looks for free places whenever the fleet changes.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.fleet.changed.notified().await;
            self.pump();
        }
    }

    /// Services for which requests wait.
    pub fn waiting_services(&self) -> BTreeSet<ServiceName> {
        let queues = self.queues.lock();
        let waiting = queues
            .iter()
            .filter(|(_, service)| !service.queue.is_empty());
        waiting.map(|(name, _)| name.clone()).collect()
    }

    /// How many requests wait.
    pub fn waiting(&self) -> usize {
        let queues = self.queues.lock();
        queues.values().map(|service| service.queue.len()).sum()
    }
}

fn has_backend(view: &FleetView, demand: &SlotRequest) -> bool {
    let engines = view.services.get(&demand.plan.name);
    engines.is_some_and(|engines| {
        let mut decode = engines.decode.iter();
        decode.any(|engine| !engine.worker.is_leaving() && can_go_on(engine, demand))
    })
}

/// Takes a request out of the queue when it no longer waits.
struct WaitGuard<'a> {
    dispatcher: &'a Dispatcher,
    service: ServiceName,
    tenant: TenantName,
    ticket: Ticket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut queues = self.dispatcher.queues.lock();
        let Some(service) = queues.get_mut(&self.service) else {
            return;
        };
        if service.queue.remove(&self.tenant, self.ticket) {
            service.waiters.remove(&self.ticket);
            self.dispatcher.metrics.queued.dec();
        }
    }
}
