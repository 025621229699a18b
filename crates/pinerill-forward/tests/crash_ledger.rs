//! What is concluded from crashes, and what that costs sound requests.

mod support;

use pinerill_calls::directory::WorkerId;
use pinerill_calls::message::encode;
use pinerill_forward::crash::ledger::{
    CrashLedger, CrashReport, Verdict, CRASHES_ANYWHERE, CRASHES_AT_ONE_POINT, CRASH_LIFE_MS,
    MOST_REQUESTS,
};
use pinerill_forward::crash::{RequestFingerprint, WorkerStart};
use proptest::prelude::*;
use rand::{rngs::StdRng, Rng, SeedableRng};
use support::entry;

/// One packet of the usual networks, and the reports that are told in one.
const DATAGRAM_BYTES: usize = 1_400;
const REPORTS_TOLD: usize = 32;

fn worker(number: usize) -> WorkerStart {
    WorkerStart::of(&entry(WorkerId::new(&format!("w{number}"), None)))
}

fn request(number: usize) -> RequestFingerprint {
    RequestFingerprint::of_parts(&[&number.to_le_bytes()])
}

fn crash(of: usize, at: usize, reach: u64) -> CrashReport {
    CrashReport {
        request: request(of),
        worker: worker(at),
        reach,
        is_cleared: false,
        age_ms: 0,
    }
}

fn ledger(reports: &[CrashReport]) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for report in reports {
        ledger.take(1_000, report);
    }
    ledger
}

#[test]
fn three_crashes_of_different_workers_block_a_request_and_fewer_do_not() {
    let mut ledger = CrashLedger::default();
    for at in 0..CRASHES_AT_ONE_POINT {
        assert_eq!(ledger.verdict(request(1)), Verdict::MayRun);
        assert!(ledger.take(1_000, &crash(1, at, 0)));
        // Several nodes see the same crash.
        assert!(!ledger.take(1_000, &crash(1, at, 0)));
    }
    assert_eq!(ledger.verdict(request(1)), Verdict::Blocked);
    assert_eq!(ledger.verdict(request(2)), Verdict::MayRun);
    assert_eq!(ledger.blocked(3_000)[0].crashes, 3);
    assert_eq!(ledger.blocked(3_000)[0].last_ms, 2_000);
}

#[test]
fn a_run_to_a_good_end_clears_what_is_known_by_then_and_late_news_of_it() {
    let reports = [crash(1, 1, 0), crash(1, 2, 0), crash(1, 3, 0)];
    let mut ledger = ledger(&reports);
    assert_eq!(ledger.clear(2_000, request(1)).len(), 3);
    assert_eq!(ledger.verdict(request(1)), Verdict::MayRun);
    for late in reports {
        assert!(!ledger.take(3_000, &late));
    }
    assert_eq!(ledger.verdict(request(1)), Verdict::MayRun);
    // It can become guilty later, as after a roll-out of a faulty version.
    for at in 4..7 {
        ledger.take(4_000, &crash(1, at, 0));
    }
    assert_eq!(ledger.verdict(request(1)), Verdict::Blocked);
}

#[test]
fn crashes_before_the_point_that_a_later_run_reached_do_not_count() {
    let long = ledger(&[crash(1, 1, 10), crash(1, 2, 70), crash(1, 3, 140)]);
    assert_eq!(long.verdict(request(1)), Verdict::MayRun);
    let alike = ledger(&[crash(1, 1, 140), crash(1, 2, 141), crash(1, 3, 138)]);
    assert_eq!(alike.verdict(request(1)), Verdict::Blocked);
    let mut outlived = ledger(&[crash(1, 1, 0), crash(1, 2, 0), crash(1, 3, 0)]);
    assert_eq!(outlived.outlived(2_000, request(1), 8).len(), 0);
    assert_eq!(outlived.outlived(2_000, request(1), 9).len(), 3);
    assert_eq!(outlived.verdict(request(1)), Verdict::MayRun);
}

#[test]
fn a_request_that_crashes_workers_at_random_moments_is_blocked_too() {
    let reports = (0..CRASHES_ANYWHERE).map(|at| crash(1, at, at as u64 * 50));
    let all: Vec<CrashReport> = reports.collect();
    assert_eq!(
        ledger(&all[1..]).verdict(request(1)),
        Verdict::MayRun,
        "one less"
    );
    assert_eq!(ledger(&all).verdict(request(1)), Verdict::Blocked);
}

#[test]
fn what_is_long_ago_is_forgotten_and_not_learnt_again() {
    let mut ledger = ledger(&[crash(1, 1, 0), crash(1, 2, 0), crash(1, 3, 0)]);
    ledger.forget_old(1_000 + CRASH_LIFE_MS - 1);
    assert_eq!(ledger.verdict(request(1)), Verdict::Blocked);
    ledger.forget_old(1_000 + CRASH_LIFE_MS);
    assert!(ledger.is_empty());
    let old = CrashReport {
        age_ms: CRASH_LIFE_MS,
        ..crash(1, 1, 0)
    };
    assert!(!ledger.take(CRASH_LIFE_MS + 1_000, &old));
}

