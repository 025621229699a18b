//! Rules of the division of limits, one by one: who lends in a zone, how parts follow demand, and
//! what the leader makes of late and repeated requests.

use std::collections::BTreeMap;

use pinerill_quota::division::{Division, RESERVE};
use pinerill_quota::follow_up::{combined, follow_up};
use pinerill_quota::fraction::divided_tolerance;
use pinerill_quota::limit::Tolerance;
use pinerill_quota::message::{Shortage, TenantAsk, TenantLoan};
use pinerill_quota::renewal::{Holding, PartAnswer, PartRequest, Session, PART_LIFETIME_MS, WHOLE};

/// Longer than the lifetime of a part by the leader's clock.
const LONG_AFTER_MS: u64 = PART_LIFETIME_MS + 1_000;

fn members() -> BTreeMap<String, String> {
    let all = [("a1", "za"), ("a2", "za"), ("b1", "zb"), ("c1", "zc")];
    all.map(|(machine, zone)| (machine.to_owned(), zone.to_owned()))
        .into()
}

fn request(machine: &str, session: Option<Session>, number: u64, part: u16) -> PartRequest {
    let holding = Holding {
        tenant: "t".to_owned(),
        part,
        demand: if machine == "a1" { 5_000 } else { 0 },
    };
    PartRequest {
        machine: machine.to_owned(),
        session,
        number,
        holdings: vec![holding],
    }
}

fn session(division: &mut Division, now_ms: u64, machine: &str) -> Session {
    let tenants = ["t"].into_iter();
    match division.answer(now_ms, &request(machine, None, 1, 0), tenants) {
        Some(PartAnswer::Session(session)) => session,
        other => panic!("{other:?}"),
    }
}

/// Sends a request and returns the granted part; `None` if it was not answered.
fn ask(
    division: &mut Division,
    now_ms: u64,
    (machine, session): (&str, Session),
    (number, part): (u64, u16),
) -> Option<u16> {
    let request = request(machine, Some(session), number, part);
    match division.answer(now_ms, &request, ["t"].into_iter())? {
        PartAnswer::Parts(parts) => Some(parts.first().map_or(0, |one| one.part)),
        PartAnswer::Session(session) => panic!("{session:?}"),
    }
}

/// Begins a term in which all machines have reported that they hold nothing; `a1` first.
fn fresh() -> (Division, BTreeMap<String, Session>) {
    let mut division = Division::begin(3, 0, members());
    let mut sessions = BTreeMap::new();
    for machine in members().into_keys() {
        let one = session(&mut division, 1, &machine);
        ask(&mut division, 2, (&machine, one), (2, 0));
        sessions.insert(machine, one);
    }
    (division, sessions)
}

#[test]
fn a_zone_with_all_demand_gets_nearly_all() {
    let (mut division, sessions) = fresh();
    let mut part = 0;
    for round in 0..20 {
        let number = 10 + round;
        let now_ms = 100 + round * 225;
        part = ask(
            &mut division,
            now_ms,
            ("a1", sessions["a1"]),
            (number, part),
        )
        .expect("a part");
        assert!(division.own_part(now_ms, "t") >= RESERVE);
    }
    assert!(part >= 700, "{part}");
    let floor = ask(&mut division, 9_000, ("b1", sessions["b1"]), (10, 0));
    assert!(floor.is_some_and(|floor| floor >= 30), "{floor:?}");
}

#[test]
fn a_second_machine_of_a_zone_gets_a_part_only_after_the_lease_of_the_first() {
    let (mut division, sessions) = fresh();
    let first = ask(&mut division, 100, ("a1", sessions["a1"]), (10, 0));
    assert!(first.is_some_and(|part| part > 0));
    let second = ("a2", sessions["a2"]);
    assert_eq!(ask(&mut division, 9_000, second, (10, 0)), Some(0));
    let later = ask(&mut division, 100 + LONG_AFTER_MS, second, (11, 0));
    assert!(later.is_some_and(|part| part > 0));
    let former = ("a1", sessions["a1"]);
    let held = first.unwrap_or(0);
    let again = ask(&mut division, 101 + LONG_AFTER_MS, former, (11, held));
    assert_eq!(again, Some(0), "what it held has expired");
}

