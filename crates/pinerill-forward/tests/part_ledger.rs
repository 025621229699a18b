//! Which parts of prompts are blocked for crashing workers, and which are not.

mod support;

use pinerill_calls::directory::WorkerId;
use pinerill_forward::crash::ledger::Verdict;
use pinerill_forward::crash::part_ledger::{
    PartCrashReport, PartLedger, CRASHES_UNDER_PART, CRASHES_UNDER_PROVEN_PART, MAX_PARTS,
    PART_CRASH_LIFE_MS, PROVEN_BLOCK_MS, PROVEN_MS,
};
use pinerill_forward::crash::{PartKey, Requester, WorkerIncarnation};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::entry;

/// Time between two crashes that do not happen at the same moment, milliseconds.
const APART_MS: u64 = 500;

fn part(id: u64) -> PartKey {
    PartKey::new(&Requester::Unknown, "svc", id)
}

fn worker(number: usize) -> WorkerIncarnation {
    WorkerIncarnation::of(&entry(WorkerId::new(&format!("w{number}"), None)))
}

fn crash(part: PartKey, number: usize) -> PartCrashReport {
    PartCrashReport {
        part,
        worker: worker(number),
        is_cleared: false,
        age_ms: 0,
    }
}

/// Merges crashes of different workers under a part, each [`APART_MS`] after the one before, and
/// returns the time of the last one.
fn crash_apart(
    ledger: &mut PartLedger,
    from_ms: u64,
    part: PartKey,
    workers: std::ops::Range<usize>,
) -> u64 {
    let mut now_ms = from_ms;
    for number in workers {
        now_ms += APART_MS;
        ledger.merge(now_ms, &crash(part, number));
    }
    now_ms
}

#[test]
fn a_part_is_blocked_after_crashes_without_a_sound_run_between() {
    let mut ledger = PartLedger::default();
    let now_ms = crash_apart(&mut ledger, 0, part(1), 0..CRASHES_UNDER_PART - 1);
    assert_eq!(ledger.verdict(now_ms, part(1)), Verdict::MayRun);
    ledger.merge(now_ms, &crash(part(1), 0));
    assert_eq!(ledger.verdict(now_ms, part(1)), Verdict::MayRun);
    let now_ms = crash_apart(&mut ledger, now_ms, part(1), 10..11);
    assert_eq!(ledger.verdict(now_ms, part(1)), Verdict::Blocked);
    assert_eq!(ledger.verdict(now_ms, part(2)), Verdict::MayRun);
    assert_eq!(ledger.blocked(now_ms)[0].crashes, CRASHES_UNDER_PART);
    ledger.remove_expired(now_ms + PART_CRASH_LIFE_MS);
    assert!(ledger.is_empty());
}

#[test]
fn a_sound_run_clears_a_part_also_after_its_block() {
    let mut ledger = PartLedger::default();
    let now_ms = crash_apart(&mut ledger, 0, part(1), 0..CRASHES_UNDER_PART);
    assert_eq!(ledger.verdict(now_ms, part(1)), Verdict::Blocked);
    let cleared = ledger.record_sound(now_ms, part(1));
    assert_eq!(cleared.len(), CRASHES_UNDER_PART);
    assert_eq!(ledger.verdict(now_ms, part(1)), Verdict::MayRun);
    let mut other = PartLedger::default();
    for report in cleared {
        other.merge(now_ms, &report);
    }
    assert_eq!(other.verdict(now_ms, part(1)), Verdict::MayRun);
}

/// Sends what each ledger sends again to the other one.
fn exchange(now_ms: u64, ledgers: [&mut PartLedger; 2]) {
    let [one, other] = ledgers;
    for report in one.reports_to_resend(now_ms, 32) {
        other.merge(now_ms, &report);
    }
    for report in other.reports_to_resend(now_ms, 32) {
        one.merge(now_ms, &report);
    }
}

