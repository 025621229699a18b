//! Assigns worker slots to calls of callers.
//!
//! A call gets a slot at once if a worker has a free one. Otherwise it waits in this node's queue
//! rather than at a worker, whose own queue only knows the order of arrival; it is rejected at once
//! if it cannot be served in time (`admission`). `queue` keeps the order of the waiting calls,
//! `claims` decides which node may use a free slot that several see, `demand` records the waiting
//! calls and preemptible items of the zone's other nodes, and `zone` serves those nodes. If the
//! settings ask for it and the route table has tenants, `shares` divides the slots among them by their use (`tenant_use`), and
//! `zone_order` and `sharing` pass released slots to the first calls of the zone. The queue
//! is scanned whenever a slot is released, a peer reports a free one, or the scan interval has
//! passed.

pub mod admission;
pub mod claims;
pub mod demand;
pub mod queue;
pub mod report;
pub mod report_pace;
pub mod shares;
mod sharing;
pub mod tenant_use;
mod times;
mod waiters;
mod zone;
pub mod zone_order;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use pinerill_calls::directory::WorkerId;
use pinerill_process::clock::{timeout_at, BootTime};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use self::admission::{admit, Admission, AdmissionRequest};
use self::claims::FreeSlotClaims;
use self::demand::ZoneDemand;
use self::queue::{Ticket, WaitingCall};
use self::report::TenantKey;
use self::sharing::OwnClaim;
use self::tenant_use::TenantUses;
use self::times::CallTimes;
use self::waiters::{GrantReceiver, State, Waiter};
use self::zone_order::ZoneQueues;
use crate::call::Call;
use crate::fleet::{
    ChosenWorker, Placement, PlacementRequest, Prompt, RequiredSoftware, WorkerKey,
};
use crate::node::{Node, OccupiedSlot};

/// Interval between two scans of the queue without a notification. Estimates of other nodes' load
/// decay with time, so slots may count as free without any event.
const SCAN_INTERVAL: Duration = Duration::from_millis(15);
/// Number of calls at the head of the queue that are tried per scan. The first call may be one that
/// must not go to the worker with the free slot.
const MAX_SCANNED_CALLS: usize = 6;
/// Minimum interval between two calls of this node that go to a worker of another zone whose load
/// is unknown, in milliseconds. Limits the load there, because many nodes may do this at the same
/// time.
const EXPLORATION_INTERVAL_MS: u64 = 1_000;
/// Delay after each scan, so that updates from several peers are handled in one scan.
const COALESCING_DELAY: Duration = Duration::from_millis(1);

/// A worker chosen for a call, and the slot occupied there.
pub struct Placed {
    /// The worker and the basis of the choice.
    pub chosen: ChosenWorker,
    /// The occupied slot; released when dropped.
    pub place: OccupiedSlot,
}

/// Workers that one attempt of a call may go to.
#[derive(Debug, Clone, Copy)]
pub struct WantedWorker<'a> {
    /// Workers at which the call has failed.
    pub except: &'a [WorkerId],
    /// Software that the worker must run.
    pub software: RequiredSoftware,
}

/// Reason why a call got no slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Unplaced {
    /// The service has no worker that may be used for this call.
    NoWorker,
    /// The call's deadline passed while it waited.
    OutOfTime,
    /// The node stops, and the call would get its slot too late.
    NodeStops,
    /// The call cannot be served in time.
    Rejected {
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
}

/// Queue of the calls that wait for a slot at this node, and the state needed to serve it.
#[derive(Default)]
pub struct Dispatcher {
    state: Mutex<State>,
    /// Waiting calls and preemptible items reported by the zone's other nodes.
    peer_demand: Mutex<ZoneDemand>,
    /// Slots that tenants' calls use, here and elsewhere.
    tenants: Mutex<TenantUses>,
    /// Queues of the zone's other nodes, as they report them.
    zone_queues: Mutex<ZoneQueues>,
    /// Observations of free slots, from which this node's claims follow.
    claims: Mutex<FreeSlotClaims>,
    /// Time in milliseconds on the node's clock at which a call was last sent to another zone
    /// without knowledge of the load there.
    explored_ms: AtomicU64,
    /// Run times of calls from the assignment of a slot on, by route.
    pub(crate) times: CallTimes,
    /// Notified when a slot may have become free.
    pub(crate) changed: Notify,
    /// Notified when a call begins to wait.
    pub(crate) queue_changed: Notify,
}

