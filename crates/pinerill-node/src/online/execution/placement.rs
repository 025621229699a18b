//! Acquires a slot at an engine, or reports why none is available.

use std::time::Duration;

use pinerill_process::clock::BootTime;
use pinerill_types::outcome::Outcome;

use super::failure::{Stop, DEFAULT_RETRY_AFTER_MS};
use super::Execution;
use crate::dispatcher::{SlotGuard, SlotRequest, SlotUnavailable};
use crate::failure::{FailureCode, RequestFailure};

/// Prompt bytes per token, used to estimate the prompt's length in tokens.
const PROMPT_BYTES_PER_TOKEN: usize = 4;

impl Execution {
    /// Waits for a slot, at most for the service's `queue_ms` and until the
    /// deadline.
    pub(super) async fn acquire(&self) -> Result<SlotGuard, Stop> {
        let demand = SlotRequest {
            plan: self.request.plan.clone(),
            tenant: self.request.tenant.clone(),
            prompt_tokens: (self.request.parsed.prompt.len() / PROMPT_BYTES_PER_TOKEN) as u32,
            blocks: self.blocks.clone(),
            excluded: self.tried_engines.clone(),
            required_version: self.served_version.clone(),
        };
        let remaining = self.request.deadline.remaining();
        let max_wait = Duration::from_millis(self.request.plan.settings.queue_ms).min(remaining);
        let acquired = tokio::select! {
            acquired = self.context.dispatcher.acquire(demand, max_wait) => acquired,
            () = self.delivery.caller_gone() => return Err(Stop::CallerGone),
        };
        acquired.map_err(|reason| Stop::Failed(self.acquire_failure(reason)))
    }

    /// Returns the failure of a request that got no slot. The outcome is unknown
    /// if an earlier attempt may have run.
    fn acquire_failure(&self, reason: SlotUnavailable) -> RequestFailure {
        let expired = BootTime::now() >= self.request.deadline;
        let (code, message, retry_after_ms) = match reason {
            _ if expired => (
                FailureCode::DeadlineExceeded,
                "the deadline passed before there was a place",
                DEFAULT_RETRY_AFTER_MS,
            ),
            SlotUnavailable::NoBackend => (
                FailureCode::NoBackend,
                "no engine serves this service here",
                DEFAULT_RETRY_AFTER_MS,
            ),
            SlotUnavailable::Overloaded(retry_after_ms) => (
                FailureCode::Overloaded,
                "it would wait for a place longer than the service allows",
                retry_after_ms,
            ),
        };
        let mut failure =
            RequestFailure::not_run(code, "queue", message).retry_after(retry_after_ms);
        if self.may_have_run {
            failure.outcome = Outcome::Unknown;
        }
        failure
    }
}