/// A paused node kept parts blocked that all others had cleared.
#[test]
fn a_node_that_missed_a_clearing_hears_of_it_from_the_others() {
    let (mut informed, mut paused) = (PartLedger::default(), PartLedger::default());
    for ledger in [&mut informed, &mut paused] {
        crash_apart(ledger, 0, part(1), 0..CRASHES_UNDER_PART);
    }
    informed.record_sound(3_000, part(1));
    let resumed_ms = 40_000;
    for step in 0..2 {
        exchange(resumed_ms + step * APART_MS, [&mut paused, &mut informed]);
    }
    let now_ms = resumed_ms + 2 * APART_MS;
    assert_eq!(informed.verdict(now_ms, part(1)), Verdict::MayRun);
    assert_eq!(paused.verdict(now_ms, part(1)), Verdict::MayRun);
    let later_ms = now_ms + 10_000;
    assert_eq!(informed.reports_to_resend(later_ms, 32), []);
    assert_eq!(paused.reports_to_resend(later_ms, 32), []);
}

/// Crashes that other nodes reported late blocked a part that had been sound since.
#[test]
fn a_crash_before_a_sound_run_does_not_count_when_it_is_reported_after_it() {
    let mut ledger = PartLedger::default();
    ledger.record_sound(20_000, part(1));
    let late = |number: usize, age_ms| PartCrashReport {
        age_ms,
        ..crash(part(1), number)
    };
    for number in 0..CRASHES_UNDER_PROVEN_PART {
        ledger.merge(20_100, &late(number, 10_000 - number as u64 * APART_MS));
    }
    assert_eq!(ledger.verdict(20_100, part(1)), Verdict::MayRun);
    let resent = ledger.reports_to_resend(20_100, 32);
    assert!(
        resent.iter().all(|report| report.is_cleared),
        "others hear of it"
    );
    let later = crash_apart(
        &mut ledger,
        21_000,
        part(1),
        30..30 + CRASHES_UNDER_PROVEN_PART,
    );
    assert_eq!(
        ledger.verdict(later, part(1)),
        Verdict::Blocked,
        "later crashes count"
    );
}

#[test]
fn workers_that_end_at_the_same_moment_block_no_part_of_what_ran_there() {
    let mut ledger = PartLedger::default();
    for number in 0..30 {
        ledger.merge(1_000 + number as u64 * 3, &crash(part(1), number));
    }
    assert_eq!(ledger.verdict(1_100, part(1)), Verdict::MayRun);
}

#[test]
fn a_proven_part_needs_more_crashes_and_is_blocked_only_while_they_go_on() {
    let mut ledger = PartLedger::default();
    ledger.record_sound(1, part(1));
    let few = CRASHES_UNDER_PROVEN_PART - 1;
    let now_ms = crash_apart(&mut ledger, 1, part(1), 0..few);
    assert_eq!(ledger.verdict(now_ms, part(1)), Verdict::MayRun);
    let now_ms = crash_apart(&mut ledger, now_ms, part(1), few..few + 1);
    assert_eq!(ledger.verdict(now_ms, part(1)), Verdict::Blocked);
    let later_ms = now_ms + PROVEN_BLOCK_MS;
    assert_eq!(ledger.verdict(later_ms, part(1)), Verdict::MayRun);
}

#[test]
fn a_sound_run_long_ago_proves_nothing() {
    let mut ledger = PartLedger::default();
    ledger.record_sound(1, part(1));
    let now_ms = crash_apart(&mut ledger, PROVEN_MS + 1, part(1), 0..CRASHES_UNDER_PART);
    assert_eq!(ledger.verdict(now_ms, part(1)), Verdict::Blocked);
}

#[test]
fn nobody_gets_a_part_of_another_caller_or_service_blocked() {
    let mine = PartKey::new(&Requester::Tenant("one".to_owned()), "svc", 1);
    let theirs = PartKey::new(&Requester::Tenant("two".to_owned()), "svc", 1);
    let elsewhere = PartKey::new(&Requester::Tenant("one".to_owned()), "other", 1);
    let mut ledger = PartLedger::default();
    let now_ms = crash_apart(&mut ledger, 0, theirs, 0..CRASHES_UNDER_PART);
    assert_eq!(ledger.verdict(now_ms, theirs), Verdict::Blocked);
    assert_eq!(ledger.verdict(now_ms, mine), Verdict::MayRun);
    assert_eq!(ledger.verdict(now_ms, elsewhere), Verdict::MayRun);
}

#[test]
fn the_ledger_is_bounded_and_keeps_the_parts_that_are_blocked() {
    let mut ledger = PartLedger::default();
    crash_apart(&mut ledger, 0, part(1), 0..CRASHES_UNDER_PART);
    for number in 0..MAX_PARTS as u64 + 10 {
        ledger.merge(10_000, &crash(part(100 + number), 1));
    }
    assert_eq!(ledger.len(), MAX_PARTS);
    assert_eq!(ledger.verdict(10_000, part(1)), Verdict::Blocked);
}

