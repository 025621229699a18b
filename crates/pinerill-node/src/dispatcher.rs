//! Assigns engine slots to online requests. A request that finds no free slot waits in the
//! bounded queue of its service, and is rejected if it would wait too long.

mod engine_choice;
mod slot;

use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use pinerill_types::{EngineId, ServiceName, TenantName};
use tokio::sync::oneshot;

use self::engine_choice::{serves_required_version, EngineChoice};
pub use self::slot::{PendingPrefill, SlotGuard};
use crate::clock;
use crate::configuration::ServicePlan;
use crate::membership::{Fleet, FleetView, Served};
use crate::metrics::Metrics;
use crate::queue::{EnqueueOutcome, FairQueue, Ticket};

/// A request for an engine slot: the properties of an online request that determine its engine
/// and its position in the queue.
#[derive(Debug)]
pub struct SlotRequest {
    /// The service that the request is for.
    pub plan: Arc<ServicePlan>,
    /// The tenant whose share of the queue the request counts against.
    pub tenant: TenantName,
    /// Estimated length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's whole blocks, from [`block_hashes`](crate::routing::block_hashes).
    pub blocks: Arc<Vec<u64>>,
    /// Engines on which earlier attempts of the request failed. They are used only if no other
    /// engine can run it.
    pub excluded: Vec<EngineId>,
    /// The model and adapter version that produced the beginning of the response, which no
    /// other version can continue. None if there is no output yet.
    pub required_version: Option<Served>,
}

/// Reasons why a request gets no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotUnavailable {
    /// No engine can run the request, apart from those of workers that are leaving the fleet.
    NoBackend,
    /// The queue is full, another tenant's request displaced this one, or the wait would be or
    /// was longer than allowed. Contains the time after which to retry, in milliseconds.
    Overloaded(u64),
}

/// A queued request and the channel that its result is sent to.
struct Waiter {
    request: SlotRequest,
    reply: oneshot::Sender<Result<SlotGuard, SlotUnavailable>>,
}

/// The queue of one service. `waiters` has an entry for each ticket in `queue`.
#[derive(Default)]
struct ServiceQueue {
    queue: FairQueue,
    waiters: HashMap<Ticket, Waiter>,
}

/// Assigns engine slots to online requests and queues those that find none free.
pub struct Dispatcher {
    fleet: Arc<Fleet>,
    metrics: Arc<Metrics>,
    queues: Mutex<HashMap<ServiceName, ServiceQueue>>,
    next_ticket: AtomicU64,
}

impl Dispatcher {
    /// Creates a dispatcher with empty queues.
    pub fn new(fleet: Arc<Fleet>, metrics: Arc<Metrics>) -> Self {
        Self {
            fleet,
            metrics,
            queues: Mutex::default(),
            next_ticket: AtomicU64::new(0),
        }
    }

    /// Takes a slot of an engine, waiting in the queue of the service for at most `max_wait`.
    /// Dropping the future removes the request from the queue.
    ///
    /// # Errors
    /// Returns the reason if there is no slot for the request.
    pub async fn acquire(
        self: &Arc<Self>,
        request: SlotRequest,
        max_wait: Duration,
    ) -> Result<SlotGuard, SlotUnavailable> {
        let service = request.plan.name.clone();
        let tenant = request.tenant.clone();
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let receiver = match self.assign_or_enqueue(request, ticket, max_wait)? {
            Ok(slot) => return Ok(slot),
            Err(receiver) => receiver,
        };
        let wait_guard = WaitGuard {
            dispatcher: self,
            service,
            tenant,
            ticket,
        };
        let result = tokio::time::timeout(max_wait, receiver).await;
        drop(wait_guard);
        match result {
            Ok(Ok(result)) => result,
            _ => Err(SlotUnavailable::Overloaded(max_wait.as_millis() as u64)),
        }
    }

