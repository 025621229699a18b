//! When nodes make trial runs of what is blocked: soon enough for harmless items, seldom enough for
//! those that do crash their workers.

use pinerill_forward::crash::suspect::{BlockedSuspect, Suspect};
use pinerill_forward::crash::trials::{
    Claim, TrialNotice, TrialRunner, Trials, CALL_TRIAL_DELAY_MS, CLAIM_TIME_MS,
    MAX_CALL_TRIAL_WAIT_MS, MAX_TRIAL_WAIT_MS, TRIAL_DELAY_MS, TRIAL_SPREAD_MS, TRIAL_TIME_MS,
};
use pinerill_forward::crash::{PartKey, RequestFingerprint, Requester};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Time from an announcement or a crash to the moment at which all nodes know it, milliseconds.
const NEWS_MS: u64 = 30;
/// Time from the beginning of a run to the crash that it causes, milliseconds.
const CRASH_AFTER_MS: u64 = 90;
/// Resolution of the plays, milliseconds.
const STEP_MS: usize = 10;
/// Wait without which an item that is owed misses the users' five calm seconds.
const CALM_MS: u64 = 5_000;

fn part(id: u64) -> Suspect {
    Suspect::Part(PartKey::new(&Requester::Unknown, "svc", id))
}

fn blocked(suspect: Suspect, last_crash_ms: u64) -> BlockedSuspect {
    BlockedSuspect {
        suspect,
        last_crash_ms,
    }
}

fn nodes(count: usize) -> Vec<Trials> {
    (0..count)
        .map(|number| Trials::new(&format!("node-{number}")))
        .collect()
}

/// Returns when a node may claim a trial at last, at most a minute after `from_ms`.
fn due_ms(node: &Trials, from_ms: u64, runner: TrialRunner, blocked: BlockedSuspect) -> u64 {
    let times = from_ms..from_ms + 60_000;
    let mut due = times.filter(|now_ms| node.may_claim(*now_ms, runner, &[blocked]));
    due.next().expect("it becomes due")
}

/// Harmless items that were blocked by chance waited for ten minutes, or until their due time.
#[test]
fn a_trial_by_an_item_is_due_within_one_bound() {
    const { assert!(MAX_TRIAL_WAIT_MS < CALM_MS) };
    for node in nodes(30) {
        for suspect in [part(1), Suspect::Request(RequestFingerprint::of_parts(&[]))] {
            let blocked = blocked(suspect, 50_000);
            let due_ms = due_ms(&node, 50_000, TrialRunner::Item, blocked);
            assert!(due_ms >= 50_000 + TRIAL_DELAY_MS);
            assert!(
                due_ms + CLAIM_TIME_MS <= 50_000 + MAX_TRIAL_WAIT_MS,
                "{due_ms}"
            );
        }
    }
}

/// Calls that were blocked by chance were refused for ten minutes.
#[test]
fn a_trial_by_a_call_is_due_later_than_by_an_item_and_within_a_bound() {
    for node in nodes(30) {
        let due_ms = due_ms(&node, 50_000, TrialRunner::Call, blocked(part(1), 50_000));
        assert!(due_ms >= 50_000 + CALL_TRIAL_DELAY_MS);
        assert!(
            due_ms + CLAIM_TIME_MS <= 50_000 + MAX_CALL_TRIAL_WAIT_MS,
            "{due_ms}"
        );
    }
}

fn claim(node: &mut Trials, now_ms: u64, blocked: BlockedSuspect, number: u64) -> Claim {
    let claim = node.claim(now_ms, TrialRunner::Item, &[blocked], number);
    claim.expect("a trial is due")
}

/// The node that makes a trial may be lost or paused.
#[test]
fn a_trial_without_outcome_holds_up_the_next_one_for_a_bounded_time() {
    let (mut lost, mut other) = (Trials::new("lost"), Trials::new("other"));
    let one = blocked(part(1), 1_000);
    let claim = claim(&mut lost, 9_000, one, 7);
    for notice in claim.notices() {
        assert!(other.record(9_000, notice));
        assert!(!other.record(9_010, notice), "known already");
    }
    assert!(!other.may_claim(9_010, TrialRunner::Item, &[one]));
    let due_ms = due_ms(&other, 9_010, TrialRunner::Item, one);
    assert!(due_ms >= 9_000 + TRIAL_TIME_MS);
    assert!(due_ms <= 9_000 + TRIAL_TIME_MS + TRIAL_SPREAD_MS);
    let second = blocked(part(2), 1_000);
    assert!(
        other.may_claim(9_010, TrialRunner::Item, &[second]),
        "others don't wait"
    );
}

/// Runs that a waiting call preempts, or that a full worker refuses, show nothing.
#[test]
fn a_withdrawn_claim_holds_up_nothing() {
    let (mut preempted, mut other) = (Trials::new("preempted"), Trials::new("other"));
    let one = blocked(part(1), 1_000);
    let claim = claim(&mut preempted, 9_000, one, 7);
    for notice in claim.notices() {
        other.record(9_000, notice);
    }
    let withdrawn = preempted.withdraw(9_200, &claim);
    assert_eq!(withdrawn.len(), 1);
    for notice in &withdrawn {
        assert!(other.record(9_210, notice));
        // The announcement may be overtaken.
        assert!(!other.record(9_220, &claim.notices()[0]));
    }
    for node in [&preempted, &other] {
        assert!(node.may_claim(9_220, TrialRunner::Item, &[one]));
    }
}

#[test]
fn a_claim_that_has_grown_old_permits_no_run() {
    let mut node = Trials::new("node");
    let claim = claim(&mut node, 9_000, blocked(part(1), 1_000), 7);
    let known = blocked(part(1), 1_000);
    assert!(claim.permits(9_000 + CLAIM_TIME_MS, &[known]));
    assert!(!claim.permits(9_000 + TRIAL_TIME_MS / 2, &[known]));
    let crashed_since = blocked(part(1), 9_010);
    assert!(!claim.permits(9_000 + CLAIM_TIME_MS, &[known, crashed_since]));
}

