//! A node's use of its crash ledger: checks requests before they are sent, and broadcasts changes
//! to the other nodes.

use std::pin::pin;

use super::ledger::{BlockedRequest, CrashReport, Verdict};
use super::part_ledger::{BlockedPart, PartCrashReport};
use super::trials::TrialRunner;
use super::{PartKey, RequestFingerprint, RequestIdentity};
use crate::node::Node;

/// Limit on the reports in one datagram. Each takes 40 bytes at most; three block a request.
pub(crate) const MAX_REPORTS_PER_DATAGRAM: usize = 32;

impl Node {
    /// Waits until a call is known to crash workers and may not make a trial run, so that its caller
    /// need not wait any longer.
    pub(crate) async fn wait_until_withheld(&self, call: &RequestIdentity) {
        loop {
            let mut notified = pin!(self.crashes.blocked.notified());
            notified.as_mut().enable();
            if self.withheld_for(TrialRunner::Call, call).is_some() {
                return;
            }
            notified.await;
        }
    }

    /// Clears the crashes under a request that was answered completely: they had another cause.
    pub(super) fn record_answered(&self, request: &RequestIdentity) {
        if self.crashes.ledger.lock().is_empty() {
            return;
        }
        self.clear_request(request.fingerprint());
    }

    /// Clears the crashes under a request and broadcasts that. Returns false if there were none to
    /// clear.
    pub(crate) fn clear_request(&self, request: RequestFingerprint) -> bool {
        let now_ms = self.now_ms();
        let cleared = self.crashes.ledger.lock().clear(now_ms, request);
        self.broadcast_cleared(request, &cleared);
        !cleared.is_empty()
    }

    /// Clears the crashes well before an event that a later run of the request reached.
    pub(super) fn clear_crashes_before(&self, request: &RequestIdentity, last_event: u64) {
        if self.crashes.ledger.lock().is_empty() {
            return;
        }
        let (now_ms, request) = (self.now_ms(), request.fingerprint());
        let cleared = self
            .crashes
            .ledger
            .lock()
            .clear_before(now_ms, request, last_event);
        self.broadcast_cleared(request, &cleared);
    }

    fn broadcast_cleared(&self, request: RequestFingerprint, cleared: &[CrashReport]) {
        if !cleared.is_empty() {
            log::info!(event = "crashes_cleared", request:% = request, crashes = cleared.len(); "");
            self.peers.broadcast_crashes(cleared);
        }
    }

    /// Merges crash reports into the ledger, and returns those that changed it.
    pub(crate) fn merge_crash_reports(&self, reports: &[CrashReport]) -> Vec<CrashReport> {
        let now_ms = self.now_ms();
        let mut ledger = self.crashes.ledger.lock();
        let mut changed = Vec::new();
        for report in reports {
            let before = ledger.verdict(report.request);
            if !ledger.merge(now_ms, report) {
                continue;
            }
            changed.push(*report);
            let after = ledger.verdict(report.request);
            if before != after {
                log_verdict(report, after);
                self.crashes.blocked.notify_waiters();
            }
        }
        changed
    }

    /// Records that a run of a request got past the beginning of its answer: the parts of its prompt
    /// do not crash workers.
    pub(super) fn record_sound_parts(&self, request: &RequestIdentity) {
        let now_ms = self.now_ms();
        for part in request.part_keys() {
            let cleared = self.crashes.parts.lock().record_sound(now_ms, *part);
            self.broadcast_cleared_part(*part, &cleared);
        }
    }

    /// Clears the crashes under a part and broadcasts that. Returns false if there were none to
    /// clear.
    pub(crate) fn clear_part(&self, part: PartKey) -> bool {
        let now_ms = self.now_ms();
        let cleared = self.crashes.parts.lock().clear(now_ms, part);
        self.broadcast_cleared_part(part, &cleared);
        !cleared.is_empty()
    }

    fn broadcast_cleared_part(&self, part: PartKey, cleared: &[PartCrashReport]) {
        if !cleared.is_empty() {
            log::info!(event = "part_crashes_cleared", part:% = part, crashes = cleared.len(); "");
            self.peers.broadcast_crashes(cleared);
        }
    }

    /// Merges reports of crashes under parts into the ledger, and returns those that changed it.
    pub(crate) fn merge_part_reports(&self, reports: &[PartCrashReport]) -> Vec<PartCrashReport> {
        let now_ms = self.now_ms();
        let mut ledger = self.crashes.parts.lock();
        let mut changed = Vec::new();
        for report in reports {
            let before = ledger.verdict(now_ms, report.part);
            if !ledger.merge(now_ms, report) {
                continue;
            }
            changed.push(*report);
            let after = ledger.verdict(now_ms, report.part);
            if before != after {
                log_part_verdict(report, after);
                self.crashes.blocked.notify_waiters();
            }
        }
        changed
    }

    /// Returns the next reports of crashes under parts to send again to other nodes.
    pub(crate) fn part_crashes_to_resend(&self) -> Vec<PartCrashReport> {
        let now_ms = self.now_ms();
        self.crashes
            .parts
            .lock()
            .reports_to_resend(now_ms, MAX_REPORTS_PER_DATAGRAM)
    }

    /// Returns the parts of prompts whose requests this node refuses.
    pub(crate) fn blocked_parts(&self) -> Vec<BlockedPart> {
        self.crashes.parts.lock().blocked(self.now_ms())
    }

    /// Returns the next reports to send again to other nodes.
    pub(crate) fn crashes_to_resend(&self) -> Vec<CrashReport> {
        let now_ms = self.now_ms();
        self.crashes
            .ledger
            .lock()
            .reports_to_resend(now_ms, MAX_REPORTS_PER_DATAGRAM)
    }

    /// Removes requests and parts of prompts whose last crash is too old to count.
    pub(crate) fn forget_old_crashes(&self) {
        self.crashes.ledger.lock().remove_expired(self.now_ms());
        self.crashes.parts.lock().remove_expired(self.now_ms());
        self.crashes.trials.lock().remove_expired(self.now_ms());
    }

    /// Returns the requests that this node refuses.
    pub(crate) fn blocked_requests(&self) -> Vec<BlockedRequest> {
        self.crashes.ledger.lock().blocked(self.now_ms())
    }

    /// Returns the number of requests in the ledger, blocked or not.
    pub(crate) fn suspected_requests(&self) -> usize {
        self.crashes.ledger.lock().len()
    }
}

fn log_verdict(report: &CrashReport, verdict: Verdict) {
    let event = match verdict {
        Verdict::Blocked => "request_blocked",
        Verdict::MayRun => "request_unblocked",
    };
    log::warn!(
        event, request:% = report.request, reach = report.last_event, age_ms = report.age_ms; ""
    );
}

fn log_part_verdict(report: &PartCrashReport, verdict: Verdict) {
    let event = match verdict {
        Verdict::Blocked => "part_blocked",
        Verdict::MayRun => "part_unblocked",
    };
    log::warn!(event, part:% = report.part, age_ms = report.age_ms; "");
}
