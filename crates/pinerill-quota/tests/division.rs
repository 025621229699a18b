//! Guards divided limits: under all faults together the requests admitted in any window stay
//! within limit and tolerance, and deliberate defects are detected. Prints how many calls of
//! tenants within their limits are refused during single faults, beside a single lender.
//!
//! `cargo test -p pinerill-quota --test division -- --nocapture`

mod support;

use pinerill_quota::defect::{turn_on, Defect};
use pinerill_quota::limit::RequestLimit;
use pinerill_quota::renewal::WHOLE;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::fleet::{zone_of, Fleet, Network, Outcome, Tenant, Way, MACHINES, ZONES};

const NODES: usize = 9;
const SEEDS: u64 = 16;
const RUN_MS: u64 = 40_000;

fn tenant(rate: f64, burst: f64, demand_per_s: f64, nodes: &[usize]) -> Tenant {
    Tenant {
        limit: RequestLimit {
            rate_per_s: rate,
            burst,
        },
        demand_per_s,
        nodes: nodes.to_vec(),
    }
}

/// Tenants with demand far beyond their limits, which shows any excess.
fn greedy_tenants() -> Vec<Tenant> {
    let all: Vec<usize> = (0..NODES).collect();
    vec![
        tenant(100.0, 100.0, 300.0, &all),
        tenant(60.0, 200.0, 200.0, &[0, 1]),
        tenant(30.0, 60.0, 120.0, &[2]),
        tenant(5.0, 5.0, 40.0, &all),
        tenant(0.5, 2.0, 12.0, &all),
    ]
}

fn unreliable() -> Network {
    Network {
        lost: 0.03,
        repeated: 0.05,
        late: 0.05,
        latest_ms: 1_500,
    }
}

/// Probabilities with which an outage of a process or zone begins and ends in a tenth of a second.
#[derive(Debug, Clone, Copy)]
struct Outages {
    begin: f64,
    end: f64,
}

/// Outages of 3 s on average.
const SHORT: Outages = Outages {
    begin: 0.004,
    end: 0.03,
};
/// Outages that often last longer than a part. They are rarer, so that a majority remains.
const LONG: Outages = Outages {
    begin: 0.001,
    end: 0.007,
};

/// Injects the faults of one tenth of a second.
fn inject(fleet: &mut Fleet, rng: &mut Pcg64Mcg, outages: Outages) {
    for machine in 0..MACHINES {
        match fleet.is_frozen(machine) {
            true if rng.gen_bool(outages.end) => fleet.thaw(machine),
            false if rng.gen_bool(outages.begin) => fleet.freeze(machine),
            _ => {}
        }
        if rng.gen_bool(0.002) {
            fleet.restart_machine(machine);
        }
    }
    if let Some(leader) = fleet.leader.filter(|_| rng.gen_bool(2.5 * outages.begin)) {
        fleet.freeze(leader);
    }
    for zone in 0..ZONES {
        let toggles = if fleet.is_cut(zone) {
            outages.end
        } else {
            outages.begin
        };
        if rng.gen_bool(toggles) {
            fleet.set_cut(zone, !fleet.is_cut(zone));
        }
    }
    if rng.gen_bool(0.02) {
        fleet.restart_node(rng.gen_range(0..NODES));
    }
}

/// Lets the demand move between zones, or changes a limit.
fn change(fleet: &mut Fleet, rng: &mut Pcg64Mcg, changes_limits: bool) {
    let tenant = rng.gen_range(0..fleet.tenants().len());
    if changes_limits && rng.gen_bool(0.02) {
        let factor = rng.gen_range(0.3..1.5);
        let limit = fleet.tenants()[tenant].limit.scaled(factor);
        fleet.set_limit(tenant, limit);
    }
    if rng.gen_bool(0.02) {
        let zone = rng.gen_range(0..ZONES);
        let nodes = (0..NODES).filter(|node| zone_of(*node) == zone);
        fleet.set_callers(tenant, nodes.collect());
    }
}

/// Returns the largest sum of parts and the excess over the tolerance in a run with all faults.
fn worst_with_faults(seed: u64) -> (u16, f64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x5eed);
    let mut fleet = Fleet::new(Way::Divided, NODES, greedy_tenants(), unreliable(), seed);
    fleet.in_bursts = false;
    let outages = if seed % 4 < 2 { SHORT } else { LONG };
    while fleet.now_ms < RUN_MS {
        fleet.run(100);
        inject(&mut fleet, &mut rng, outages);
        change(&mut fleet, &mut rng, seed.is_multiple_of(2));
    }
    assert!(fleet.admitted() > 1_000, "seed {seed}: little was admitted");
    (fleet.outcome.largest_sum, fleet.excess())
}

fn assert_bound(seed: u64) {
    let (sum, excess) = worst_with_faults(seed);
    println!("seed {seed}: largest sum of parts {sum}, excess {excess:.1}");
    assert!(sum <= WHOLE, "seed {seed}: parts add up to {sum}");
    assert!(excess <= 0.0, "seed {seed}: {excess} beyond the tolerance");
}

#[test]
fn parts_add_up_to_the_limit_and_no_window_exceeds_the_tolerance() {
    (0..SEEDS).for_each(assert_bound);
}