/// A node that has restarted knows no rounds, and others took no notice of its claims.
#[test]
fn a_node_that_has_forgotten_the_last_trial_is_told_and_loses_its_claim() {
    let (mut informed, mut restarted) = (Trials::new("informed"), Trials::new("restarted"));
    let one = blocked(part(1), 1_000);
    for now_ms in [9_000, 9_500] {
        let claim = claim(&mut informed, now_ms, one, 7);
        informed.withdraw(now_ms + 200, &claim);
    }
    let last = claim(&mut informed, 10_000, one, 7);
    let outdated = claim(&mut restarted, 10_010, one, 3);
    let notice = outdated.notices()[0];
    assert!(!informed.record(10_020, &notice));
    let later = informed.later_than(&notice).expect("an answer");
    assert_eq!(later, last.notices()[0]);
    assert!(informed.later_than(&later).is_none());
    assert!(restarted.record(10_030, &later));
    assert!(!restarted.is_won(&outdated));
    assert!(informed.is_won(&last));
    assert!(!restarted.may_claim(10_040, TrialRunner::Item, &[one]));
}

/// Items arrive at all nodes, or workers have room again, long after a trial was due.
#[test]
fn one_of_the_nodes_that_claim_a_trial_at_once_makes_it() {
    let mut nodes = nodes(30);
    let one = blocked(part(1), 0);
    let claims: Vec<Claim> = (0u64..)
        .zip(&mut nodes)
        .map(|(number, node)| claim(node, 60_000, one, number * 7 % 30))
        .collect();
    let notices: Vec<TrialNotice> = claims
        .iter()
        .flat_map(|one| one.notices().to_vec())
        .collect();
    for node in &mut nodes {
        for notice in &notices {
            node.record(60_000 + NEWS_MS, notice);
        }
    }
    let won = nodes
        .iter()
        .zip(&claims)
        .filter(|(node, claim)| node.is_won(claim));
    assert_eq!(won.count(), 1);
}

/// What a node hears of later.
enum News {
    Notice(TrialNotice),
    Crash,
}

/// Plays a part that crashes each worker, with items of it at all nodes, and returns the number of
/// crashes. A share of the announcements is lost. Until `slots_from_ms` no worker has a slot.
fn crashes_of_guilty_part(
    seed: u64,
    node_count: usize,
    time_ms: u64,
    lost: f64,
    slots_from_ms: u64,
) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut nodes = nodes(node_count);
    let mut known = vec![blocked(part(seed), 0); node_count];
    let mut claims: Vec<Option<(u64, Claim)>> = vec![None; node_count];
    let mut news: Vec<(u64, usize, News)> = Vec::new();
    let mut crashed = 0;
    for now_ms in (0..time_ms).step_by(STEP_MS) {
        let (arrived, later): (Vec<_>, Vec<_>) =
            news.into_iter().partition(|(at_ms, ..)| *at_ms <= now_ms);
        news = later;
        for (_, node, what) in arrived {
            match what {
                News::Notice(notice) => drop(nodes[node].record(now_ms, &notice)),
                News::Crash => known[node].last_crash_ms = now_ms,
            }
        }
        for node in 0..node_count {
            let others = (0..node_count).filter(|other| *other != node);
            match claims[node].take() {
                Some((made_ms, claim)) if now_ms < made_ms + CLAIM_TIME_MS => {
                    claims[node] = Some((made_ms, claim));
                }
                Some((_, claim)) if nodes[node].is_won(&claim) => {
                    crashed += 1;
                    let at_ms = now_ms + CRASH_AFTER_MS;
                    news.push((at_ms, node, News::Crash));
                    news.extend(others.map(|other| (at_ms + NEWS_MS, other, News::Crash)));
                }
                _ if now_ms < slots_from_ms => {}
                _ => {
                    let one = [known[node]];
                    let claim = nodes[node].claim(now_ms, TrialRunner::Item, &one, rng.gen());
                    let Some(claim) = claim else { continue };
                    for other in others {
                        if !rng.gen_bool(lost) {
                            let notice = News::Notice(claim.notices()[0]);
                            news.push((now_ms + NEWS_MS, other, notice));
                        }
                    }
                    claims[node] = Some((now_ms, claim));
                }
            }
        }
    }
    crashed
}

/// One trial at a time in the whole fleet, not one for each node or item.
#[test]
fn a_part_that_crashes_workers_costs_the_fleet_few_of_them() {
    const PLAY_MS: u64 = 30_000;
    let most = (PLAY_MS / TRIAL_DELAY_MS) as usize;
    for node_count in [1, 3, 30] {
        for slots_from_ms in [0, PLAY_MS / 2] {
            for seed in 0..2 {
                let crashed = crashes_of_guilty_part(seed, node_count, PLAY_MS, 0.0, slots_from_ms);
                println!("{node_count} nodes, slots from {slots_from_ms} ms: {crashed} crashes");
                assert!(crashed >= 1, "it is tried");
                assert!(crashed <= most, "{node_count} nodes: {crashed}");
            }
        }
    }
}

/// A lost announcement costs few workers more.
#[test]
fn trials_stay_few_where_announcements_are_lost() {
    const PLAY_MS: u64 = 30_000;
    let crashed = crashes_of_guilty_part(1, 30, PLAY_MS, 0.2, 0);
    println!("{crashed} crashes");
    assert!(
        crashed <= 2 * (PLAY_MS / TRIAL_DELAY_MS) as usize,
        "{crashed}"
    );
}
