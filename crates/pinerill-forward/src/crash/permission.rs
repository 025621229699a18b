//! Whether a request may be sent to workers: if nothing in it is blocked, or for a trial run.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::suspect::{BlockedSuspect, Suspect};
use super::trials::{Claim, TrialNotice, TrialRunner, CLAIM_TIME_MS};
use super::RequestIdentity;
use crate::node::Node;

/// The claim of a trial run. It is withdrawn when it is dropped, so that another trial may follow at
/// once, unless the run may have crashed its worker.
pub(crate) struct TrialClaim {
    node: Arc<Node>,
    claim: Claim,
    is_withdrawn_when_dropped: bool,
}

impl TrialClaim {
    /// Returns the time in which the run may begin.
    pub(crate) fn remaining(&self) -> Duration {
        Duration::from_millis(self.claim.remaining_ms(self.node.now_ms()))
    }

    /// Returns whether the run of a request may begin.
    pub(crate) fn permits(&self, request: &RequestIdentity) -> bool {
        let blocked = self.node.blocked_suspects(request);
        self.claim.permits(self.node.now_ms(), &blocked)
    }

    /// Keeps other nodes from trials until it is known whether the run crashed its worker.
    pub(super) fn await_evidence(mut self) {
        self.is_withdrawn_when_dropped = false;
    }
}

impl Drop for TrialClaim {
    fn drop(&mut self) {
        if self.is_withdrawn_when_dropped {
            let now_ms = self.node.now_ms();
            let notices = self
                .node
                .crashes
                .trials
                .lock()
                .withdraw(now_ms, &self.claim);
            self.node.peers.broadcast_crashes(&notices);
        }
    }
}

/// What to do with notices of other nodes.
pub(crate) struct ReceivedNotices {
    /// Notices to forward.
    pub(crate) new: Vec<TrialNotice>,
    /// Notices that the sender has missed.
    pub(crate) later: Vec<TrialNotice>,
}

impl Node {
    /// Returns the first of what blocks a request; `None` if the request may run, or may make a trial
    /// run.
    pub(crate) fn withheld_for(
        &self,
        runner: TrialRunner,
        request: &RequestIdentity,
    ) -> Option<Suspect> {
        let blocked = self.blocked_suspects(request);
        let first = blocked.first()?;
        let trials = self.crashes.trials.lock();
        let may_claim = trials.may_claim(self.now_ms(), runner, &blocked);
        (!may_claim).then_some(first.suspect)
    }

    /// Returns whether a request is known to crash workers.
    pub(crate) fn is_blocked(&self, request: &RequestIdentity) -> bool {
        !self.blocked_suspects(request).is_empty()
    }

    /// Obtains the permission to send a request to a worker: a claim if the run is a trial.
    ///
    /// # Errors
    /// Returns what is known to crash workers if no trial run is due, or another node makes it.
    pub(crate) async fn permit_run(
        self: &Arc<Self>,
        runner: TrialRunner,
        request: &RequestIdentity,
    ) -> Result<Option<TrialClaim>, Suspect> {
        let blocked = self.blocked_suspects(request);
        let Some(first) = blocked.first() else {
            return Ok(None);
        };
        let now_ms = self.now_ms();
        let claim = {
            let mut trials = self.crashes.trials.lock();
            trials.claim(now_ms, runner, &blocked, rand::random())
        };
        let claim = TrialClaim {
            node: self.clone(),
            claim: claim.ok_or(first.suspect)?,
            is_withdrawn_when_dropped: true,
        };
        self.peers.broadcast_crashes(claim.claim.notices());
        sleep(Duration::from_millis(CLAIM_TIME_MS)).await;
        let is_won = self.crashes.trials.lock().is_won(&claim.claim);
        match is_won {
            true => Ok(Some(claim)),
            false => Err(first.suspect),
        }
    }

    /// Takes in notices of trials of other nodes.
    pub(crate) fn record_trials(&self, notices: &[TrialNotice]) -> ReceivedNotices {
        let now_ms = self.now_ms();
        let mut trials = self.crashes.trials.lock();
        let later = notices.iter().filter_map(|one| trials.later_than(one));
        let later = later.collect();
        let new = notices.iter().filter(|one| trials.record(now_ms, one));
        ReceivedNotices {
            new: new.copied().collect(),
            later,
        }
    }

    /// Returns what blocks a request. Computes no fingerprint while the ledgers are empty.
    fn blocked_suspects(&self, request: &RequestIdentity) -> Vec<BlockedSuspect> {
        let mut blocked = self.blocked_parts_of(request);
        let ledger = self.crashes.ledger.lock();
        if !ledger.is_empty() {
            let fingerprint = request.fingerprint();
            let last_crash_ms = ledger.last_blocking_crash_ms(fingerprint);
            blocked.extend(last_crash_ms.map(|last_crash_ms| BlockedSuspect {
                suspect: Suspect::Request(fingerprint),
                last_crash_ms,
            }));
        }
        blocked
    }

    fn blocked_parts_of(&self, request: &RequestIdentity) -> Vec<BlockedSuspect> {
        let now_ms = self.now_ms();
        let ledger = self.crashes.parts.lock();
        if ledger.is_empty() {
            return Vec::new();
        }
        let parts = request.part_keys().iter();
        let blocked = parts.filter_map(|part| {
            Some(BlockedSuspect {
                suspect: Suspect::Part(*part),
                last_crash_ms: ledger.last_blocking_crash_ms(now_ms, *part)?,
            })
        });
        blocked.collect()
    }
}