#[test]
fn late_requests_and_those_of_former_processes_are_not_answered() {
    let (mut division, sessions) = fresh();
    let former = ("a1", sessions["a1"]);
    assert!(ask(&mut division, 100, former, (10, 0)).is_some());
    assert_eq!(ask(&mut division, 101, former, (10, 0)), None);
    assert_eq!(ask(&mut division, 101, former, (9, 0)), None);
    let next = session(&mut division, 200, "a1");
    assert!(ask(&mut division, 201, ("a1", next), (2, 0)).is_some());
    assert_eq!(ask(&mut division, 202, former, (11, 0)), None);
}

#[test]
fn a_new_leader_keeps_what_is_reported_and_grants_nothing_until_all_have_reported() {
    let mut division = Division::begin(4, 50_000, members());
    let mut sessions = BTreeMap::new();
    for machine in members().into_keys() {
        sessions.insert(machine.clone(), session(&mut division, 50_001, &machine));
    }
    let a1 = ("a1", sessions["a1"]);
    assert_eq!(ask(&mut division, 50_010, a1, (10, 150)), Some(150));
    assert_eq!(division.own_part(50_010, "t"), RESERVE);
    for machine in ["a2", "b1"] {
        let part = ask(&mut division, 50_020, (machine, sessions[machine]), (10, 0));
        assert_eq!(part, Some(0), "{machine}");
    }
    assert_eq!(ask(&mut division, 50_030, a1, (11, 150)), Some(150));
    let last = ask(&mut division, 50_040, ("c1", sessions["c1"]), (10, 0));
    assert!(last.is_some_and(|part| part > 0));
    let grown = ask(&mut division, 50_050, a1, (12, 150));
    assert!(grown.is_some_and(|part| part > 150), "{grown:?}");
}

#[test]
fn a_new_leader_grants_once_all_leases_of_its_predecessors_are_over() {
    let mut division = Division::begin(4, 50_000, members());
    let a1 = session(&mut division, 50_001, "a1");
    assert_eq!(ask(&mut division, 50_002, ("a1", a1), (2, 0)), Some(0));
    let later_ms = 50_000 + LONG_AFTER_MS;
    let granted = ask(&mut division, later_ms, ("a1", a1), (3, 0));
    assert!(granted.is_some_and(|part| part > 0));
}

#[test]
fn a_single_zone_has_no_parts() {
    let members: BTreeMap<_, _> = [("a1".to_owned(), "za".to_owned())].into();
    let mut division = Division::begin(1, 0, members);
    assert_eq!(division.own_part(0, "t"), WHOLE);
    let a1 = session(&mut division, 1, "a1");
    assert_eq!(ask(&mut division, 2, ("a1", a1), (2, 0)), Some(0));
    assert_eq!(division.own_part(3, "t"), WHOLE);
}

#[test]
fn a_tolerance_below_one_request_for_each_part_is_not_divided() {
    let tolerance = Tolerance {
        window_ms: 5_000,
        share: 0.1,
        requests: 4.0,
    };
    let divided = divided_tolerance(&tolerance, 4).expect("large enough");
    assert_eq!((divided.requests, divided.share), (0.0, 0.1));
    assert_eq!(divided_tolerance(&tolerance, 5), None);
}

#[test]
fn the_leader_is_asked_for_what_the_zone_lender_lacks() {
    let ask = |tenant: &str, urgent, ahead| TenantAsk {
        tenant: tenant.to_owned(),
        held: 2,
        returned: 0,
        urgent,
        ahead,
    };
    let limited = |urgent, next_ms| TenantLoan {
        urgent,
        ahead: 0,
        shortage: Some(Shortage::LimitReached { next_ms }),
    };
    let no_limit = TenantLoan {
        urgent: 0,
        ahead: 0,
        shortage: Some(Shortage::NoLimit),
    };
    let asks = vec![ask("a", 3, 4), ask("b", 2, 0), ask("c", 1, 0)];
    let rest = follow_up(asks, &[Some(limited(1, 70)), None, Some(no_limit)]);
    let wanted: Vec<_> = rest
        .asks
        .iter()
        .map(|ask| (ask.urgent, ask.ahead))
        .collect();
    assert_eq!(wanted, [(2, 0), (2, 0)]);
    let shortages: Vec<_> = rest.answered.1.iter().map(|loan| loan.shortage).collect();
    assert_eq!(shortages, [None, Some(Shortage::NoLimit)]);
    let from_leader = [limited(0, 400), limited(0, 400)];
    let loans = combined(&from_leader, &rest.without_leader);
    assert_eq!(loans, [limited(0, 70), limited(0, 400)]);
}
