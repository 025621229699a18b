//! Tests which crashes block a request, that nodes with the same reports reach the same
//! verdicts, and that few harmless requests are blocked by chance.

mod support;

use pinerill_calls::directory::WorkerId;
use pinerill_calls::message::encode;
use pinerill_forward::crash::ledger::{
    CrashLedger, CrashReport, Verdict, CRASHES_ANYWHERE, CRASHES_AT_ONE_POINT, CRASH_LIFE_MS,
    MAX_REQUESTS,
};
use pinerill_forward::crash::{RequestFingerprint, WorkerIncarnation};
use proptest::prelude::*;
use rand::{rngs::StdRng, Rng, SeedableRng};
use support::entry;

/// Size of a packet on common networks, in bytes.
const DATAGRAM_BYTES: usize = 1_400;
/// Limit on the reports that nodes send in one datagram.
const MAX_REPORTS_PER_DATAGRAM: usize = 32;

fn worker(number: usize) -> WorkerIncarnation {
    WorkerIncarnation::of(&entry(WorkerId::new(&format!("w{number}"), None)))
}

fn request(number: usize) -> RequestFingerprint {
    RequestFingerprint::of_parts(&[&number.to_le_bytes()])
}

fn crash(of: usize, at: usize, last_event: u64) -> CrashReport {
    CrashReport {
        request: request(of),
        worker: worker(at),
        last_event,
        is_cleared: false,
        age_ms: 0,
    }
}

fn ledger(reports: &[CrashReport]) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for report in reports {
        ledger.merge(1_000, report);
    }
    ledger
}

#[test]
fn a_request_is_blocked_by_its_third_crash_of_a_different_worker() {
    let mut ledger = CrashLedger::default();
    for at in 0..CRASHES_AT_ONE_POINT {
        assert_eq!(ledger.verdict(request(1)), Verdict::MayRun);
        assert!(ledger.merge(1_000, &crash(1, at, 0)));
        // Several nodes may report the same crash.
        assert!(!ledger.merge(1_000, &crash(1, at, 0)));
    }
    assert_eq!(ledger.verdict(request(1)), Verdict::Blocked);
    assert_eq!(ledger.verdict(request(2)), Verdict::MayRun);
    assert_eq!(ledger.blocked(3_000)[0].crashes, 3);
    assert_eq!(ledger.blocked(3_000)[0].last_ms, 2_000);
}

#[test]
fn a_completed_run_clears_known_crashes_and_late_reports_of_them() {
    let reports = [crash(1, 1, 0), crash(1, 2, 0), crash(1, 3, 0)];
    let mut ledger = ledger(&reports);
    assert_eq!(ledger.clear(2_000, request(1)).len(), 3);
    assert_eq!(ledger.verdict(request(1)), Verdict::MayRun);
    for late in reports {
        assert!(!ledger.merge(3_000, &late));
    }
    assert_eq!(ledger.verdict(request(1)), Verdict::MayRun);
    // The request can be blocked by later crashes, such as after a roll-out of a faulty version.
    for at in 4..7 {
        ledger.merge(4_000, &crash(1, at, 0));
    }
    assert_eq!(ledger.verdict(request(1)), Verdict::Blocked);
}

/// A paused node kept requests blocked that all others had cleared.
#[test]
fn a_node_that_missed_a_clearing_hears_of_it_from_the_others() {
    let crashes: Vec<CrashReport> = (0..CRASHES_AT_ONE_POINT)
        .map(|at| crash(1, at, 0))
        .collect();
    let (mut informed, mut paused) = (ledger(&crashes), ledger(&crashes));
    informed.clear(2_000, request(1));
    for now_ms in [40_000, 40_500] {
        for report in paused.reports_to_resend(now_ms, 32) {
            informed.merge(now_ms, &report);
        }
        for report in informed.reports_to_resend(now_ms, 32) {
            paused.merge(now_ms, &report);
        }
    }
    assert_eq!(informed.verdict(request(1)), Verdict::MayRun);
    assert_eq!(paused.verdict(request(1)), Verdict::MayRun);
    assert_eq!(informed.reports_to_resend(50_000, 32), []);
    assert_eq!(paused.reports_to_resend(50_000, 32), []);
}

#[test]
fn crashes_before_the_point_reached_by_a_later_run_do_not_count() {
    let long = ledger(&[crash(1, 1, 10), crash(1, 2, 70), crash(1, 3, 140)]);
    assert_eq!(long.verdict(request(1)), Verdict::MayRun);
    let alike = ledger(&[crash(1, 1, 140), crash(1, 2, 141), crash(1, 3, 138)]);
    assert_eq!(alike.verdict(request(1)), Verdict::Blocked);
    let mut cleared = ledger(&[crash(1, 1, 0), crash(1, 2, 0), crash(1, 3, 0)]);
    assert_eq!(cleared.clear_before(2_000, request(1), 8).len(), 0);
    assert_eq!(cleared.clear_before(2_000, request(1), 9).len(), 3);
    assert_eq!(cleared.verdict(request(1)), Verdict::MayRun);
}

#[test]
fn a_request_that_crashes_workers_at_random_points_is_blocked() {
    let reports = (0..CRASHES_ANYWHERE).map(|at| crash(1, at, at as u64 * 50));
    let all: Vec<CrashReport> = reports.collect();
    assert_eq!(
        ledger(&all[1..]).verdict(request(1)),
        Verdict::MayRun,
        "one crash fewer"
    );
    assert_eq!(ledger(&all).verdict(request(1)), Verdict::Blocked);
}