#[test]
fn crashes_under_blocked_parts_are_sent_again_among_many_others() {
    let mut ledger = PartLedger::default();
    let now_ms = crash_apart(&mut ledger, 0, part(1), 0..CRASHES_UNDER_PART);
    for number in 0..500 {
        ledger.merge(now_ms, &crash(part(100 + number), 1));
    }
    let resent = ledger.reports_to_resend(now_ms, 32);
    let blocking = resent.iter().filter(|report| report.part == part(1));
    assert_eq!(blocking.count(), CRASHES_UNDER_PART);
    assert_eq!(resent.len(), 32);
    let later_ms = now_ms + 60_000;
    let resent = ledger.reports_to_resend(later_ms, 32);
    assert_eq!(resent.len(), CRASHES_UNDER_PART);
}

proptest! {
    #[test]
    fn reports_lead_to_the_same_verdict_in_any_order(
        mut reports in prop::collection::vec((0..6usize, 0..3_000u64, any::<bool>()), 1..20),
        seed in any::<u64>(),
    ) {
        // All reports of a crash state the same time.
        let crashes: Vec<u64> = reports.iter().map(|(_, at_ms, _)| *at_ms).collect();
        for (number, at_ms, _) in &mut reports {
            *at_ms = crashes[*number % crashes.len()];
        }
        let merged = |order: &[(usize, u64, bool)]| {
            let mut ledger = PartLedger::default();
            for (number, at_ms, is_cleared) in order {
                let report = PartCrashReport {
                    is_cleared: *is_cleared,
                    age_ms: 3_000 - at_ms,
                    ..crash(part(1), *number)
                };
                ledger.merge(3_000, &report);
            }
            ledger.verdict(3_000, part(1))
        };
        let mut shuffled = reports.clone();
        let mut rng = StdRng::seed_from_u64(seed);
        for index in (1..shuffled.len()).rev() {
            shuffled.swap(index, rng.gen_range(0..=index));
        }
        shuffled.extend_from_slice(&reports);
        prop_assert_eq!(merged(&reports), merged(&shuffled));
    }
}

/// Workers of a fleet of which some crash, and requests that run there.
struct Play {
    rng: StdRng,
    ledger: PartLedger,
    /// Number of the incarnation of each worker, and when it is up.
    workers: Vec<(usize, u64)>,
    incarnations: usize,
    /// Runs under way: worker, parts, end, whether it crashes its worker.
    runs: Vec<(usize, Vec<PartKey>, u64, bool)>,
    sent: usize,
    refused: usize,
}

const WORKERS: usize = 18;
/// Part that all requests hold, and the first of those that few of them share.
const SYSTEM_PROMPT: u64 = 1;
const DOCUMENTS: u64 = 1_000;
const GUILTY: u64 = 2;
const RUN_MS: u64 = 300;
const CRASH_MS: u64 = 90;
const DOWN_MS: u64 = 2_500;

impl Play {
    fn new(seed: u64) -> Self {
        Play {
            rng: StdRng::seed_from_u64(seed),
            ledger: PartLedger::default(),
            workers: (0..WORKERS).map(|number| (number, 0)).collect(),
            incarnations: WORKERS,
            runs: Vec::new(),
            sent: 0,
            refused: 0,
        }
    }

