//! Handles the responses of job groups to lease requests, renewals and reports.

use std::sync::Arc;

use pinerill_types::job::{AttemptEnd, LeasedItem};
use pinerill_wire::message::{AttemptRef, AttemptVerdict};

use super::{Item, Planner, Stage};
use crate::batch::message::{Event, NotAnswered, Output};

impl Planner {
    pub(super) fn on_leased(
        &mut self,
        now_ms: u64,
        group: u32,
        result: Result<Vec<LeasedItem>, NotAnswered>,
        out: &mut Vec<Output>,
    ) {
        let Ok(items) = result else {
            self.leases.request_failed(now_ms, group);
            return;
        };
        let attempts: Vec<AttemptRef> = items.iter().map(attempt_ref).collect();
        for want in self.leases.record_leased(group, &attempts) {
            let got = items.iter().filter(|item| item.service == want.service);
            let got = got.count() as u32;
            self.hints.record_response(now_ms, group, &want, got);
        }
        if !items.is_empty() {
            out.push(Output::Count(Event::Leased(items.len() as u64)));
        }
        for (attempt, lease) in attempts.into_iter().zip(items) {
            self.ready.insert((lease.deadline_ms, attempt));
            let item = Item {
                lease: Arc::new(lease),
                stage: Stage::Ready { since_ms: now_ms },
                tried: Vec::new(),
                may_have_run: false,
                lost_cause: None,
            };
            self.items.insert(attempt, item);
        }
    }

    pub(super) fn on_renewed(
        &mut self,
        now_ms: u64,
        group: u32,
        result: Result<Vec<AttemptRef>, NotAnswered>,
        out: &mut Vec<Output>,
    ) {
        match result {
            Err(NotAnswered) => self.leases.renewal_failed(now_ms, group),
            Ok(lost) => {
                self.leases.record_renewed(group, &lost);
                lost.into_iter()
                    .for_each(|attempt| self.end_lease(attempt, out));
            }
        }
    }

    pub(super) fn on_reported(
        &mut self,
        now_ms: u64,
        group: u32,
        result: Result<Vec<AttemptVerdict>, NotAnswered>,
        out: &mut Vec<Output>,
    ) {
        let Ok(verdicts) = result else {
            self.outbox.record_failed(now_ms, group);
            return;
        };
        let reports = self.outbox.record_answered(group);
        for (report, verdict) in reports.into_iter().zip(verdicts) {
            self.leases.remove(report.attempt);
            let label = match verdict {
                AttemptVerdict::Counted => end_label(&report.end),
                AttemptVerdict::Late => "late",
                AttemptVerdict::Unknown => "unknown",
            };
            out.push(Output::Count(Event::Verdict(label)));
        }
    }
}

fn attempt_ref(item: &LeasedItem) -> AttemptRef {
    AttemptRef {
        job: item.job,
        index: item.index,
        attempt: item.attempt,
    }
}

/// Returns the metric label of an end that the group counted.
fn end_label(end: &AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Completed(_) => "completed",
        AttemptEnd::Failed(_) => "failed",
        AttemptEnd::Released => "released",
        AttemptEnd::Indeterminate(_) => "indeterminate",
    }
}
