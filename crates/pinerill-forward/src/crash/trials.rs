//! Schedules trial runs of requests and parts of prompts that are blocked for crashing workers. Pure:
//! callers pass in the time.
//!
//! A block ends with a sound run, and a blocked suspect gets none, so that a harmless one would stay
//! blocked until its crashes expire. Therefore it makes trial runs. Items, which have no caller who
//! gives up, make them soon; calls, whose callers would lose an answer, seldom. Invariant: a trial run of
//! a blocked item is due at most [`MAX_TRIAL_WAIT_MS`] after the last crash or the beginning of the
//! last trial, however many crashes there were; that of a call [`MAX_CALL_TRIAL_WAIT_MS`] after it.
//!
//! All nodes together make one trial of a suspect at a time. A node announces the trial that it
//! begins ([`TrialNotice`]), and the others wait for what comes of it: a crash, a sound run, or the end
//! of [`TRIAL_TIME_MS`], after which the node counts as paused or lost. So that nodes do not begin at
//! the same moment, each adds a delay that depends on its name. The distribution of these delays is
//! that of feedback timers in multicast protocols (RFC 5740, section 4.2.1): a few nodes out of any
//! number up to [`MAX_NODES`] have a delay that ends before an announcement of the first one arrives.
//! Nodes that can't hear each other make trials of their own, each at the same pace.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::suspect::{BlockingCrashes, Suspect};
use super::RequestFingerprint;

/// Delay in milliseconds between the crash that blocks a suspect and the first trial.
pub const FIRST_TRIAL_DELAY_MS: u64 = 3_000;
/// Delay in milliseconds between a further crash and the next trial. A suspect that does crash its
/// workers costs one of them in this time.
pub const TRIAL_DELAY_MS: u64 = 6_000;
/// Delay in milliseconds between a crash and the next trial by a call.
pub const CALL_TRIAL_DELAY_MS: u64 = 30_000;
/// Longest delay in milliseconds that nodes add to these.
pub const TRIAL_SPREAD_MS: u64 = 1_000;
/// Time in milliseconds in which a trial shows whether the suspect crashes workers.
pub const TRIAL_TIME_MS: u64 = 4_000;
/// Longest time in milliseconds from a crash or from the beginning of a trial to the next trial.
pub const MAX_TRIAL_WAIT_MS: u64 = TRIAL_DELAY_MS + TRIAL_SPREAD_MS;
/// The same for calls.
pub const MAX_CALL_TRIAL_WAIT_MS: u64 = CALL_TRIAL_DELAY_MS + TRIAL_SPREAD_MS;
/// Number of nodes up to which few of them begin a trial at the same moment.
const MAX_NODES: f64 = 1_024.0;
/// Limit on the trials remembered per suspect; the oldest are evicted.
const MAX_TRIALS_PER_SUSPECT: usize = 8;
/// Limit on the suspects with trials. Trials of further ones are not remembered, and neither are they
/// made while so many others go on.
const MAX_SUSPECTS: usize = 4_096;

/// What would make a trial run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialRunner {
    /// An item of a job.
    Item,
    /// A call, whose caller waits.
    Call,
}

impl TrialRunner {
    /// Returns the delay between the last of these crashes and the next trial, milliseconds.
    fn delay_ms(self, crashes: BlockingCrashes) -> u64 {
        match (self, crashes.further) {
            (TrialRunner::Call, _) => CALL_TRIAL_DELAY_MS,
            (TrialRunner::Item, 0) => FIRST_TRIAL_DELAY_MS,
            (TrialRunner::Item, _) => TRIAL_DELAY_MS,
        }
    }
}

/// Announces a trial to the other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialNotice {
    /// What is tried.
    pub suspect: Suspect,
    /// Random number that identifies the trial.
    pub trial: u64,
}

impl TrialNotice {
    /// Announces a new trial.
    pub fn new(suspect: Suspect) -> Self {
        TrialNotice {
            suspect,
            trial: rand::random(),
        }
    }
}

/// One trial of a suspect.
#[derive(Debug, Clone, Copy)]
struct Trial {
    number: u64,
    /// When it began or was heard of, in milliseconds.
    began_ms: u64,
}

/// The trials that this and other nodes have begun.
#[derive(Debug)]
pub struct Trials {
    /// Distinguishes this node's delays from those of other nodes.
    node: String,
    by_suspect: HashMap<Suspect, Vec<Trial>>,
}

impl Trials {
    /// Creates the state of the node with this name.
    pub fn new(node: &str) -> Self {
        Trials {
            node: node.to_owned(),
            by_suspect: HashMap::new(),
        }
    }

    /// Returns when this node may begin a trial of a suspect that these crashes block, in
    /// milliseconds.
    pub fn due_ms(&self, runner: TrialRunner, suspect: Suspect, crashes: BlockingCrashes) -> u64 {
        let after_crash_ms = crashes.last_ms + runner.delay_ms(crashes);
        let last = self.last(suspect);
        let after_trial_ms = last.map_or(0, |trial| trial.began_ms + TRIAL_TIME_MS);
        let round = last.map_or(0, |trial| trial.number) ^ crashes.further as u64;
        after_crash_ms.max(after_trial_ms) + self.spread_ms(suspect, round)
    }

    /// Returns whether a trial of a further suspect can be remembered.
    pub fn has_room_for(&self, suspect: Suspect) -> bool {
        self.by_suspect.len() < MAX_SUSPECTS || self.by_suspect.contains_key(&suspect)
    }

    /// Records a trial that this node begins or another one has announced. Returns whether it is new.
    pub fn record(&mut self, now_ms: u64, notice: &TrialNotice) -> bool {
        if !self.has_room_for(notice.suspect) {
            return false;
        }
        let trials = self.by_suspect.entry(notice.suspect).or_default();
        if trials.iter().any(|trial| trial.number == notice.trial) {
            return false;
        }
        if trials.len() >= MAX_TRIALS_PER_SUSPECT {
            trials.remove(0);
        }
        trials.push(Trial {
            number: notice.trial,
            began_ms: now_ms,
        });
        true
    }

    /// Removes suspects whose last trial is too old to matter.
    pub fn remove_expired(&mut self, now_ms: u64) {
        let is_recent = |trial: &Trial| now_ms < trial.began_ms + TRIAL_TIME_MS + TRIAL_SPREAD_MS;
        self.by_suspect
            .retain(|_, trials| trials.last().is_some_and(is_recent));
    }

    fn last(&self, suspect: Suspect) -> Option<&Trial> {
        self.by_suspect.get(&suspect)?.last()
    }

    /// Returns the delay that this node adds in this round, milliseconds.
    fn spread_ms(&self, suspect: Suspect, round: u64) -> u64 {
        let parts = [
            self.node.as_bytes(),
            &suspect.to_string().into_bytes(),
            &round.to_le_bytes(),
        ];
        let drawn = RequestFingerprint::of_parts(&parts).short();
        let uniform = (drawn as f64 + 1.0) / (u64::MAX as f64 + 1.0);
        let share = 1.0 + uniform.ln() / MAX_NODES.ln();
        (TRIAL_SPREAD_MS as f64 * share.clamp(0.0, 1.0)) as u64
    }
}
