//! Tests the division of slots among tenants, what nodes know of tenants' use, and the order of
//! waiting calls that follows from both.

use std::collections::HashMap;
use std::net::SocketAddr;

use pinerill_forward::dispatch::queue::{first_of_each, WaitingCall, WaitingQueue};
use pinerill_forward::dispatch::report::{TenantKey, TenantUse};
use pinerill_forward::dispatch::shares::{Shares, TenantDemand, Weights, DEFAULT_WEIGHT};
use pinerill_forward::dispatch::tenant_use::{TenantUses, MAX_REPORTED_TENANTS};
use pinerill_forward::fleet::ReportOrder;
use proptest::prelude::*;

/// Tolerance for sums of fractions.
const TOLERANCE: f64 = 1e-6;

fn demand(tenant: u32, in_use: u32, waiting: u32) -> TenantDemand {
    TenantDemand {
        tenant: TenantKey(tenant),
        in_use,
        waiting,
        weight: DEFAULT_WEIGHT,
    }
}

fn call(rank: u32, latest_start_ms: u64) -> WaitingCall {
    WaitingCall {
        rank,
        latest_start_ms,
    }
}

fn node(number: u8) -> SocketAddr {
    ([127, 0, 1, number], 7_720).into()
}

fn nth(sequence: u64) -> ReportOrder {
    ReportOrder { start: 1, sequence }
}

fn uses(tenant: u32, running: u32, waiting: u32) -> TenantUse {
    TenantUse {
        tenant: TenantKey(tenant),
        running,
        waiting,
    }
}

#[test]
fn a_small_demand_is_met_and_the_rest_is_divided() {
    let shares = Shares::divide(10.0, &[demand(1, 1, 0), demand(2, 5, 9), demand(3, 4, 9)]);
    assert_eq!(shares.share(TenantKey(1)), 1.0);
    assert_eq!(shares.share(TenantKey(2)), 4.5);
    assert!(shares.is_used_up(TenantKey(2)));
    assert!(!shares.is_used_up(TenantKey(3)));
}

#[test]
fn a_weight_scales_the_share_and_an_absurd_one_counts_as_one() {
    let weighted = |tenant, weight| TenantDemand {
        weight,
        ..demand(tenant, 0, 100)
    };
    let shares = Shares::divide(6.0, &[weighted(1, 2.0), weighted(2, 1.0)]);
    assert_eq!(shares.share(TenantKey(1)), 4.0);
    for absurd in [0.0, -3.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        let shares = Shares::divide(6.0, &[weighted(1, absurd), weighted(2, 1.0)]);
        assert_eq!(shares.share(TenantKey(1)), 3.0, "{absurd}");
    }
}

#[test]
fn a_tenant_that_appears_after_the_division_may_take_what_others_get_at_most() {
    let mut shares = Shares::divide(4.0, &[demand(1, 4, 44)]);
    assert!(!shares.is_used_up(TenantKey(2)));
    let mut taken = 0;
    while !shares.is_used_up(TenantKey(2)) {
        shares.record_start(TenantKey(2));
        taken += 1;
    }
    assert_eq!(taken, 4);
    shares.record_end(TenantKey(2));
    assert!(!shares.is_used_up(TenantKey(2)));
}

#[test]
fn with_no_slot_in_use_one_is_divided() {
    let shares = Shares::of_slots_in_use(&[demand(1, 0, 9), demand(2, 0, 1)]);
    assert!(!shares.is_used_up(TenantKey(1)));
    assert!(!shares.is_used_up(TenantKey(2)));
}

#[test]
fn a_call_within_share_precedes_more_urgent_ones_over_it_but_no_more_urgent_rank() {
    let mut queue = WaitingQueue::default();
    let flood = TenantKey(1);
    let small = TenantKey(2);
    let over = queue.push_of(flood, call(1, 300));
    let within = queue.push_of(small, call(1, 900));
    let urgent = queue.push_of(flood, call(0, 950));
    assert_eq!(queue.head(100, 9), [urgent, over, within]);
    queue.set_shares(Some(Shares::divide(
        4.0,
        &[demand(1, 4, 2), demand(2, 0, 1)],
    )));
    assert_eq!(queue.head(100, 9), [urgent, within, over]);
    assert_eq!(queue.place_of(100, small, &call(1, 990)), (2, false));
    assert_eq!(queue.place_of(100, flood, &call(1, 990)), (3, true));
    queue.set_shares(None);
    assert_eq!(queue.head(100, 9), [urgent, over, within]);
}