/// Removes a call from the queue when its future is dropped, for example because the caller
/// disconnected.
struct QueueGuard<'a> {
    dispatcher: &'a Dispatcher,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.dispatcher.state.lock();
        state.queue.remove(self.ticket);
        state.waiters.remove(&self.ticket);
    }
}

impl Dispatcher {
    /// Returns the number of calls that wait at this node.
    pub fn waiting(&self) -> usize {
        self.state.lock().queue.len()
    }

    /// Assigns a slot to a call, waiting for one if necessary. A call that has not been sent to any
    /// worker yet (`fresh`) is rejected if it cannot be served in time; a call that is being
    /// retried waits until its deadline. On a stopping node both wait only while they can be served
    /// before responses fall due.
    ///
    /// # Errors
    /// Returns [`Unplaced`] if there is no usable worker, the time is up or the call is rejected.
    pub async fn place(
        &self,
        node: &Arc<Node>,
        call: &Call,
        worker: WantedWorker<'_>,
        fresh: bool,
    ) -> Result<Placed, Unplaced> {
        node.slow_starts.record_call();
        let latest = self.latest_slot_time(node, call, fresh);
        if node.drain.has_begun() && latest.remaining().is_zero() {
            return Err(refuse_at_stop(call, None, latest));
        }
        if self.state.lock().waiting_of(&call.service) == 0 {
            let wanted = PlacementRequest {
                service: &call.service,
                prompt: &call.prompt,
                except: worker.except,
                software: worker.software,
                runs_once: runs_once(call),
                homes: &call.homes,
            };
            let tenant = TenantKey::from_name(call.access.name());
            match self.find_slot(
                node,
                self.claim_of_newcomer(node, call.rank, tenant),
                &wanted,
            ) {
                Placement::Available(chosen) => {
                    return Ok(occupy_slot(node, chosen, &call.prompt, tenant));
                }
                Placement::NoWorker => return Err(Unplaced::NoWorker),
                Placement::Full => {}
            }
        }
        let waiting = self.waiting_call(node, call);
        if fresh {
            self.admit(node, call, &waiting)?;
        }
        let (ticket, granted) = self.enqueue(call, worker, waiting);
        node.peers.notify_changed();
        let _queue_guard = QueueGuard {
            dispatcher: self,
            ticket,
        };
        self.changed.notify_one();
        self.queue_changed.notify_one();
        self.wait_for_grant(node, call, ticket, fresh, granted)
            .await
    }

    /// Returns the latest time at which a call may get its slot and still be served in time, at
    /// this node as well if it stops.
    fn latest_slot_time(&self, node: &Node, call: &Call, fresh: bool) -> BootTime {
        let deadline = node.drain.bound(call.deadline);
        match fresh {
            true => self.times.latest_slot_time(call, deadline),
            false => deadline,
        }
    }

