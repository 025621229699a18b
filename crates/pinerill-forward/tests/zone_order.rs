//! Tests to which node of a zone a released slot is passed, when nodes report their queues, and
//! that no tenant under its share is left without slots.

use std::collections::HashMap;
use std::net::SocketAddr;

use pinerill_forward::dispatch::claims::Contender;
use pinerill_forward::dispatch::queue::{WaitingCall, WaitingQueue};
use pinerill_forward::dispatch::report::{QueuePosition, ServiceQueue, TenantKey};
use pinerill_forward::dispatch::report_pace::{Occasion, ReportPace};
use pinerill_forward::dispatch::shares::Shares;
use pinerill_forward::dispatch::tenant_use::TenantUses;
use pinerill_forward::dispatch::zone_order::{precedes, ZoneQueues};
use pinerill_forward::fleet::{ReportOrder, WorkerKey};
use proptest::prelude::*;

const SERVICE: &str = "svc";

fn node(number: usize) -> SocketAddr {
    ([127, 0, 1, number as u8], 7_720).into()
}

fn position(rank: u32, over_share: bool, slack_ms: i32) -> QueuePosition {
    QueuePosition {
        rank,
        over_share,
        slack_ms,
    }
}

fn queue(within_share: u32, over_share: u32, head: QueuePosition) -> Vec<ServiceQueue> {
    vec![ServiceQueue {
        service: SERVICE.to_owned(),
        within_share,
        over_share,
        head: Some(head),
        starts_per_s: 1.0,
    }]
}

#[test]
fn a_slot_is_passed_to_a_better_rank_or_part_only() {
    let own = position(1, true, 100);
    assert!(precedes(&position(0, true, 900), &own));
    assert!(precedes(&position(1, false, 900), &own));
    assert!(!precedes(&position(1, true, 0), &own));
    assert!(!precedes(&position(1, true, -5), &own));
    assert!(!precedes(&position(2, false, 0), &own));
}

#[test]
fn a_node_without_waiting_calls_passes_a_slot_to_the_first_part() {
    let mut zone = ZoneQueues::default();
    zone.record(0, node(1), queue(0, 9, position(0, true, 10)));
    zone.record(0, node(2), queue(1, 9, position(0, false, 500)));
    assert_eq!(zone.receiver(5, SERVICE, None, 0.0), Some(node(2)));
    // The only call within share has its slot, and of the others the draw decides.
    let second = zone.receiver(5, SERVICE, None, 0.0);
    assert_eq!(second, Some(node(1)));
    assert_eq!(zone.receiver(5, "other", None, 0.0), None);
}

#[test]
fn a_silent_node_gets_no_slot() {
    let mut zone = ZoneQueues::default();
    let own = Some(position(0, true, 100));
    zone.record(0, node(1), queue(3, 0, position(0, false, 500)));
    assert_eq!(zone.receiver(701, SERVICE, own, 0.5), None);
    assert_eq!(zone.receiver(700, SERVICE, own, 0.5), Some(node(1)));
    zone.record(700, node(1), Vec::new());
    assert_eq!(zone.receiver(700, SERVICE, own, 0.5), None);
}

#[test]
fn slots_go_to_nodes_in_proportion_to_their_calls() {
    let mut taken: HashMap<SocketAddr, u32> = HashMap::new();
    for draw in 0..100 {
        let mut zone = ZoneQueues::default();
        zone.record(0, node(1), queue(30, 0, position(0, false, 500)));
        zone.record(0, node(2), queue(10, 50, position(0, false, 500)));
        let draw = f64::from(draw) / 100.0;
        let receiver = zone.receiver(0, SERVICE, None, draw);
        *taken.entry(receiver.expect("a node")).or_default() += 1;
    }
    assert_eq!((taken[&node(1)], taken[&node(2)]), (75, 25));
}

#[test]
fn nodes_with_calls_within_share_claim_free_slots_first() {
    let mut zone = ZoneQueues::default();
    zone.record(0, node(1), queue(1, 0, position(0, false, 500)));
    zone.record(0, node(2), queue(0, 7, position(0, true, 500)));
    let contender = |number| Contender {
        node: node(number),
        waiting: 5,
    };
    let others = [contender(1), contender(2)];
    for number in 0..40 {
        let worker = WorkerKey::from_id(&format!("w{number}"));
        let ahead = |over| {
            let rivals = zone.rivals(0, SERVICE, 0, over, others.to_vec());
            rivals.nodes_ahead(contender(9), worker)
        };
        let ahead_of_two =
            pinerill_forward::dispatch::claims::nodes_ahead(contender(9), &[contender(2)], worker);
        assert_eq!(ahead(true), 1 + ahead_of_two);
        assert!(ahead(false) <= 1);
    }
}

