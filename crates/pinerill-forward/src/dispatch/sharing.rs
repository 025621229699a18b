//! Sharing of slots among tenants: applies the decisions of `shares`, `tenant_use` and `zone_order`
//! to the queue and to released slots, if the settings ask for it and the route table has tenants.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use pinerill_calls::table::RouteTable;

use super::claims::Contender;
use super::queue::Queued;
use super::report::{QueuePosition, QueueReport, ServiceQueue, TenantKey, TenantUse};
use super::shares::{Shares, Weights};
use super::waiters::State;
use super::zone::broadcast_after;
use super::zone_order::Rivals;
use super::Dispatcher;
use crate::call::Call;
use crate::fleet::{ReportOrder, WorkerKey};
use crate::node::Node;
use crate::peers::promise_time;

/// Minimum time between two divisions of the slots, in milliseconds.
const DIVISION_INTERVAL_MS: u64 = 20;

/// What this node claims a free slot for.
#[derive(Debug, Clone, Copy)]
pub(super) struct OwnClaim {
    /// Number of calls that wait here.
    pub(super) waiting: usize,
    /// Rank of the call that would get the slot.
    pub(super) rank: u32,
    /// Whether that call is over its tenant's share.
    pub(super) over_share: bool,
}

/// Order in which nodes with waiting calls claim a free slot.
pub(super) struct ClaimOrder {
    own: Contender,
    rivals: Rivals,
}

impl ClaimOrder {
    /// Returns how many other nodes precede this one at a worker.
    pub(super) fn nodes_ahead(&self, worker: WorkerKey) -> usize {
        self.rivals.nodes_ahead(self.own, worker)
    }
}

impl Dispatcher {
    pub(super) fn claim_order(
        &self,
        node: &Node,
        own: OwnClaim,
        others: Vec<Contender>,
        service: &str,
    ) -> ClaimOrder {
        let rivals = match node.shares_slots() && !others.is_empty() {
            true => {
                let queues = self.zone_queues.lock();
                queues.rivals(node.now_ms(), service, own.rank, own.over_share, others)
            }
            false => Rivals {
                equal: others,
                preferred: 0,
            },
        };
        let own = Contender {
            node: node.settings.peer_listen,
            waiting: own.waiting.max(1) as u32,
        };
        ClaimOrder { own, rivals }
    }

    /// Returns the claim of a call that arrives while no call waits here.
    pub(super) fn claim_of_newcomer(&self, node: &Node, rank: u32, tenant: TenantKey) -> OwnClaim {
        let mut state = self.state.lock();
        self.refresh_shares(node, &mut state);
        let shares = state.queue.shares();
        OwnClaim {
            waiting: 1,
            rank,
            over_share: shares.is_some_and(|shares| shares.is_used_up(tenant)),
        }
    }

    /// Divides the slots anew if the last division is no longer recent; discards it if slots are
    /// not shared.
    pub(super) fn refresh_shares(&self, node: &Node, state: &mut State) {
        if !node.shares_slots() {
            state.queue.set_shares(None);
            return;
        }
        let now_ms = node.now_ms();
        let is_recent = now_ms < state.shares_ms + DIVISION_INTERVAL_MS;
        if is_recent && state.queue.shares().is_some() {
            return;
        }
        let waiting = state.queue.waiting_by_tenant();
        let (demands, weights) = {
            let tenants = self.tenants.lock();
            (tenants.demands(now_ms, &waiting), tenants.weights())
        };
        let shares = Shares::of_slots_in_use(&demands).with_weights(weights);
        state.queue.set_shares(Some(shares));
        state.shares_ms = now_ms;
    }

    /// Sets the weights of tenants in the division of slots from the limits of the route table.
    pub(crate) fn apply_limits(&self, table: &RouteTable) {
        let tenants = table.tenants.iter().flatten();
        let rates = tenants.filter_map(|tenant| {
            let key = TenantKey::from_name(Some(&tenant.name));
            Some((key, tenant.limit?.rate_per_s))
        });
        self.tenants.lock().set_weights(Weights::of_limits(rates));
    }