    /// Waits until a queued call is assigned a slot. If the node begins to stop meanwhile, a fresh call
    /// that will not get a slot in time is refused at that moment.
    async fn wait_for_grant(
        &self,
        node: &Node,
        call: &Call,
        ticket: Ticket,
        fresh: bool,
        mut granted: GrantReceiver,
    ) -> Result<Placed, Unplaced> {
        let latest = self.latest_slot_time(node, call, fresh);
        tokio::select! {
            biased;
            granted = timeout_at(latest, &mut granted) => match granted {
                Ok(Ok(result)) => return result,
                Ok(Err(_)) | Err(_) if fresh => return Err(self.reject_timed_out(node, call)),
                Ok(Err(_)) | Err(_) => return Err(Unplaced::OutOfTime),
            },
            () = node.drain.begun() => {}
        }
        let latest = self.latest_slot_time(node, call, fresh);
        let expected = self.expected_wait(node, ticket);
        if fresh && expected > Some(latest.remaining()) {
            return Err(refuse_at_stop(call, expected, latest));
        }
        match timeout_at(latest, granted).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(refuse_at_stop(call, expected, latest)),
        }
    }

    /// Returns the expected time until a queued call is assigned a slot; `None` if slots are
    /// assigned too seldom for an estimate.
    fn expected_wait(&self, node: &Node, ticket: Ticket) -> Option<Duration> {
        let now_ms = node.now_ms();
        let state = self.state.lock();
        let service = &state.waiters.get(&ticket)?.service;
        let order = state.queue.order(now_ms, None);
        let mut competing = order
            .iter()
            .filter(|queued| state.is_of_service(queued.ticket, service));
        let ahead = competing.position(|queued| queued.ticket == ticket)?;
        let interval_ms = state.start_interval_ms(now_ms, service)?;
        Some(admission::expected_wait(interval_ms, ahead))
    }

    /// Rejects a call that got no slot in time, with a retry delay derived from the expected wait
    /// in the current queue.
    fn reject_timed_out(&self, node: &Node, call: &Call) -> Unplaced {
        let (interval_ms, waiting) = {
            let state = self.state.lock();
            let interval_ms = state.start_interval_ms(node.now_ms(), &call.service);
            (interval_ms, state.waiting_of(&call.service))
        };
        let expected = admission::expected_wait(interval_ms.unwrap_or(0.0), waiting);
        let retry_after = admission::retry_after(expected, rand::random());
        log::info!(
            event = "call_waited_in_vain", id = call.head.id.as_str(), line = waiting,
            interval_ms:? = interval_ms, retry_after_ms = retry_after.as_millis() as u64; ""
        );
        self.record_timeout(node, call);
        Unplaced::Rejected { retry_after }
    }

    /// Finds a worker with a free slot that this node may claim. At most once per
    /// `EXPLORATION_INTERVAL_MS`, a call that finds no slot in its zone may go to a worker of
    /// another zone whose load is unknown.
    fn find_slot(&self, node: &Node, own: OwnClaim, wanted: &PlacementRequest<'_>) -> Placement {
        let service = wanted.service;
        let now_ms = node.now_ms();
        let explored_ms = self.explored_ms.load(Ordering::Relaxed);
        let may_explore = now_ms.saturating_sub(explored_ms) >= EXPLORATION_INTERVAL_MS;
        let others = self.peer_demand.lock().contenders(now_ms, service);
        let order = self.claim_order(node, own, others, service);
        let mut claims = self.claims.lock();
        let may_claim =
            |worker, free| claims.may_claim(now_ms, worker, free, order.nodes_ahead(worker));
        let found = node.with_fleet(|fleet, _| fleet.place(now_ms, wanted, may_explore, may_claim));
        if let Placement::Available(chosen) = &found {
            claims.record_claim(WorkerKey::from_id(&chosen.entry.id));
            if may_explore && !chosen.basis.near {
                self.explored_ms.store(now_ms, Ordering::Relaxed);
            }
        }
        found
    }

    fn waiting_call(&self, node: &Node, call: &Call) -> WaitingCall {
        let waited_here_ms = call.arrived.elapsed().as_millis() as u64;
        let arrived_ms = node.now_ms().saturating_sub(waited_here_ms);
        let begin_ms = self.times.first_event_ms(&call.route.name);
        let slack_ms = (call.route.objective_ms as f64 - begin_ms).max(0.0);
        WaitingCall {
            rank: call.rank,
            latest_start_ms: arrived_ms + slack_ms as u64,
        }
    }

    fn admit(&self, node: &Node, call: &Call, waiting: &WaitingCall) -> Result<(), Unplaced> {
        let now_ms = node.now_ms();
        let ((ahead, over_share), interval_ms) = {
            let mut state = self.state.lock();
            self.refresh_shares(node, &mut state);
            let tenant = TenantKey::from_name(call.access.name());
            let competes = |ticket| state.is_of_service(ticket, &call.service);
            let place = state.queue.place_among(now_ms, tenant, waiting, competes);
            (place, state.start_interval_ms(now_ms, &call.service))
        };
        let request = AdmissionRequest {
            ahead,
            interval_ms,
            max_wait: self.times.latest_slot_time(call, call.deadline).remaining(),
        };
        let before_stop = AdmissionRequest {
            max_wait: self.latest_slot_time(node, call, true).remaining(),
            ..request
        };
        match admit(&request, rand::random()) {
            Admission::Wait => match admit(&before_stop, 0.0) {
                Admission::Wait => Ok(()),
                Admission::Reject { expected, .. } => {
                    let latest = self.latest_slot_time(node, call, true);
                    Err(refuse_at_stop(call, Some(expected), latest))
                }
            },
            Admission::Reject {
                expected,
                retry_after,
            } => {
                log::info!(
                    event = "call_sent_away", id = call.head.id.as_str(), ahead,
                    expected_wait_ms = expected.as_millis() as u64,
                    objective_ms = call.route.objective_ms,
                    retry_after_ms = retry_after.as_millis() as u64; ""
                );
                self.record_rejection(node, call, over_share);
                Err(Unplaced::Rejected { retry_after })
            }
        }
    }

    /// Preempts batch items for the calls that wait at this node.
    fn preempt_for_own_calls(&self, node: &Node) {
        let now_ms = node.now_ms();
        for ((service, software), calls) in self.waiting_by_software() {
            node.runs.preempt(now_ms, &service, software, calls);
        }
    }

    fn place_waiting(&self, node: &Arc<Node>) {
        while let Some((waiter, chosen)) = self.dequeue_placeable(node) {
            let result = match chosen {
                Some(chosen) => Ok(occupy_slot(node, chosen, &waiter.prompt, waiter.tenant)),
                None => Err(Unplaced::NoWorker),
            };
            // If the caller has just disconnected, dropping the result releases the slot.
            let _ = waiter.grant.send(result);
        }
    }
}

