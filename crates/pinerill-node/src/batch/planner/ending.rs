//! How items end here: runs that ended, leases that were lost, reports.

use pinerill_types::job::AttemptEnd;
use pinerill_wire::message::AttemptRef;

use super::{Item, Planner, Stage, StopReason};
use crate::batch::message::{Event, Output, RunCommand, RunEnd};

/// Engines that are tried under one lease.
const TRIES_LIMIT: usize = 4;

impl Planner {
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

    /// A group says that a lease is no more: the item is none of this node's
    /// business.
    pub(super) fn lose(&mut self, attempt: AttemptRef, out: &mut Vec<Output>) {
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

    /// A lease has run out by this node's clock. What waits here never ran
    /// under it, and its group is told so in case the lease still holds there.
    pub(super) fn expire(&mut self, now_ms: u64, attempt: AttemptRef, out: &mut Vec<Output>) {
        let item = self.items.get(&attempt);
        if item.is_some_and(|item| matches!(item.stage, Stage::Ready { .. })) {
            out.push(Output::Count(Event::LeaseLost));
            self.give_back(now_ms, attempt, out);
        } else {
            self.lose(attempt, out);
        }
    }

    fn remove(&mut self, attempt: AttemptRef, out: &mut Vec<Output>) -> Option<Item> {
        let item = self.items.remove(&attempt)?;
        self.ready.remove(&(item.lease.deadline_ms, attempt));
        out.push(Output::Forget(attempt));
        Some(item)
    }

    /// Ends an item here with a report.
    fn report(&mut self, now_ms: u64, attempt: AttemptRef, end: AttemptEnd, out: &mut Vec<Output>) {
        if self.remove(attempt, out).is_some() {
            self.outbox.push(now_ms, attempt, end);
        }
    }

    /// Gives an item that is not at an engine back to its group. One that broke
    /// off at engines uses up an attempt, so that an item which breaks engines
    /// comes to its end.
    pub(super) fn give_back(&mut self, now_ms: u64, attempt: AttemptRef, out: &mut Vec<Output>) {
        let item = self.items.get_mut(&attempt);
        let end = match item.and_then(|item| item.broke_off.take()) {
            Some(message) => AttemptEnd::Indeterminate(message),
            None => AttemptEnd::Released,
        };
        self.report(now_ms, attempt, end, out);
    }

    pub(super) fn ended(
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
            item.broke_off = Some(message.clone());
        }
        self.board.end(&engine, attempt);
        match end {
            RunEnd::Completed(body) => {
                self.board.success(&engine);
                return self.report(now_ms, attempt, AttemptEnd::Completed(body), out);
            }
            RunEnd::Failed(error) => {
                return self.report(now_ms, attempt, AttemptEnd::Failed(error), out);
            }
            RunEnd::NotRun(_) | RunEnd::Lost(_) => self.board.fault(now_ms, &engine),
            RunEnd::Stopped | RunEnd::StoppedBeforeStart => {}
        }
        if reason == Some(StopReason::LeaseLost) {
            // Its group has ended the attempt, or gives it to another node:
            // nothing that is said of it here counts.
            self.remove(attempt, out);
            return;
        }
        if reason == Some(StopReason::Move) {
            out.push(Output::Count(Event::Moved));
        }
        self.after_failure(now_ms, attempt, reason, out);
    }

    /// A run ended without an answer: elsewhere, back to the group, or the end.
    fn after_failure(
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
            let cause = item.broke_off.take();
            let message = cause.unwrap_or_else(|| "stopped at the engine".to_owned());
            return self.report(now_ms, attempt, AttemptEnd::Indeterminate(message), out);
        }
        let ends_here = reason == Some(StopReason::Release)
            || self.drain_until_ms.is_some()
            || item.tried.len() >= TRIES_LIMIT;
        if ends_here {
            return self.give_back(now_ms, attempt, out);
        }
        item.stage = Stage::Ready { since_ms: now_ms };
        self.ready.insert((item.lease.deadline_ms, attempt));
    }
}

/// Whether nobody can tell after this end if the item ran.
fn may_have_run(end: &RunEnd) -> bool {
    fail::fail_point!("batch-lost-run-counts-as-not-run", |_| false);
    matches!(end, RunEnd::Lost(_) | RunEnd::Stopped)
}