    /// Counts a slot that a call of the tenant takes.
    pub(crate) fn record_tenant_start(&self, tenant: TenantKey) {
        let mut state = self.state.lock();
        self.tenants.lock().record_start(tenant);
        if let Some(shares) = state.queue.shares_mut() {
            shares.record_start(tenant);
        }
    }

    /// Counts a slot that a call of the tenant releases.
    pub(crate) fn record_tenant_end(&self, tenant: TenantKey) {
        let mut state = self.state.lock();
        self.tenants.lock().record_end(tenant);
        if let Some(shares) = state.queue.shares_mut() {
            shares.record_end(tenant);
        }
    }

    /// Records the queue and the use of slots that another node of the zone reported. Returns false
    /// if a newer report of that node is known.
    pub(crate) fn record_queue_report(
        &self,
        now_ms: u64,
        peer: SocketAddr,
        order: ReportOrder,
        report: QueueReport,
    ) -> bool {
        let mut tenants = self.tenants.lock();
        if !tenants.record_node(now_ms, peer, order, report.tenants) {
            return false;
        }
        self.zone_queues
            .lock()
            .record(now_ms, peer, report.services);
        true
    }

    /// Records the use of slots in another zone.
    pub(crate) fn record_zone_tenants(
        &self,
        now_ms: u64,
        zone: &str,
        order: ReportOrder,
        uses: Vec<TenantUse>,
    ) {
        let mut tenants = self.tenants.lock();
        tenants.record_zone(now_ms, zone, order, uses);
    }

    /// Discards what other nodes and zones have reported about queues and tenants.
    pub(crate) fn forget_reports(&self) {
        self.tenants.lock().forget_reports();
        self.zone_queues.lock().forget();
    }

    /// Returns whether calls of this node use slots.
    pub(crate) fn any_slot_in_use(&self) -> bool {
        self.tenants.lock().any_in_use()
    }

    /// Returns the queue of this node and the use of slots by its tenants, for its peers.
    pub(crate) fn queue_report(&self, node: &Node) -> QueueReport {
        let now_ms = node.now_ms();
        let mut state = self.state.lock();
        self.refresh_shares(node, &mut state);
        let services = queues_by_service(&state, now_ms);
        let waiting = state.queue.waiting_by_tenant();
        let tenants = self.tenants.lock().own_report(&waiting);
        QueueReport { services, tenants }.fitted()
    }

    /// Returns the use of slots by the tenants of this zone, for other zones.
    pub(crate) fn zone_tenants(&self, now_ms: u64) -> Vec<TenantUse> {
        let waiting = self.state.lock().queue.waiting_by_tenant();
        self.tenants.lock().zone_report(now_ms, &waiting)
    }

    /// Returns the numbers of calls that wait here within and over the share of their tenants.
    pub(crate) fn waiting_by_part(&self, now_ms: u64) -> (usize, usize) {
        let order = self.state.lock().queue.order(now_ms, None);
        let over = order.iter().filter(|queued| queued.over_share).count();
        (order.len() - over, over)
    }

    /// Passes a slot that has just become free to another node of the zone if the first call that
    /// waits there precedes the first one here. Returns whether the slot was passed on.
    pub(crate) fn pass_freed_slot(&self, node: &Arc<Node>, worker: &str) -> bool {
        let now_ms = node.now_ms();
        if !node.shares_slots() || !self.peers_have_waiting_calls(now_ms) {
            return false;
        }
        let Some(service) = node.with_fleet(|fleet, _| fleet.service_of(worker).map(str::to_owned))
        else {
            return false;
        };
        let own = self.head_position(node, &service);
        let time = promise_time(&node.peers);
        let time_ms = time.as_millis() as u64;
        let draw = rand::random();
        let mut queues = self.zone_queues.lock();
        let receiver = queues.receiver(now_ms, &service, own, draw);
        drop(queues);
        let Some(peer) = receiver else {
            return false;
        };
        let promised =
            node.with_fleet(|fleet, _| fleet.promise_slot(now_ms, worker, now_ms + time_ms));
        let Some(key) = promised else {
            return false;
        };
        node.peers.send_promise(peer, key);
        node.metrics.slots_passed.inc();
        broadcast_after(node, time);
        true
    }