/// Refuses a call that would get its slot after `latest` at a stopping node.
fn refuse_at_stop(call: &Call, expected: Option<Duration>, latest: BootTime) -> Unplaced {
    log::info!(
        event = "call_not_served_at_stop", id = call.head.id.as_str(),
        expected_wait_ms:? = expected.map(|expected| expected.as_millis() as u64),
        left_ms = latest.remaining().as_millis() as u64; ""
    );
    Unplaced::NodeStops
}

/// Returns whether a call may be run only once, so that it is lost if its worker fails.
fn runs_once(call: &Call) -> bool {
    !call.route.kind.may_repeat()
}

fn occupy_slot(
    node: &Arc<Node>,
    chosen: ChosenWorker,
    prompt: &Prompt,
    tenant: TenantKey,
) -> Placed {
    Placed {
        place: node.occupy_slot(&chosen, prompt).counted_for(tenant),
        chosen,
    }
}

/// Serves the queue until the node stops: assigns slots to waiting calls and preempts items for
/// calls of this node and of its peers.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        let dispatcher = &node.dispatcher;
        if dispatcher.waiting() == 0 && !dispatcher.peers_have_waiting_calls(node.now_ms()) {
            dispatcher.changed.notified().await;
        } else {
            // Wakes up on a notification or after the scan interval.
            let _ = timeout(SCAN_INTERVAL, dispatcher.changed.notified()).await;
        }
        dispatcher.place_waiting(&node);
        dispatcher.preempt_for_own_calls(&node);
        dispatcher.preempt_for_peers(&node);
        dispatcher.claims.lock().remove_stale(node.now_ms());
        sleep(COALESCING_DELAY).await;
    }
}
