//! The calls that wait at this node, with what is needed to give them a slot.

use std::collections::HashMap;

use pinerill_calls::directory::WorkerId;
use pinerill_calls::table::AllowedRegions;
use tokio::sync::oneshot;

use super::admission::StartRate;
use super::queue::{first_of_each, Queued, Ticket, WaitingCall, WaitingQueue};
use super::report::TenantKey;
use super::sharing::OwnClaim;
use super::{runs_once, Dispatcher, Placed, Unplaced, WantedWorker, MAX_SCANNED_CALLS};
use crate::call::Call;
use crate::fleet::{ChosenWorker, Placement, PlacementRequest, Prompt, RequiredSoftware};
use crate::node::Node;

/// Number of services for which start rates are kept. When a further one appears, all are
/// discarded.
const MAX_SERVICES: usize = 256;

/// Receives the slot of a waiting call, or the reason why it gets none.
pub(super) type GrantReceiver = oneshot::Receiver<Result<Placed, Unplaced>>;

pub(super) struct Waiter {
    pub(super) service: String,
    pub(super) tenant: TenantKey,
    pub(super) prompt: Prompt,
    except: Vec<WorkerId>,
    software: RequiredSoftware,
    runs_once: bool,
    homes: AllowedRegions,
    pub(super) grant: oneshot::Sender<Result<Placed, Unplaced>>,
}

impl Waiter {
    pub(super) fn wanted(&self) -> PlacementRequest<'_> {
        PlacementRequest {
            service: &self.service,
            prompt: &self.prompt,
            except: &self.except,
            software: self.software,
            runs_once: self.runs_once,
            homes: &self.homes,
        }
    }
}

#[derive(Default)]
pub(super) struct State {
    pub(super) queue: WaitingQueue,
    pub(super) waiters: HashMap<Ticket, Waiter>,
    /// Rates at which waiting calls of each service get slots.
    pub(super) service_starts: HashMap<String, StartRate>,
    /// Time in milliseconds on the node's clock at which shares were last computed.
    pub(super) shares_ms: u64,
}

impl State {
    /// Returns the calls that are tried for a free slot: the first ones of the queue of each service
    /// that require the same software, so that calls whose service or version has no free slot don't
    /// hold up all others.
    pub(super) fn scanned(&self, now_ms: u64) -> Vec<Queued> {
        let order = self.queue.order(now_ms, None);
        first_of_each(order, MAX_SCANNED_CALLS, |queued| {
            let waiter = self.waiters.get(&queued.ticket)?;
            Some((&waiter.service, waiter.software))
        })
    }

    /// Returns the number of calls of a service that wait.
    pub(super) fn waiting_of(&self, service: &str) -> usize {
        let waiters = self.waiters.values();
        waiters.filter(|waiter| waiter.service == service).count()
    }

    /// Returns whether the call with this ticket waits for slots of the service.
    pub(super) fn is_of_service(&self, ticket: Ticket, service: &str) -> bool {
        let waiter = self.waiters.get(&ticket);
        waiter.is_some_and(|waiter| waiter.service == service)
    }

    /// Returns the mean time between two starts of waiting calls of a service in milliseconds;
    /// `None` if there were too few in the window of [`StartRate`].
    pub(super) fn start_interval_ms(&self, now_ms: u64, service: &str) -> Option<f64> {
        self.service_starts.get(service)?.interval_ms(now_ms)
    }

    /// Removes a call that gets a slot.
    pub(super) fn take_started(&mut self, now_ms: u64, ticket: Ticket) -> Option<Waiter> {
        self.queue.remove(ticket);
        let waiter = self.waiters.remove(&ticket)?;
        let is_known = self.service_starts.contains_key(&waiter.service);
        if !is_known && self.service_starts.len() >= MAX_SERVICES {
            self.service_starts.clear();
        }
        let starts = self.service_starts.entry(waiter.service.clone());
        starts.or_default().record_start(now_ms);
        Some(waiter)
    }
}

impl Dispatcher {
    pub(super) fn enqueue(
        &self,
        call: &Call,
        worker: WantedWorker<'_>,
        waiting: WaitingCall,
    ) -> (Ticket, GrantReceiver) {
        let (grant, granted) = oneshot::channel();
        let tenant = TenantKey::from_name(call.access.name());
        let waiter = Waiter {
            service: call.service.clone(),
            tenant,
            prompt: call.prompt.clone(),
            except: worker.except.to_vec(),
            software: worker.software,
            runs_once: runs_once(call),
            homes: call.homes.clone(),
            grant,
        };
        let mut state = self.state.lock();
        let ticket = state.queue.push_of(tenant, waiting);
        state.waiters.insert(ticket, waiter);
        (ticket, granted)
    }

    /// Removes the first call that can be assigned now from the queue. The choice is `None` if its
    /// service has no usable worker left. Returns `None` if none of the first calls finds a slot.
    pub(super) fn dequeue_placeable(&self, node: &Node) -> Option<(Waiter, Option<ChosenWorker>)> {
        let now_ms = node.now_ms();
        let mut state = self.state.lock();
        self.refresh_shares(node, &mut state);
        for queued in state.scanned(now_ms) {
            let ticket = queued.ticket;
            let Some(waiter) = state.waiters.get(&ticket) else {
                state.queue.remove(ticket);
                continue;
            };
            let own = OwnClaim {
                waiting: state.waiting_of(&waiter.service),
                rank: queued.rank(),
                over_share: queued.over_share,
            };
            match self.find_slot(node, own, &waiter.wanted()) {
                Placement::Full => {}
                Placement::Available(chosen) => {
                    return Some((state.take_started(now_ms, ticket)?, Some(chosen)));
                }
                Placement::NoWorker => {
                    state.queue.remove(ticket);
                    return Some((state.waiters.remove(&ticket)?, None));
                }
            }
        }
        None
    }

    /// Returns the number of waiting calls by service and required software.
    pub(super) fn waiting_by_software(&self) -> HashMap<(String, RequiredSoftware), usize> {
        let state = self.state.lock();
        let mut waiting = HashMap::new();
        for waiter in state.waiters.values() {
            let key = (waiter.service.clone(), waiter.software);
            *waiting.entry(key).or_default() += 1;
        }
        waiting
    }

    pub(super) fn waiting_by_service(&self) -> HashMap<String, usize> {
        let state = self.state.lock();
        let mut waiting = HashMap::new();
        for waiter in state.waiters.values() {
            *waiting.entry(waiter.service.clone()).or_default() += 1;
        }
        waiting
    }
}