#[test]
fn expired_crashes_are_removed_and_not_merged_again() {
    let mut ledger = ledger(&[crash(1, 1, 0), crash(1, 2, 0), crash(1, 3, 0)]);
    ledger.remove_expired(1_000 + CRASH_LIFE_MS - 1);
    assert_eq!(ledger.verdict(request(1)), Verdict::Blocked);
    ledger.remove_expired(1_000 + CRASH_LIFE_MS);
    assert!(ledger.is_empty());
    let old = CrashReport {
        age_ms: CRASH_LIFE_MS,
        ..crash(1, 1, 0)
    };
    assert!(!ledger.merge(CRASH_LIFE_MS + 1_000, &old));
}

#[test]
fn many_requests_do_not_evict_a_blocked_one() {
    let mut ledger = ledger(&[crash(0, 1, 0), crash(0, 2, 0), crash(0, 3, 0)]);
    for other in 1..=MAX_REQUESTS + 100 {
        ledger.merge(2_000, &crash(other, 1, 0));
    }
    assert_eq!(ledger.len(), MAX_REQUESTS);
    assert_eq!(ledger.verdict(request(0)), Verdict::Blocked);
}

#[test]
fn crashes_of_blocked_requests_are_resent_always_and_others_only_while_recent() {
    let mut ledger = ledger(&[
        crash(1, 1, 0),
        crash(1, 2, 0),
        crash(1, 3, 0),
        crash(2, 1, 0),
    ]);
    assert_eq!(ledger.reports_to_resend(2_000, 32).len(), 4);
    let later = ledger.reports_to_resend(60_000, 32);
    assert_eq!(later.len(), 3);
    assert!(later.iter().all(|report| report.request == request(1)));
    // Successive calls rotate through all reports.
    let turns: Vec<WorkerIncarnation> = (0..3)
        .flat_map(|_| ledger.reports_to_resend(60_000, 1))
        .map(|report| report.worker)
        .collect();
    let mut different = turns.clone();
    different.sort_unstable();
    different.dedup();
    assert_eq!(different.len(), 3, "{turns:?}");
}

#[test]
fn the_largest_batch_of_reports_fits_into_a_datagram() {
    let longest = CrashReport {
        last_event: u64::MAX,
        age_ms: CRASH_LIFE_MS,
        ..crash(1, 1, 0)
    };
    let reports = vec![longest; MAX_REPORTS_PER_DATAGRAM];
    assert!(encode(&reports).len() + 8 <= DATAGRAM_BYTES);
}

fn any_report() -> impl Strategy<Value = CrashReport> {
    let parts = (
        0_usize..4,
        0_usize..10,
        0_u64..40,
        any::<bool>(),
        0..CRASH_LIFE_MS,
    );
    parts.prop_map(|(of, at, last_event, is_cleared, age_ms)| CrashReport {
        is_cleared,
        age_ms,
        ..crash(of, at, last_event)
    })
}

proptest! {
    #[test]
    fn verdicts_do_not_depend_on_the_order_or_repetition_of_reports(
        reports in proptest::collection::vec(any_report(), 0..40),
        seed: u64,
    ) {
        let straight = ledger(&reports);
        let mut rng = StdRng::seed_from_u64(seed);
        let mut shuffled = reports.clone();
        for _ in 0..reports.len() {
            let again = reports[rng.gen_range(0..reports.len())];
            shuffled.insert(rng.gen_range(0..=shuffled.len()), again);
        }
        let len = shuffled.len();
        for at in 0..len {
            shuffled.swap(at, rng.gen_range(0..len));
        }
        let other = ledger(&shuffled);
        for of in 0..4 {
            prop_assert_eq!(straight.verdict(request(of)), other.verdict(request(of)));
        }
    }
}

/// Simulation of harmless requests on a fleet whose workers crash at random.
struct CrashSimulation {
    rng: StdRng,
    ledger: CrashLedger,
    workers: usize,
    /// Number of worker incarnations that crashed so far; each crashes once.
    incarnations: usize,
    /// Probability that the worker crashes during a run.
    crash_probability: f64,
}

impl CrashSimulation {
    /// Runs a request up to `attempts` times until one completes. Returns whether it was refused.
    fn is_refused(&mut self, number: usize, attempts: usize) -> bool {
        for _ in 0..attempts {
            if self.ledger.verdict(request(number)) == Verdict::Blocked {
                return true;
            }
            if !self.rng.gen_bool(self.crash_probability) {
                self.ledger.clear(1_000, request(number));
                return false;
            }
            self.incarnations += 1;
            let at = self.incarnations * self.workers + self.rng.gen_range(0..self.workers);
            let last_event = self.rng.gen_range(0..10);
            self.ledger.merge(1_000, &crash(number, at, last_event));
        }
        false
    }
}

/// Guards against blocking harmless requests by chance. One worker in five crashes every three
/// seconds, runs take 0.4 s, and a request gets four runs: its caller sends it twice, and each time
/// it runs up to two times.
#[test]
fn fewer_than_one_harmless_request_in_a_thousand_is_refused_during_frequent_crashes() {
    let (requests, days) = (5_000, 20);
    let mut refused = 0;
    for seed in 0..days {
        let mut simulation = CrashSimulation {
            rng: StdRng::seed_from_u64(seed),
            ledger: CrashLedger::default(),
            workers: 18,
            incarnations: 0,
            crash_probability: 0.2 / 3.0 * 0.4,
        };
        refused += (0..requests)
            .filter(|one| simulation.is_refused(*one, 4))
            .count();
    }
    let of = requests * days as usize;
    println!("{refused} of {of} harmless requests refused");
    assert!(refused * 1_000 < of, "{refused} of {of}");
}