    fn crash(&mut self, now_ms: u64, index: usize) {
        let (incarnation, up_ms) = self.workers[index];
        if now_ms < up_ms {
            return;
        }
        let (ended, others) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.0 == index);
        self.runs = others;
        let ended: Vec<(usize, Vec<PartKey>, u64, bool)> = ended;
        for part in ended.iter().flat_map(|run| &run.1) {
            self.ledger.merge(now_ms, &crash(*part, incarnation));
        }
        self.workers[index] = (self.incarnations, now_ms + DOWN_MS);
        self.incarnations += 1;
    }

    fn send(&mut self, now_ms: u64, parts: Vec<PartKey>, is_guilty: bool) {
        let blocked = |part: &PartKey| self.ledger.verdict(now_ms, *part) == Verdict::Blocked;
        if parts.iter().any(blocked) {
            self.refused += usize::from(!is_guilty);
            self.sent += usize::from(!is_guilty);
            return;
        }
        let up: Vec<usize> = (0..WORKERS)
            .filter(|index| now_ms >= self.workers[*index].1)
            .collect();
        self.sent += usize::from(!is_guilty);
        if up.is_empty() {
            return;
        }
        let index = up[self.rng.gen_range(0..up.len())];
        let time = if is_guilty { CRASH_MS } else { RUN_MS };
        self.runs.push((index, parts, now_ms + time, is_guilty));
    }

    fn end_runs(&mut self, now_ms: u64) {
        let due: Vec<(usize, Vec<PartKey>, u64, bool)> = self
            .runs
            .iter()
            .filter(|run| run.2 <= now_ms)
            .cloned()
            .collect();
        self.runs.retain(|run| run.2 > now_ms);
        for (index, parts, _, is_guilty) in due {
            if is_guilty {
                self.runs.push((index, parts, u64::MAX, true));
                self.crash(now_ms, index);
                continue;
            }
            for part in parts {
                self.ledger.record_sound(now_ms, part);
            }
        }
    }

    fn sound_parts(&mut self) -> Vec<PartKey> {
        let document = DOCUMENTS + self.rng.gen_range(0..60);
        vec![part(SYSTEM_PROMPT), part(document)]
    }
}

#[test]
fn crashes_for_other_reasons_block_fewer_than_one_sound_request_in_a_thousand() {
    let (mut sent, mut refused) = (0, 0);
    for seed in 0..6 {
        let mut play = Play::new(seed);
        for now_ms in 0..60_000 {
            play.end_runs(now_ms);
            // One worker in five crashes every three seconds on average.
            if play.rng.gen_bool(WORKERS as f64 / 5.0 / 3_000.0) {
                let index = play.rng.gen_range(0..WORKERS / 5 + 1);
                play.crash(now_ms, index);
            }
            if play.rng.gen_bool(0.15) {
                let parts = play.sound_parts();
                play.send(now_ms, parts, false);
            }
            let verdict = play.ledger.verdict(now_ms, part(SYSTEM_PROMPT));
            assert_eq!(verdict, Verdict::MayRun, "seed {seed} at {now_ms} ms");
        }
        sent += play.sent;
        refused += play.refused;
    }
    println!("{refused} of {sent} sound requests refused");
    assert!(refused * 1_000 < sent, "{refused} of {sent}");
}

#[test]
fn a_crashing_part_is_blocked_soon_and_the_part_that_all_requests_hold_is_not() {
    for seed in 0..40 {
        let mut play = Play::new(seed);
        let mut fifth_ms = None;
        let mut later = 0;
        for now_ms in 0..30_000 {
            play.end_runs(now_ms);
            if play.rng.gen_bool(0.14) {
                let parts = play.sound_parts();
                play.send(now_ms, parts, false);
            }
            if now_ms > 1_000 && play.rng.gen_bool(0.012) {
                let before = play.runs.len();
                play.send(now_ms, vec![part(SYSTEM_PROMPT), part(GUILTY)], true);
                let ran = play.runs.len() > before;
                later += usize::from(ran && fifth_ms.is_some_and(|at_ms| now_ms > at_ms + 3_000));
            }
            if play.incarnations == WORKERS + 5 {
                fifth_ms.get_or_insert(now_ms);
            }
            let verdict = play.ledger.verdict(now_ms, part(SYSTEM_PROMPT));
            assert_eq!(verdict, Verdict::MayRun, "seed {seed} at {now_ms} ms");
        }
        assert!(later <= 3, "seed {seed}: {later} later runs");
        assert!(
            play.refused * 100 < play.sent,
            "seed {seed}: {}",
            play.refused
        );
    }
}

/// Crashes that are known to have another cause delayed the trials of a part.
#[test]
fn a_cleared_crash_does_not_move_the_last_crash_that_blocks_a_part() {
    let mut ledger = PartLedger::default();
    let last_ms = crash_apart(&mut ledger, 0, part(1), 0..CRASHES_UNDER_PART);
    let cleared = PartCrashReport {
        is_cleared: true,
        ..crash(part(1), 50)
    };
    ledger.merge(last_ms + 6_000, &cleared);
    let blocking_ms = ledger.last_blocking_crash_ms(last_ms + 6_000, part(1));
    assert_eq!(blocking_ms, Some(last_ms));
}
