//! Cooperation between the dispatchers of a zone: preemption for peers' calls, and slots that are
//! granted or promised when they become free.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::time::sleep;

use super::demand::ServiceDemand;
use super::{occupy_slot, Dispatcher, Waiter};
use crate::fleet::{ChosenWorker, RequiredSoftware, WorkerKey};
use crate::node::Node;
use crate::peers::promise_time;

impl Dispatcher {
    /// Preempts this node's share of items for calls that wait at other nodes of the zone.
    pub(super) fn preempt_for_peers(&self, node: &Node) {
        let now_ms = node.now_ms();
        if !self.peers_have_waiting_calls(now_ms) {
            return;
        }
        for own in self.own_demand(node) {
            let share = self
                .peer_demand
                .lock()
                .preemption_share(now_ms, &own, rand::random());
            if share > 0 {
                node.runs
                    .preempt(now_ms, &own.service, RequiredSoftware::Any, share);
            }
        }
    }

    /// Returns the waiting calls and preemptible items of this node by service, for the broadcast
    /// to its peers.
    pub(crate) fn own_demand(&self, node: &Node) -> Vec<ServiceDemand> {
        let mut waiting = self.waiting_by_service();
        let mut demand: Vec<ServiceDemand> = Vec::new();
        for (service, yielding) in node.runs.preemptible(node.now_ms()) {
            let waiting = waiting.remove(&service).unwrap_or(0) as u32;
            demand.push(ServiceDemand {
                service,
                waiting,
                yielding: yielding as u32,
            });
        }
        let rest = waiting.into_iter().map(|(service, calls)| ServiceDemand {
            service,
            waiting: calls as u32,
            yielding: 0,
        });
        demand.extend(rest);
        demand
    }

    /// Records the demand that another node of the zone reported.
    pub(crate) fn record_peer_demand(
        &self,
        now_ms: u64,
        peer: SocketAddr,
        demand: Vec<ServiceDemand>,
    ) {
        self.peer_demand.lock().update(now_ms, peer, demand);
    }

    /// Returns whether calls of a service wait at this node or at other nodes of the zone.
    pub(crate) fn has_waiting_calls_of(&self, now_ms: u64, service: &str) -> bool {
        let waits_here = self.state.lock().waiting_of(service) > 0;
        waits_here || self.peer_demand.lock().waiting(now_ms, service) > 0
    }

    /// Returns whether calls wait at other nodes of the zone.
    pub(crate) fn peers_have_waiting_calls(&self, now_ms: u64) -> bool {
        self.peer_demand.lock().any_waiting(now_ms)
    }

    /// Grants a slot that has just become free to a call that waits at this node; returns whether a
    /// call took it. The worker's request count does not drop in between: if the free slot were
    /// broadcast, all nodes of the zone with waiting calls would send a call there.
    pub(crate) fn grant_freed_slot(&self, node: &Arc<Node>, worker: &str) -> bool {
        if self.waiting() == 0 {
            return false;
        }
        let now_ms = node.now_ms();
        let has_free_slot = node.with_fleet(|fleet, _| {
            let worker = fleet.worker(worker)?;
            worker.has_free_slot(now_ms, 0.0).then_some(())
        });
        if has_free_slot.is_none() {
            return false;
        }
        self.grant_promised_slot(node, WorkerKey::from_id(worker))
    }

    /// Promises a slot that has just become free to another node with waiting calls, unless calls
    /// of its service wait at this node. Returns whether the slot was promised.
    pub(crate) fn promise_freed_slot(&self, node: &Arc<Node>, worker: &str) -> bool {
        let now_ms = node.now_ms();
        if !self.peers_have_waiting_calls(now_ms) {
            return false;
        }
        let service = node.with_fleet(|fleet, _| fleet.service_of(worker).map(str::to_owned));
        let Some(service) = service.filter(|one| self.state.lock().waiting_of(one) == 0) else {
            return false;
        };
        let time = promise_time(&node.peers);
        let until_ms = now_ms + time.as_millis() as u64;
        let promised = node.with_fleet(|fleet, _| {
            let peer = self
                .peer_demand
                .lock()
                .promise_slot(now_ms, &service, rand::random())?;
            Some((peer, fleet.promise_slot(now_ms, worker, until_ms)?))
        });
        let Some((peer, key)) = promised else {
            return false;
        };
        node.peers.send_promise(peer, key);
        broadcast_after(node, time);
        true
    }

    /// Grants a slot that is reserved for this node to the first waiting call that may use it.
    /// Returns false if there is no such call.
    pub(crate) fn grant_promised_slot(&self, node: &Arc<Node>, worker: WorkerKey) -> bool {
        let Some((waiter, chosen)) = self.dequeue_for_promise(node, worker) else {
            return false;
        };
        let placed = occupy_slot(node, chosen, &waiter.prompt, waiter.tenant);
        // If the caller has just disconnected, dropping the result releases the slot.
        let _ = waiter.grant.send(Ok(placed));
        true
    }

    fn dequeue_for_promise(&self, node: &Node, key: WorkerKey) -> Option<(Waiter, ChosenWorker)> {
        let now_ms = node.now_ms();
        let mut state = self.state.lock();
        self.refresh_shares(node, &mut state);
        for queued in state.scanned(now_ms) {
            let ticket = queued.ticket;
            let Some(waiter) = state.waiters.get(&ticket) else {
                continue;
            };
            let wanted = waiter.wanted();
            let chosen = node.with_fleet(|fleet, _| fleet.promised_worker(now_ms, key, &wanted));
            if let Some(chosen) = chosen {
                return Some((state.take_started(now_ms, ticket)?, chosen));
            }
        }
        None
    }
}

/// Broadcasts this node's counts once a promise has expired, since the slot may be free then. Does
/// nothing if the slot is released after the runtime has shut down.
pub(super) fn broadcast_after(node: &Arc<Node>, time: Duration) {
    let Ok(runtime) = Handle::try_current() else {
        return;
    };
    let node = node.clone();
    runtime.spawn(async move {
        sleep(time).await;
        node.peers.notify_changed();
    });
}
