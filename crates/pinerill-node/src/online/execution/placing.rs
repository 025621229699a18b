//! A place at an engine, or why there is none.

use std::time::Duration;

use pinerill_process::clock::BootTime;
use pinerill_types::outcome::Outcome;

use super::failure::{Stop, RETRY_AFTER_DEFAULT_MS};
use super::Execution;
use crate::dispatcher::{SlotGuard, SlotRequest, SlotUnavailable};
use crate::failure::{FailureCode, RequestFailure};

/// Bytes of a prompt that count as one token.
const PROMPT_BYTES_PER_TOKEN: usize = 4;

impl Execution {
    pub(super) async fn acquire(&self) -> Result<SlotGuard, Stop> {
        let demand = SlotRequest {
            plan: self.request.plan.clone(),
            tenant: self.request.tenant.clone(),
            prompt_tokens: (self.request.parsed.prompt.len() / PROMPT_BYTES_PER_TOKEN) as u32,
            blocks: self.blocks.clone(),
            excluded: self.tried.clone(),
            required_version: self.begun_with.clone(),
        };
        let left = self.request.deadline.remaining();
        let patience = Duration::from_millis(self.request.plan.settings.queue_ms).min(left);
        let acquired = tokio::select! {
            acquired = self.context.dispatcher.acquire(demand, patience) => acquired,
            () = self.delivery.caller_gone() => return Err(Stop::CallerGone),
        };
        acquired.map_err(|no_place| Stop::Failed(self.no_place(no_place)))
    }

    fn no_place(&self, no_place: SlotUnavailable) -> RequestFailure {
        let expired = BootTime::now() >= self.request.deadline;
        let (code, message, after) = match no_place {
            _ if expired => (
                FailureCode::DeadlineExceeded,
                "the deadline passed before there was a place",
                RETRY_AFTER_DEFAULT_MS,
            ),
            SlotUnavailable::NoBackend => (
                FailureCode::NoBackend,
                "no engine serves this service here",
                RETRY_AFTER_DEFAULT_MS,
            ),
            SlotUnavailable::Overloaded(after) => (
                FailureCode::Overloaded,
                "it would wait for a place longer than the service allows",
                after,
            ),
        };
        let mut failure = RequestFailure::not_run(code, "queue", message).retry_after(after);
        if self.maybe_run {
            failure.outcome = Outcome::Unknown;
        }
        failure
    }
}