    /// Returns the position of the first call of a service that waits here.
    fn head_position(&self, node: &Node, service: &str) -> Option<QueuePosition> {
        let now_ms = node.now_ms();
        let mut state = self.state.lock();
        self.refresh_shares(node, &mut state);
        let order = state.queue.order(now_ms, None);
        let of_service = |queued: &&Queued| {
            let waiter = state.waiters.get(&queued.ticket);
            waiter.is_some_and(|waiter| waiter.service == service)
        };
        let head = order.iter().find(of_service)?;
        state.queue.position(now_ms, head)
    }

    /// Counts and logs the rejection of a call that got no slot in time.
    pub(super) fn record_timeout(&self, node: &Node, call: &Call) {
        let tenant = TenantKey::from_name(call.access.name());
        let state = self.state.lock();
        let shares = state.queue.shares();
        let over_share = shares.is_some_and(|shares| shares.is_used_up(tenant));
        drop(state);
        self.record_rejection(node, call, over_share);
    }

    /// Counts and logs the rejection of a call, with what is known of its tenant.
    pub(super) fn record_rejection(&self, node: &Node, call: &Call, over_share: bool) {
        let now_ms = node.now_ms();
        let tenant = TenantKey::from_name(call.access.name());
        let state = self.state.lock();
        let Some(shares) = state.queue.shares() else {
            return;
        };
        let (in_use, share) = (shares.in_use(tenant), shares.share(tenant));
        let divided_ms = now_ms.saturating_sub(state.shares_ms);
        drop(state);
        let part = if over_share { "over" } else { "within" };
        node.metrics.share_rejected(part);
        log::info!(
            event = "tenant_call_rejected", id = call.head.id.as_str(),
            tenant = call.access.name().unwrap_or_default(), part, in_use, share,
            divided_ms_ago = divided_ms,
            oldest_report_ms:? = self.tenants.lock().oldest_report_ms(now_ms); ""
        );
    }
}

/// Returns the queue of each service for which calls wait or were started lately.
fn queues_by_service(state: &State, now_ms: u64) -> Vec<ServiceQueue> {
    let mut queues: HashMap<&str, ServiceQueue> = HashMap::new();
    for (service, starts) in &state.service_starts {
        let Some(interval_ms) = starts.interval_ms(now_ms) else {
            continue;
        };
        // Starts may all lie within the present millisecond.
        let starts_per_s = 1_000.0 / interval_ms.max(1.0);
        queue_of(&mut queues, service).starts_per_s = starts_per_s as f32;
    }
    for queued in state.queue.order(now_ms, None) {
        let Some(waiter) = state.waiters.get(&queued.ticket) else {
            continue;
        };
        let queue = queue_of(&mut queues, &waiter.service);
        match queued.over_share {
            true => queue.over_share += 1,
            false => queue.within_share += 1,
        }
        if queue.head.is_none() {
            queue.head = state.queue.position(now_ms, &queued);
        }
    }
    queues.into_values().collect()
}

fn queue_of<'m, 'a>(
    queues: &'m mut HashMap<&'a str, ServiceQueue>,
    service: &'a str,
) -> &'m mut ServiceQueue {
    queues.entry(service).or_insert_with(|| ServiceQueue {
        service: service.to_owned(),
        within_share: 0,
        over_share: 0,
        head: None,
        starts_per_s: 0.0,
    })
}