#[test]
fn only_as_many_calls_as_a_tenant_has_room_for_are_within_share() {
    let mut queue = WaitingQueue::default();
    for _ in 0..5 {
        queue.push_of(TenantKey(1), call(0, 300));
    }
    let other = queue.push_of(TenantKey(2), call(0, 900));
    queue.set_shares(Some(Shares::divide(
        4.0,
        &[demand(1, 0, 5), demand(2, 1, 1)],
    )));
    let order = queue.order(100, None);
    let over: Vec<bool> = order.iter().map(|queued| queued.over_share).collect();
    assert_eq!(over, [false, false, false, true, true, true]);
    assert_eq!(order[2].ticket, other);
}

#[test]
fn the_part_of_a_waiting_call_follows_the_use_of_its_tenant() {
    let mut queue = WaitingQueue::default();
    let ticket = queue.push_of(TenantKey(1), call(0, 900));
    let other = queue.push_of(TenantKey(2), call(0, 950));
    queue.set_shares(Some(Shares::divide(
        2.0,
        &[demand(1, 0, 1), demand(2, 1, 1)],
    )));
    assert_eq!(queue.head(100, 1), [ticket]);
    let shares = queue.shares_mut().expect("shares");
    shares.record_start(TenantKey(1));
    shares.record_end(TenantKey(2));
    assert_eq!(queue.head(100, 1), [other]);
}

#[test]
fn reports_add_up_and_expire() {
    let mut known = TenantUses::default();
    known.record_start(TenantKey(1));
    assert!(known.record_node(1_000, node(1), nth(2), vec![uses(1, 2, 3)]));
    assert!(!known.record_node(1_000, node(1), nth(1), vec![uses(1, 9, 9)]));
    assert!(known.record_zone(1_000, "zb", nth(1), vec![uses(1, 10, 0)]));
    let in_use = |now_ms| {
        let demands = known.demands(now_ms, &HashMap::new());
        demands.iter().map(|one| one.in_use).sum::<u32>()
    };
    assert_eq!(in_use(1_700), 13);
    assert_eq!(in_use(1_701), 11);
    assert_eq!(in_use(2_501), 1);
    let zone = known.zone_report(1_700, &HashMap::new());
    assert_eq!(zone, [uses(1, 3, 3)]);
    known.forget_reports();
    assert_eq!(known.oldest_report_ms(1_700), None);
}

#[test]
fn a_report_lists_the_heaviest_tenants() {
    let mut known = TenantUses::default();
    let waiting: HashMap<TenantKey, u32> = (1..=1_000)
        .map(|number| (TenantKey(number), number))
        .collect();
    known.record_start(TenantKey(5_000));
    let report = known.own_report(&waiting);
    assert_eq!(report.len(), MAX_REPORTED_TENANTS);
    assert_eq!(report[0], uses(1_000, 0, 1_000));
    let all = known.demands(0, &waiting);
    assert_eq!(all.len(), 1_001);
    known.record_end(TenantKey(5_000));
    assert!(!known.any_in_use());
}

#[test]
fn calls_of_a_service_without_free_slots_do_not_hide_those_of_another() {
    let mut queue = WaitingQueue::default();
    let demands: Vec<_> = (1..9).map(|tenant| demand(tenant, 0, 1)).collect();
    let busy = demand(9, 8, 1);
    queue.set_shares(Some(Shares::of_slots_in_use(
        &[&demands[..], &[busy]].concat(),
    )));
    let other = queue.push_of(TenantKey(9), call(1, 1_000));
    for tenant in 1..9 {
        queue.push_of(TenantKey(tenant), call(1, 2_000));
    }
    assert!(!queue.head(0, 6).contains(&other));
    let scanned = first_of_each(queue.order(0, None), 6, |queued| queued.ticket == other);
    assert_eq!(scanned.len(), 7);
    assert_eq!(scanned.last().map(|queued| queued.ticket), Some(other));
}

#[test]
fn an_absurd_report_of_slots_in_use_does_not_overflow() {
    let mut shares = Shares::of_slots_in_use(&[demand(1, u32::MAX, u32::MAX), demand(2, 1, 1)]);
    shares.record_start(TenantKey(1));
    assert_eq!(shares.in_use(TenantKey(1)), u32::MAX);
    assert!(!shares.is_used_up(TenantKey(2)));
}

fn any_demands() -> impl Strategy<Value = Vec<TenantDemand>> {
    let one = (0_u32..20, 0_u32..60, 0.0_f64..3.0);
    prop::collection::vec(one, 1..40).prop_map(|all| {
        let numbered = all.into_iter().enumerate();
        numbered
            .map(|(tenant, (in_use, waiting, weight))| TenantDemand {
                weight,
                ..demand(tenant as u32, in_use, waiting)
            })
            .collect()
    })
}

