//! A node's use of its crash ledger: checks requests before they are sent, and broadcasts changes
//! to the other nodes.

use std::pin::pin;

use super::ledger::{BlockedRequest, CrashReport, Verdict};
use super::{RequestFingerprint, RequestIdentity};
use crate::node::Node;

/// Limit on the reports in one datagram. Each takes 40 bytes at most; three block a request.
pub(crate) const MAX_REPORTS_PER_DATAGRAM: usize = 32;

impl Node {
    /// Returns whether a request is known to crash workers. Computes no fingerprint while the
    /// ledger is empty.
    pub(crate) fn is_blocked(&self, request: &RequestIdentity) -> bool {
        if self.crashes.ledger.lock().is_empty() {
            return false;
        }
        let request = request.fingerprint();
        self.crashes.ledger.lock().verdict(request) == Verdict::Blocked
    }

    /// Waits until a request is known to crash workers, so that its caller need not wait any
    /// longer.
    pub(crate) async fn wait_until_blocked(&self, request: &RequestIdentity) {
        loop {
            let mut notified = pin!(self.crashes.blocked.notified());
            notified.as_mut().enable();
            if self.is_blocked(request) {
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

    /// Returns the next reports to send again to other nodes.
    pub(crate) fn crashes_to_resend(&self) -> Vec<CrashReport> {
        let now_ms = self.now_ms();
        self.crashes
            .ledger
            .lock()
            .reports_to_resend(now_ms, MAX_REPORTS_PER_DATAGRAM)
    }

    /// Removes requests whose last crash is older than `CRASH_LIFE_MS`.
    pub(crate) fn forget_old_crashes(&self) {
        self.crashes.ledger.lock().remove_expired(self.now_ms());
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
