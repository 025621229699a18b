//! Ends items at this node: finished runs, lost leases and reports.

use pinerill_types::job::AttemptEnd;
use pinerill_wire::message::AttemptRef;

use super::{Item, Planner, Stage, StopReason};
use crate::batch::message::{Event, Output, RunCommand, RunEnd};

/// Most runs of an item under one lease, each at a different engine.
const MAX_RUNS_PER_LEASE: usize = 4;

impl Planner {
    /// Commands the run of an item to stop. A lost lease replaces the reason of a
    /// stop that is already under way, so that the item is not reported.
    pub(super) fn stop(&mut self, attempt: AttemptRef, reason: StopReason, out: &mut Vec<Output>) {
        let Some(item) = self.items.get_mut(&attempt) else {
            return;
        };
        match &item.stage {
            Stage::AtEngine(engine) => {
                item.stage = Stage::Stopping(engine.clone(), reason);
                out.push(Output::Command {
                    attempt,
                    command: RunCommand::Stop,
                });
            }
            Stage::Stopping(engine, _) if reason == StopReason::LeaseLost => {
                item.stage = Stage::Stopping(engine.clone(), reason);
            }
            Stage::Stopping(..) | Stage::Ready { .. } => {}
        }
    }

    /// Handles a lease that its group has ended: the item is dropped if it waits
    /// and stopped if it is at an engine.
    pub(super) fn end_lease(&mut self, attempt: AttemptRef, out: &mut Vec<Output>) {
        let Some(item) = self.items.get(&attempt) else {
            return;
        };
        out.push(Output::Count(Event::LeaseLost));
        if matches!(item.stage, Stage::Ready { .. }) {
            self.remove(attempt, out);
        } else {
            self.stop(attempt, StopReason::LeaseLost, out);
        }
    }

    /// Handles a lease that has expired by this node's clock. A waiting item is
    /// returned to its group with a report, in case the lease is still valid there.
    pub(super) fn expire_lease(&mut self, now_ms: u64, attempt: AttemptRef, out: &mut Vec<Output>) {
        let item = self.items.get(&attempt);
        if item.is_some_and(|item| matches!(item.stage, Stage::Ready { .. })) {
            out.push(Output::Count(Event::LeaseLost));
            self.return_to_group(now_ms, attempt, out);
        } else {
            self.end_lease(attempt, out);
        }
    }

    /// Removes an item and its partial answer from this node.
    fn remove(&mut self, attempt: AttemptRef, out: &mut Vec<Output>) -> Option<Item> {
        let item = self.items.remove(&attempt)?;
        self.ready.remove(&(item.lease.deadline_ms, attempt));
        out.push(Output::Forget(attempt));
        Some(item)
    }

    /// Removes an item and queues a report of its end.
    fn report(&mut self, now_ms: u64, attempt: AttemptRef, end: AttemptEnd, out: &mut Vec<Output>) {
        if self.remove(attempt, out).is_some() {
            self.outbox.push(now_ms, attempt, end);
        }
    }

    /// Returns an item that is not at an engine to its group. An item whose run was
    /// lost at an engine uses up an attempt, so that an item which crashes engines
    /// is not retried forever.
    pub(super) fn return_to_group(
        &mut self,
        now_ms: u64,
        attempt: AttemptRef,
        out: &mut Vec<Output>,
    ) {
        let item = self.items.get_mut(&attempt);
        let end = match item.and_then(|item| item.lost_cause.take()) {
            Some(message) => AttemptEnd::Indeterminate(message),
            None => AttemptEnd::Released,
        };
        self.report(now_ms, attempt, end, out);
    }

    pub(super) fn on_run_ended(
        &mut self,
        now_ms: u64,
        attempt: AttemptRef,
        end: RunEnd,
        out: &mut Vec<Output>,
    ) {
        let Some(item) = self.items.get_mut(&attempt) else {
            return;
        };
        let (engine, reason) = match &item.stage {
            Stage::Ready { .. } => return,
            Stage::AtEngine(engine) => (engine.clone(), None),
            Stage::Stopping(engine, reason) => (engine.clone(), Some(*reason)),
        };
        item.tried.push(engine.clone());
        item.may_have_run |= may_have_run(&end);
        if let RunEnd::Lost(message) = &end {
            item.lost_cause = Some(message.clone());
        }
        self.engines.record_end(&engine, attempt);
        match end {
            RunEnd::Completed(body) => {
                self.engines.record_success(&engine);
                return self.report(now_ms, attempt, AttemptEnd::Completed(body), out);
            }
            RunEnd::Failed(error) => {
                return self.report(now_ms, attempt, AttemptEnd::Failed(error), out);
            }
            RunEnd::NotRun(_) | RunEnd::Lost(_) => self.engines.record_fault(now_ms, &engine),
            RunEnd::Stopped | RunEnd::StoppedBeforeStart => {}
        }
        if reason == Some(StopReason::LeaseLost) {
            // The group has ended the attempt or leases the item to another node,
            // so a report from this node would be ignored.
            self.remove(attempt, out);
            return;
        }
        if reason == Some(StopReason::Move) {
            out.push(Output::Count(Event::Moved));
        }
        self.resolve_failed_run(now_ms, attempt, reason, out);
    }

    /// Decides what follows a run without an answer: another engine, a return to
    /// the group, or an indeterminate end for an at-most-once item.
    fn resolve_failed_run(
        &mut self,
        now_ms: u64,
        attempt: AttemptRef,
        reason: Option<StopReason>,
        out: &mut Vec<Output>,
    ) {
        let Some(item) = self.items.get_mut(&attempt) else {
            return;
        };
        if item.lease.input.at_most_once && item.may_have_run {
            let cause = item.lost_cause.take();
            let message = cause.unwrap_or_else(|| "stopped at the engine".to_owned());
            return self.report(now_ms, attempt, AttemptEnd::Indeterminate(message), out);
        }
        let ends_here = reason == Some(StopReason::Release)
            || self.drain_until_ms.is_some()
            || item.tried.len() >= MAX_RUNS_PER_LEASE;
        if ends_here {
            return self.return_to_group(now_ms, attempt, out);
        }
        item.stage = Stage::Ready { since_ms: now_ms };
        self.ready.insert((item.lease.deadline_ms, attempt));
    }
}

/// Returns whether the item may have run at the engine, at least in part.
fn may_have_run(end: &RunEnd) -> bool {
    fail::fail_point!("batch-lost-run-counts-as-not-run", |_| false);
    matches!(end, RunEnd::Lost(_) | RunEnd::Stopped)
}