fn effective_weight(demand: &TenantDemand) -> f64 {
    if demand.weight > 0.0 {
        demand.weight
    } else {
        DEFAULT_WEIGHT
    }
}

#[test]
fn tenants_weigh_as_much_as_their_limits_allow() {
    let weights = Weights::of_limits([(TenantKey(1), 30.0), (TenantKey(2), 10.0)]);
    assert_eq!(weights.of(TenantKey(1)), 30.0);
    assert_eq!(weights.of(TenantKey(3)), 30.0, "without a limit");
    let weighted = |tenant, in_use| TenantDemand {
        weight: weights.of(TenantKey(tenant)),
        ..demand(tenant, in_use, 20)
    };
    let shares = Shares::divide(8.0, &[weighted(1, 5), weighted(2, 3)]);
    assert_eq!(shares.share(TenantKey(1)), 6.0);
    assert!(!shares.is_used_up(TenantKey(1)));
    assert!(shares.is_used_up(TenantKey(2)));
    let absurd = [0.0, -1.0, f64::NAN, f64::INFINITY];
    let ignored = Weights::of_limits(absurd.map(|rate| (TenantKey(1), rate)));
    assert_eq!(ignored, Weights::default());
}

proptest! {
    #[test]
    fn shares_sum_up_to_the_capacity_or_to_all_demands(
        capacity in 0.0_f64..200.0, demands in any_demands(),
    ) {
        let shares = Shares::divide(capacity, &demands);
        let wanted: f64 = demands.iter().map(|one| f64::from(one.in_use + one.waiting)).sum();
        let sum: f64 = demands.iter().map(|one| shares.share(one.tenant)).sum();
        prop_assert!((sum - wanted.min(capacity)).abs() < TOLERANCE, "{sum}");
    }

    #[test]
    fn no_share_below_its_demand_is_smaller_than_another_by_weight(
        capacity in 0.0_f64..200.0, demands in any_demands(),
    ) {
        let shares = Shares::divide(capacity, &demands);
        for one in &demands {
            let share = shares.share(one.tenant);
            let wanted = f64::from(one.in_use + one.waiting);
            prop_assert!(share <= wanted + TOLERANCE);
            if share > wanted - TOLERANCE {
                continue;
            }
            for other in &demands {
                let per_weight = shares.share(other.tenant) / effective_weight(other);
                prop_assert!(per_weight <= share / effective_weight(one) + TOLERANCE);
            }
        }
    }

    #[test]
    fn every_call_is_in_the_order_once_and_parts_never_mix_within_a_rank(
        calls in prop::collection::vec((0_u32..4, 0_u32..3, 0_u64..1_000), 0..60),
        demands in any_demands(), capacity in 0.0_f64..50.0, now_ms in 0_u64..1_200,
    ) {
        let mut queue = WaitingQueue::default();
        for (tenant, rank, latest_start_ms) in &calls {
            queue.push_of(TenantKey(*tenant), call(*rank, *latest_start_ms));
        }
        queue.set_shares(Some(Shares::divide(capacity, &demands)));
        let order = queue.order(now_ms, None);
        let mut tickets: Vec<u64> = order.iter().map(|queued| queued.ticket).collect();
        let classes: Vec<(u32, bool)> = order
            .iter()
            .map(|queued| (calls[queued.ticket as usize].1, queued.over_share))
            .collect();
        prop_assert!(classes.windows(2).all(|pair| pair[0] <= pair[1]), "{classes:?}");
        tickets.sort_unstable();
        prop_assert!(tickets.into_iter().eq(0..calls.len() as u64));
    }

    #[test]
    fn without_shares_tenants_do_not_change_the_order(
        calls in prop::collection::vec((0_u32..4, 0_u32..3, 0_u64..1_000), 0..60),
        now_ms in 0_u64..1_200,
    ) {
        let (mut with, mut without) = (WaitingQueue::default(), WaitingQueue::default());
        for (tenant, rank, latest_start_ms) in &calls {
            with.push_of(TenantKey(*tenant), call(*rank, *latest_start_ms));
            without.push(call(*rank, *latest_start_ms));
        }
        prop_assert_eq!(with.head(now_ms, 60), without.head(now_ms, 60));
        let newcomer = call(1, 500);
        let placed = with.place_of(now_ms, TenantKey(9), &newcomer);
        prop_assert_eq!(placed, (without.ahead_of(now_ms, &newcomer), false));
    }
}