#[test]
fn a_more_urgent_call_over_share_yields_no_free_slot_to_a_lower_rank() {
    let mut zone = ZoneQueues::default();
    zone.record(0, node(1), queue(1, 0, position(2, false, 500)));
    let other = Contender {
        node: node(1),
        waiting: 1,
    };
    let rivals = |rank, over| zone.rivals(0, SERVICE, rank, over, vec![other]);
    assert_eq!(
        (rivals(1, true).preferred, rivals(1, true).equal.len()),
        (0, 1)
    );
    assert_eq!(
        (rivals(2, true).preferred, rivals(2, true).equal.len()),
        (1, 0)
    );
    zone.record(0, node(1), queue(0, 1, position(1, true, 500)));
    let rivals = |rank, over| zone.rivals(0, SERVICE, rank, over, vec![other]);
    assert_eq!(rivals(1, false).equal.len(), 0);
    assert_eq!(rivals(2, false).equal.len(), 1);
}

fn occasion(
    calls_wait: bool,
    heads: &[QueuePosition],
) -> Occasion<impl Iterator<Item = QueuePosition> + '_> {
    Occasion {
        calls_wait,
        uses_slots_wanted_elsewhere: false,
        heads: heads.iter().copied(),
    }
}

#[test]
fn a_queue_is_reported_every_50_ms_and_once_more_when_it_is_empty() {
    let mut pace = ReportPace::default();
    let over = [position(0, true, 100)];
    assert!(!pace.is_due(0, occasion(false, &[])));
    assert!(pace.is_due(0, occasion(true, &over)));
    assert!(!pace.is_due(49, occasion(true, &over)));
    assert!(pace.is_due(50, occasion(true, &over)));
    assert!(pace.is_due(70, occasion(false, &[])));
    assert!(pace.is_idle());
    assert!(!pace.is_due(1_000, occasion(false, &[])));
}

#[test]
fn a_call_of_a_better_part_is_reported_sooner() {
    let mut pace = ReportPace::default();
    let (over, within) = ([position(0, true, 100)], [position(0, false, 100)]);
    assert!(pace.is_due(0, occasion(true, &over)));
    assert!(!pace.is_due(9, occasion(true, &within)));
    assert!(pace.is_due(10, occasion(true, &within)));
    assert!(!pace.is_due(30, occasion(true, &within)));
}

#[test]
fn slots_that_are_wanted_elsewhere_are_reported_four_times_a_second() {
    let mut pace = ReportPace::default();
    let wanted = || Occasion {
        uses_slots_wanted_elsewhere: true,
        ..occasion(false, &[])
    };
    let sent: Vec<u64> = (0..1_000)
        .step_by(10)
        .filter(|now_ms| pace.is_due(*now_ms, wanted()))
        .collect();
    assert_eq!(sent, [0, 250, 500, 750]);
    assert!(pace.is_due(1_000, occasion(false, &[])));
    assert!(!pace.is_due(1_500, occasion(false, &[])));
}

/// Time of one call at a worker, and number of its slots.
const RUN_MS: u64 = 60;
const SLOTS: usize = 4;
const OBJECTIVE_MS: u64 = 600;

struct Call {
    tenant: TenantKey,
    arrived_ms: u64,
}

/// One node by the decisions alone: its queue, its use and what it was told.
#[derive(Default)]
struct SimulatedNode {
    queue: WaitingQueue,
    calls: HashMap<u64, Call>,
    uses: TenantUses,
    zone: ZoneQueues,
}

impl SimulatedNode {
    fn arrive(&mut self, now_ms: u64, tenant: TenantKey) {
        let waiting = WaitingCall {
            rank: 0,
            latest_start_ms: now_ms + OBJECTIVE_MS - RUN_MS,
        };
        let ticket = self.queue.push_of(tenant, waiting);
        let call = Call {
            tenant,
            arrived_ms: now_ms,
        };
        self.calls.insert(ticket, call);
    }

    fn head(&mut self, now_ms: u64) -> Option<QueuePosition> {
        let waiting = self.queue.waiting_by_tenant();
        let demands = self.uses.demands(now_ms, &waiting);
        self.queue
            .set_shares(Some(Shares::of_slots_in_use(&demands)));
        let order = self.queue.order(now_ms, None);
        self.queue.position(now_ms, order.first()?)
    }

    fn services(&mut self, now_ms: u64) -> Vec<ServiceQueue> {
        let Some(head) = self.head(now_ms) else {
            return Vec::new();
        };
        let order = self.queue.order(now_ms, None);
        let over = order.iter().filter(|queued| queued.over_share).count();
        queue((order.len() - over) as u32, over as u32, head)
    }

    fn start(&mut self, now_ms: u64) -> Option<Call> {
        self.head(now_ms)?;
        let ticket = *self.queue.head(now_ms, 1).first()?;
        self.queue.remove(ticket);
        let call = self.calls.remove(&ticket)?;
        self.uses.record_start(call.tenant);
        Some(call)
    }
}

