//! What a node does with its ledger: it asks before a request is sent, and tells the other
//! nodes what it learns.

use std::pin::pin;

use super::ledger::{BlockedRequest, CrashReport, Verdict};
use super::{RequestFingerprint, RequestIdentity};
use crate::node::Node;

/// Reports in one datagram: each takes 40 bytes at most, and three block a request.
pub(crate) const REPORTS_TOLD: usize = 32;

impl Node {
    /// Whether a request is known to crash workers. While no worker has crashed, nothing is
    /// hashed.
    pub(crate) fn is_blocked(&self, request: &RequestIdentity) -> bool {
        if self.crashes.ledger.lock().is_empty() {
            return false;
        }
        let request = request.fingerprint();
        self.crashes.ledger.lock().verdict(request) == Verdict::Blocked
    }

    /// Ends once a request is known to crash workers, so that it is not held any longer.
    pub(crate) async fn wait_until_blocked(&self, request: &RequestIdentity) {
        loop {
            let mut changed = pin!(self.crashes.blocked.notified());
            changed.as_mut().enable();
            if self.is_blocked(request) {
                return;
            }
            changed.await;
        }
    }

    /// A run of a request ended well: whatever crashed under it had another cause.
    pub(super) fn request_answered(&self, request: &RequestIdentity) {
        if self.crashes.ledger.lock().is_empty() {
            return;
        }
        self.clear_request(request.fingerprint());
    }

    /// Clears a request; false if nothing was known of it.
    pub(crate) fn clear_request(&self, request: RequestFingerprint) -> bool {
        let now_ms = self.now_ms();
        let cleared = self.crashes.ledger.lock().clear(now_ms, request);
        self.tell_cleared(request, &cleared);
        !cleared.is_empty()
    }

    /// A run of a request got up to an event.
    pub(super) fn request_outlived(&self, request: &RequestIdentity, reach: u64) {
        if self.crashes.ledger.lock().is_empty() {
            return;
        }
        let (now_ms, request) = (self.now_ms(), request.fingerprint());
        let cleared = self.crashes.ledger.lock().outlived(now_ms, request, reach);
        self.tell_cleared(request, &cleared);
    }

    fn tell_cleared(&self, request: RequestFingerprint, cleared: &[CrashReport]) {
        if !cleared.is_empty() {
            log::info!(event = "crashes_cleared", request:% = request, crashes = cleared.len(); "");
            self.peers.tell_crashes(cleared);
        }
    }

    /// Takes in reports; returns those that say something new.
    pub(crate) fn take_crashes(&self, reports: &[CrashReport]) -> Vec<CrashReport> {
        let now_ms = self.now_ms();
        let mut ledger = self.crashes.ledger.lock();
        let mut news = Vec::new();
        for report in reports {
            let before = ledger.verdict(report.request);
            if !ledger.take(now_ms, report) {
                continue;
            }
            news.push(*report);
            let after = ledger.verdict(report.request);
            if before != after {
                log_verdict(report, after);
                self.crashes.blocked.notify_waiters();
            }
        }
        news
    }

    /// What the other nodes are to be told again.
    pub(crate) fn crashes_to_tell(&self) -> Vec<CrashReport> {
        let now_ms = self.now_ms();
        self.crashes.ledger.lock().to_tell(now_ms, REPORTS_TOLD)
    }

    /// Forgets what is long ago.
    pub(crate) fn forget_old_crashes(&self) {
        self.crashes.ledger.lock().forget_old(self.now_ms());
    }

    /// Requests that are refused.
    pub(crate) fn blocked_requests(&self) -> Vec<BlockedRequest> {
        self.crashes.ledger.lock().blocked(self.now_ms())
    }

    /// Requests under which workers crashed a while ago.
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
        event, request:% = report.request, reach = report.reach, age_ms = report.age_ms; ""
    );
}