    /// Takes a free slot, or enqueues the request and returns the channel for its result. A
    /// request gets a slot at once only if the queue of its service is empty.
    #[allow(clippy::type_complexity)]
    fn assign_or_enqueue(
        self: &Arc<Self>,
        request: SlotRequest,
        ticket: Ticket,
        max_wait: Duration,
    ) -> Result<
        Result<SlotGuard, oneshot::Receiver<Result<SlotGuard, SlotUnavailable>>>,
        SlotUnavailable,
    > {
        let view = self.fleet.view();
        if !has_backend(&view, &request) {
            return Err(SlotUnavailable::NoBackend);
        }
        let mut queues = self.queues.lock();
        let service = queues.entry(request.plan.name.clone()).or_default();
        if service.queue.is_empty() {
            if let Some(choice) = self.choose_engine(&view, &request) {
                return Ok(Ok(self.take_slot(choice)));
            }
        }
        let limit = request.plan.settings.queue_limit as usize;
        let max_wait_ms = max_wait.as_millis() as u64;
        let enqueued = service
            .queue
            .enqueue(&request.tenant, ticket, limit, max_wait_ms);
        let displaced = match enqueued {
            EnqueueOutcome::Rejected(wait) => return Err(SlotUnavailable::Overloaded(wait)),
            EnqueueOutcome::Displaced(other) => service.waiters.remove(&other),
            EnqueueOutcome::Queued => None,
        };
        let (reply, receiver) = oneshot::channel();
        service.waiters.insert(ticket, Waiter { request, reply });
        drop(queues);
        self.metrics.queued.inc();
        self.fleet.online_arrived.notify_one();
        if let Some(waiter) = displaced {
            self.metrics.queued.dec();
            let _ = waiter
                .reply
                .send(Err(SlotUnavailable::Overloaded(max_wait_ms)));
        }
        Ok(Err(receiver))
    }

    /// Assigns free slots to queued requests, for each service in the order of its queue.
    pub fn assign_free_slots(self: &Arc<Self>) {
        let mut assigned = Vec::new();
        let mut queues = self.queues.lock();
        if queues.values().all(|service| service.queue.is_empty()) {
            return;
        }
        let view = self.fleet.view();
        for service in queues.values_mut() {
            while let Some((waiter, choice)) = self.next_assignment(service, &view) {
                assigned.push((waiter, self.take_slot(choice)));
            }
        }
        drop(queues);
        for (waiter, slot) in assigned {
            self.metrics.queued.dec();
            let _ = waiter.reply.send(Ok(slot));
        }
    }

    /// Removes the next request from the queue if an engine has a free slot for it.
    fn next_assignment(
        &self,
        service: &mut ServiceQueue,
        view: &FleetView,
    ) -> Option<(Waiter, EngineChoice)> {
        let ticket = service.queue.peek()?;
        let request = &service.waiters.get(&ticket)?.request;
        let choice = self.choose_engine(view, request)?;
        service.queue.pop(clock::now_ms());
        let waiter = service.waiters.remove(&ticket)?;
        Some((waiter, choice))
    }

    /// Assigns free slots whenever the engines or their load change. Never returns.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.fleet.changed.notified().await;
            self.assign_free_slots();
        }
    }

    /// Returns the names of the services that have queued requests.
    pub fn waiting_services(&self) -> BTreeSet<ServiceName> {
        let queues = self.queues.lock();
        let waiting = queues
            .iter()
            .filter(|(_, service)| !service.queue.is_empty());
        waiting.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the number of queued requests of all services.
    pub fn waiting(&self) -> usize {
        let queues = self.queues.lock();
        queues.values().map(|service| service.queue.len()).sum()
    }
}

/// Returns whether an engine of a worker that is not leaving can run the request.
fn has_backend(view: &FleetView, request: &SlotRequest) -> bool {
    let engines = view.services.get(&request.plan.name);
    engines.is_some_and(|engines| {
        let mut decode = engines.decode.iter();
        decode.any(|engine| !engine.worker.is_leaving() && serves_required_version(engine, request))
    })
}

/// Removes a request from its queue on drop, unless it has been dequeued before. This covers a
/// caller that disconnects or times out while waiting.
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
