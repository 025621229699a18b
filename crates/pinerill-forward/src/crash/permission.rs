//! Whether a request may be sent to workers: if nothing in it is blocked, or for a trial run.

use super::suspect::{BlockingCrashes, Suspect};
use super::trials::{TrialNotice, TrialRunner};
use super::RequestIdentity;
use crate::node::Node;

/// Whether a request may be sent to a worker now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunPermission {
    /// Nothing in it is known to crash workers.
    Granted,
    /// It is known to crash workers, and a trial run is due.
    Trial,
    /// This is known to crash workers.
    Withheld(Suspect),
}

impl Node {
    /// Returns whether a request may be sent to a worker. [`Node::begin_run`] must confirm it.
    pub(crate) fn run_permission(
        &self,
        runner: TrialRunner,
        request: &RequestIdentity,
    ) -> RunPermission {
        self.permission_for(runner, &self.blocking(request))
    }

    /// Determines whether a request may be sent to a worker, directly before it is. Announces the trial
    /// if the run is one.
    pub(crate) fn begin_run(
        &self,
        runner: TrialRunner,
        request: &RequestIdentity,
    ) -> RunPermission {
        let blocking = self.blocking(request);
        let permission = self.permission_for(runner, &blocking);
        if permission == RunPermission::Trial {
            let suspects = blocking.iter().map(|(suspect, _)| *suspect);
            let notices: Vec<TrialNotice> = suspects.map(TrialNotice::new).collect();
            self.record_trials(&notices);
            self.peers.broadcast_crashes(&notices);
        }
        permission
    }

    fn permission_for(
        &self,
        runner: TrialRunner,
        blocking: &[(Suspect, BlockingCrashes)],
    ) -> RunPermission {
        let Some((first, _)) = blocking.first() else {
            return RunPermission::Granted;
        };
        let now_ms = self.now_ms();
        let trials = self.crashes.trials.lock();
        let is_due = |(suspect, crashes): &(Suspect, BlockingCrashes)| {
            now_ms >= trials.due_ms(runner, *suspect, *crashes) && trials.has_room_for(*suspect)
        };
        match blocking.iter().all(is_due) {
            true => RunPermission::Trial,
            false => RunPermission::Withheld(*first),
        }
    }

    /// Records trials of this or another node, and returns those that are new.
    pub(crate) fn record_trials(&self, notices: &[TrialNotice]) -> Vec<TrialNotice> {
        let now_ms = self.now_ms();
        let mut trials = self.crashes.trials.lock();
        let new = notices.iter().filter(|one| trials.record(now_ms, one));
        new.copied().collect()
    }

    /// Returns what blocks a request. Computes no fingerprint while the ledgers are empty.
    fn blocking(&self, request: &RequestIdentity) -> Vec<(Suspect, BlockingCrashes)> {
        let mut blocking = self.blocking_parts(request);
        let ledger = self.crashes.ledger.lock();
        if !ledger.is_empty() {
            let request = request.fingerprint();
            let crashes = ledger.blocking(request);
            blocking.extend(crashes.map(|crashes| (Suspect::Request(request), crashes)));
        }
        blocking
    }

    fn blocking_parts(&self, request: &RequestIdentity) -> Vec<(Suspect, BlockingCrashes)> {
        let now_ms = self.now_ms();
        let ledger = self.crashes.parts.lock();
        if ledger.is_empty() {
            return Vec::new();
        }
        let parts = request.part_keys().iter();
        let blocking = parts.filter_map(|part| {
            let crashes = ledger.blocking(now_ms, *part)?;
            Some((Suspect::Part(*part), crashes))
        });
        blocking.collect()
    }
}