#[test]
fn many_requests_do_not_push_a_blocked_one_out() {
    let mut ledger = ledger(&[crash(0, 1, 0), crash(0, 2, 0), crash(0, 3, 0)]);
    for other in 1..=MOST_REQUESTS + 100 {
        ledger.take(2_000, &crash(other, 1, 0));
    }
    assert_eq!(ledger.len(), MOST_REQUESTS);
    assert_eq!(ledger.verdict(request(0)), Verdict::Blocked);
}

#[test]
fn blocked_requests_are_told_again_and_again_and_others_only_while_they_are_news() {
    let mut ledger = ledger(&[
        crash(1, 1, 0),
        crash(1, 2, 0),
        crash(1, 3, 0),
        crash(2, 1, 0),
    ]);
    assert_eq!(ledger.to_tell(2_000, 32).len(), 4);
    let later = ledger.to_tell(60_000, 32);
    assert_eq!(later.len(), 3);
    assert!(later.iter().all(|report| report.request == request(1)));
    // A part at a time, all in turn.
    let turns: Vec<WorkerStart> = (0..3)
        .flat_map(|_| ledger.to_tell(60_000, 1))
        .map(|report| report.worker)
        .collect();
    let mut different = turns.clone();
    different.sort_unstable();
    different.dedup();
    assert_eq!(different.len(), 3, "{turns:?}");
}

#[test]
fn as_many_reports_as_are_told_at_once_fit_into_a_datagram() {
    let longest = CrashReport {
        reach: u64::MAX,
        age_ms: CRASH_LIFE_MS,
        ..crash(1, 1, 0)
    };
    let told = vec![longest; REPORTS_TOLD];
    assert!(encode(&told).len() + 8 <= DATAGRAM_BYTES);
}

fn any_report() -> impl Strategy<Value = CrashReport> {
    let parts = (
        0_usize..4,
        0_usize..10,
        0_u64..40,
        any::<bool>(),
        0..CRASH_LIFE_MS,
    );
    parts.prop_map(|(of, at, reach, is_cleared, age_ms)| CrashReport {
        is_cleared,
        age_ms,
        ..crash(of, at, reach)
    })
}

proptest! {
    #[test]
    fn reports_in_any_order_and_any_number_of_times_lead_to_the_same_verdicts(
        reports in proptest::collection::vec(any_report(), 0..40),
        seed: u64,
    ) {
        let straight = ledger(&reports);
        let mut draw = StdRng::seed_from_u64(seed);
        let mut shuffled = reports.clone();
        for _ in 0..reports.len() {
            let again = reports[draw.gen_range(0..reports.len())];
            shuffled.insert(draw.gen_range(0..=shuffled.len()), again);
        }
        let len = shuffled.len();
        for at in 0..len {
            shuffled.swap(at, draw.gen_range(0..len));
        }
        let other = ledger(&shuffled);
        for of in 0..4 {
            prop_assert_eq!(straight.verdict(request(of)), other.verdict(request(of)));
        }
    }
}

/// Sound requests on a fleet whose workers crash now and then for reasons of their own.
struct CrashyDay {
    draw: StdRng,
    ledger: CrashLedger,
    workers: usize,
    /// Starts of workers so far; a crash is one of a start.
    starts: usize,
    /// Chance that a run's worker crashes under it.
    chance: f64,
}

impl CrashyDay {
    /// Runs a request up to `tries` times; whether it was refused.
    fn is_refused(&mut self, number: usize, tries: usize) -> bool {
        for _ in 0..tries {
            if self.ledger.verdict(request(number)) == Verdict::Blocked {
                return true;
            }
            if !self.draw.gen_bool(self.chance) {
                self.ledger.clear(1_000, request(number));
                return false;
            }
            self.starts += 1;
            let at = self.starts * self.workers + self.draw.gen_range(0..self.workers);
            let reach = self.draw.gen_range(0..10);
            self.ledger.take(1_000, &crash(number, at, reach));
        }
        false
    }
}

/// A worker in five crashes each three seconds, runs take 0.4 s and a request has four: two
/// attempts of each of two tries.
#[test]
fn less_than_one_sound_request_in_a_thousand_is_refused_on_days_of_crashes() {
    let (requests, days) = (5_000, 20);
    let mut refused = 0;
    for seed in 0..days {
        let mut day = CrashyDay {
            draw: StdRng::seed_from_u64(seed),
            ledger: CrashLedger::default(),
            workers: 18,
            starts: 0,
            chance: 0.2 / 3.0 * 0.4,
        };
        refused += (0..requests).filter(|one| day.is_refused(*one, 4)).count();
    }
    let of = requests * days as usize;
    println!("{refused} of {of} sound requests refused");
    assert!(refused * 1_000 < of, "{refused} of {of}");
}