/// Runs the seeds until one shows that the parts exceed the limit.
fn assert_detected(defect: Defect) {
    turn_on(Some(defect));
    let found = (0..SEEDS).find(|seed| worst_with_faults(*seed).0 > WHOLE);
    turn_on(None);
    println!("{defect:?}: found by seed {found:?}");
    assert!(found.is_some(), "the defect is not detected");
}

#[test]
fn growing_before_a_shrink_is_confirmed_is_detected() {
    assert_detected(Defect::GrowsBeforeShrink);
}

#[test]
fn a_new_leader_that_grants_at_once_is_detected() {
    assert_detected(Defect::NewLeaderGrants);
}

#[test]
fn parts_that_never_expire_are_detected() {
    assert_detected(Defect::PartsNeverExpire);
}

#[test]
fn late_answers_that_apply_are_detected() {
    assert_detected(Defect::LateAnswersApply);
}

/// Tenants within their limits: the limit is 1.6 times the mean demand.
fn modest_tenants() -> Vec<Tenant> {
    let modest = |number: usize| {
        let demand_per_s = if number < 4 { 16.0 } else { 2.0 };
        let callers = if number < 4 { 9 } else { 3 };
        let rate = demand_per_s * 1.6;
        let nodes: Vec<usize> = (0..callers)
            .map(|caller| (number * 5 + caller) % NODES)
            .collect();
        tenant(rate, rate, demand_per_s, &nodes)
    };
    (0..30).map(modest).collect()
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    FrozenLeader,
    LostLeader,
    CutZone,
    FrozenZoneLender,
    Restart,
}

/// Returns what happens to calls from the start of a fault until 2 s after its end.
fn outcome(way: Way, fault: Fault, seed: u64) -> Outcome {
    let network = Network::default();
    let mut fleet = Fleet::new(way, NODES, modest_tenants(), network, seed);
    fleet.run(20_000 + seed * 700);
    fleet.outcome = Outcome::default();
    let leader = fleet.leader.unwrap_or(0);
    let other_zone = zone_of(leader + 1);
    match fault {
        Fault::None => {}
        Fault::FrozenLeader => fleet.freeze(leader),
        Fault::LostLeader => fleet.restart_machine(leader),
        Fault::CutZone => fleet.set_cut(other_zone, true),
        Fault::FrozenZoneLender => fleet.freeze(fleet.zone_lender(other_zone)),
        Fault::Restart => fleet.restart_everything(),
    }
    let span_ms = match fault {
        Fault::CutZone => 6_000,
        _ => 7_000,
    };
    fleet.run(span_ms);
    fleet.set_cut(other_zone, false);
    for machine in 0..MACHINES {
        if fleet.is_frozen(machine) {
            fleet.thaw(machine);
        }
    }
    fleet.run(2_000);
    assert!(fleet.excess() <= 0.0, "{fault:?}, seed {seed}");
    fleet.outcome.clone()
}

fn sum(way: Way, fault: Fault) -> Outcome {
    let mut total = Outcome::default();
    for seed in 0..8 {
        let one = outcome(way, fault, seed);
        total.arrived += one.arrived;
        total.refused += one.refused;
        total.slow += one.slow;
        total.baseline += one.baseline;
    }
    println!(
        "{fault:?}, {way:?}: {} calls, {} refused, {} waited 75 ms or longer; one bucket refuses {}",
        total.arrived, total.refused, total.slow, total.baseline
    );
    total
}

/// Returns the number of refused calls that one bucket for the whole fleet would admit.
fn beyond_one_bucket(outcome: &Outcome) -> u64 {
    outcome.refused.saturating_sub(outcome.baseline)
}

#[test]
fn calls_within_the_limits_pass_while_the_leader_is_frozen() {
    let single = sum(Way::SingleLender, Fault::FrozenLeader);
    let divided = sum(Way::Divided, Fault::FrozenLeader);
    assert!(beyond_one_bucket(&divided) * 2 < beyond_one_bucket(&single));
    assert!(divided.slow * 4 < single.slow);
}

#[test]
fn calls_within_the_limits_pass_while_the_leader_is_lost() {
    let single = sum(Way::SingleLender, Fault::LostLeader);
    let divided = sum(Way::Divided, Fault::LostLeader);
    assert!(beyond_one_bucket(&divided) * 2 < beyond_one_bucket(&single));
    assert!(divided.slow * 4 < single.slow);
}

#[test]
fn calls_within_the_limits_pass_while_a_zone_is_cut_off() {
    let single = sum(Way::SingleLender, Fault::CutZone);
    let divided = sum(Way::Divided, Fault::CutZone);
    assert!(beyond_one_bucket(&divided) * 4 < beyond_one_bucket(&single));
    assert!(divided.slow * 4 < single.slow);
}

#[test]
fn without_faults_no_more_calls_are_refused_than_by_a_single_lender() {
    let single = sum(Way::SingleLender, Fault::None);
    let divided = sum(Way::Divided, Fault::None);
    assert!(beyond_one_bucket(&divided) <= beyond_one_bucket(&single));
    assert_eq!(divided.slow, 0);
}

/// Prints what division costs: a part is lost while its holder is frozen or starts again.
#[test]
fn faults_in_which_parts_are_lost_stay_within_the_limits() {
    for fault in [Fault::FrozenZoneLender, Fault::Restart] {
        sum(Way::SingleLender, fault);
        sum(Way::Divided, fault);
    }
}