/// Two nodes at one worker: a tenant with 48 calls in flight over both nodes, and six others with
/// three calls a second each. At first all slots are held through the first node. Returns the
/// waits of the small calls that were served, their number in all, and the served large ones.
fn simulate(seconds: u64, draws: &mut impl FnMut() -> f64) -> (Vec<u64>, usize, usize) {
    let flood = TenantKey(1_000);
    let mut nodes = [SimulatedNode::default(), SimulatedNode::default()];
    let mut running: Vec<(u64, usize, Call)> = Vec::new();
    for number in 0..SLOTS {
        nodes[0].uses.record_start(flood);
        let call = Call {
            tenant: flood,
            arrived_ms: 0,
        };
        running.push((RUN_MS + number as u64, 0, call));
    }
    for number in 0..44 {
        nodes[number % 2].arrive(0, flood);
    }
    let (mut waits, mut small, mut large) = (Vec::new(), 0, 0);
    // Calls that arrive at the end could not be served any more.
    let end_ms = seconds * 1_000;
    for now_ms in 1..end_ms + 500 {
        for tenant in 0..6_u32 {
            let phase = u64::from(tenant) * 55;
            if now_ms < end_ms && now_ms % 333 == phase {
                nodes[(now_ms / 333 + u64::from(tenant)) as usize % 2]
                    .arrive(now_ms, TenantKey(tenant));
                small += 1;
            }
        }
        if now_ms % 50 == 0 {
            for from in 0..2 {
                let services = nodes[from].services(now_ms);
                let waiting = nodes[from].queue.waiting_by_tenant();
                let report = nodes[from].uses.own_report(&waiting);
                let order = ReportOrder {
                    start: 1,
                    sequence: now_ms,
                };
                let to = &mut nodes[1 - from];
                to.uses.record_node(now_ms, node(from), order, report);
                to.zone.record(now_ms, node(from), services);
            }
        }
        let (ended, still) = running.into_iter().partition(|(at, _, _)| *at <= now_ms);
        running = still;
        let ended: Vec<(u64, usize, Call)> = ended;
        for (_, at, call) in ended {
            nodes[at].uses.record_end(call.tenant);
            if call.tenant == flood {
                nodes[at].arrive(now_ms, flood);
            }
            let own = nodes[at].head(now_ms);
            let draw = draws();
            let receiver = nodes[at].zone.receiver(now_ms, SERVICE, own, draw);
            let to = receiver.map_or(at, |_| 1 - at);
            let Some(call) = nodes[to]
                .start(now_ms)
                .map(|call| (to, call))
                .or_else(|| Some((at, nodes[at].start(now_ms)?)))
            else {
                continue;
            };
            let (to, call) = call;
            if call.tenant == flood {
                large += 1;
            } else {
                waits.push(now_ms - call.arrived_ms);
            }
            running.push((now_ms + RUN_MS, to, call));
        }
    }
    (waits, small, large)
}

#[test]
fn a_flood_on_two_nodes_leaves_no_small_call_without_a_slot() {
    let mut number = 0_u32;
    let mut draws = || {
        number += 1;
        f64::from(number * 37 % 100) / 100.0
    };
    let (mut waits, small, large) = simulate(20, &mut draws);
    waits.sort_unstable();
    println!(
        "{small} small calls, longest wait {:?} ms, {large} large ones",
        waits.last()
    );
    assert_eq!(waits.len(), small, "all are served");
    assert!(waits[small * 95 / 100] <= 2 * RUN_MS);
    assert!(large > 500, "{large}: the rest of the slots is used");
}

proptest! {
    #[test]
    fn a_slot_goes_only_to_a_node_whose_head_precedes(
        heads in prop::collection::vec((0_u32..3, any::<bool>(), -500_i32..500), 1..6),
        own in (0_u32..3, any::<bool>(), -500_i32..500), draw in 0.0_f64..1.0,
    ) {
        let mut zone = ZoneQueues::default();
        let own = position(own.0, own.1, own.2);
        let heads: Vec<QueuePosition> =
            heads.into_iter().map(|(rank, over, slack)| position(rank, over, slack)).collect();
        for (number, head) in heads.iter().enumerate() {
            zone.record(0, node(number), queue(2, 2, *head));
        }
        let receiver = zone.receiver(0, SERVICE, Some(own), draw);
        let preceding = heads.iter().filter(|head| precedes(head, &own));
        let best = preceding.map(|head| (head.rank, head.over_share)).min();
        let got = receiver.map(|at| {
            let number = (0..heads.len()).find(|number| node(*number) == at);
            let head = heads[number.expect("a known node")];
            (head.rank, head.over_share)
        });
        prop_assert_eq!(got, best);
    }
}
