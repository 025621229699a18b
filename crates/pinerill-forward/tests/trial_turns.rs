//! Items that hold several blocked parts get trials beside items that hold one of them.

use pinerill_forward::crash::suspect::{BlockedSuspect, Suspect};
use pinerill_forward::crash::trials::{Claim, TrialRunner, Trials};
use pinerill_forward::crash::{PartKey, Requester};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// Length of a play, milliseconds.
const PLAY_MS: u64 = 600_000;
const STEP_MS: usize = 50;
const CRASH_AFTER_MS: u64 = 100;
/// Time from a claim to the moment at which a call preempts its run, milliseconds.
const PREEMPTED_AFTER_MS: u64 = 1_500;

fn part(id: u64) -> Suspect {
    Suspect::Part(PartKey::new(&Requester::Unknown, "svc", id))
}

/// An item that waits at a node for a trial.
struct WaitingItem {
    parts: &'static [u64],
    /// Whether its runs crash their workers; otherwise they end without an outcome, as where calls
    /// preempt them, and their claims are withdrawn.
    is_guilty: bool,
}

/// Returns how long the last of these items waited for its first trial, in milliseconds, and how many
/// trials the others had meanwhile; the time is `None` if it got none.
fn wait_of_last_item(seed: u64, items: &[WaitingItem]) -> (Option<u64>, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut node = Trials::new(&format!("node-{seed}"));
    // The parts of even number crashed last half a round after the others.
    let mut last_crash_ms = [3_500, 0, 3_500, 0, 3_500];
    let mut coming_crashes: Vec<(u64, u64)> = Vec::new();
    let mut preempted: Vec<(u64, Claim)> = Vec::new();
    let mut trials = 0;
    for now_ms in (5_000..PLAY_MS).step_by(STEP_MS) {
        let (happened, later) = coming_crashes
            .into_iter()
            .partition(|(at_ms, _)| *at_ms <= now_ms);
        coming_crashes = later;
        let happened: Vec<(u64, u64)> = happened;
        for (at_ms, id) in happened {
            last_crash_ms[id as usize] = at_ms;
        }
        for (_, claim) in preempted.extract_if(.., |(at_ms, _)| *at_ms <= now_ms) {
            node.withdraw(now_ms, &claim);
        }
        let mut order: Vec<usize> = (0..items.len()).collect();
        order.shuffle(&mut rng);
        for number in order {
            let item = &items[number];
            let blocked = item.parts.iter().map(|id| BlockedSuspect {
                suspect: part(*id),
                last_crash_ms: last_crash_ms[*id as usize],
            });
            let blocked: Vec<BlockedSuspect> = blocked.collect();
            let claim = node.claim(now_ms, TrialRunner::Item, &blocked, rng.gen());
            let Some(claim) = claim else { continue };
            if number + 1 == items.len() {
                return (Some(now_ms), trials);
            }
            trials += 1;
            match item.is_guilty {
                true => {
                    let crashes = item.parts.iter().map(|id| (now_ms + CRASH_AFTER_MS, *id));
                    coming_crashes.extend(crashes);
                }
                false => preempted.push((now_ms + PREEMPTED_AFTER_MS, claim)),
            }
        }
        node.remove_expired(now_ms);
    }
    (None, trials)
}

fn expect_trial_within(longest_ms: u64, items: &[WaitingItem]) {
    for seed in 0..5 {
        let (waited_ms, trials) = wait_of_last_item(seed, items);
        println!("seed {seed}: {waited_ms:?} ms, {trials} trials of others");
        assert!(
            waited_ms.is_some_and(|waited_ms| waited_ms <= longest_ms),
            "seed {seed}: waits {waited_ms:?} of {PLAY_MS} ms beside {trials} trials of others"
        );
    }
}

/// A harmless item needs two parts due at the same moment, and others take each as soon as it is.
#[test]
fn an_item_with_two_blocked_parts_gets_a_trial_beside_items_that_crash_workers_with_one_of_them() {
    expect_trial_within(
        60_000,
        &[
            WaitingItem {
                parts: &[1, 3],
                is_guilty: true,
            },
            WaitingItem {
                parts: &[2, 4],
                is_guilty: true,
            },
            WaitingItem {
                parts: &[1, 2],
                is_guilty: false,
            },
        ],
    );
}

/// The same where no item crashes workers, and trials of the others end without an outcome.
#[test]
fn an_item_with_two_blocked_parts_gets_a_trial_beside_trials_without_outcome() {
    expect_trial_within(
        60_000,
        &[
            WaitingItem {
                parts: &[1],
                is_guilty: false,
            },
            WaitingItem {
                parts: &[2],
                is_guilty: false,
            },
            WaitingItem {
                parts: &[1, 2],
                is_guilty: false,
            },
        ],
    );
}
