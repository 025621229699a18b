//! Runs one attempt at one engine: optional prefill at another engine, sending
//! the request, and the handling of refusals and interrupts.

use std::sync::Arc;
use std::time::Duration;

use pinerill_process::clock::sleep_until;
use reqwest::Response;

use super::failure::{refusal_code, AttemptStop, Interrupt};
use super::Execution;
use crate::dispatcher::SlotGuard;
use crate::engine::{CancelAnswer, EngineCall, Finish, Priority, Refusal, SendError, SendOutcome};
use crate::failure::FailureCode;
use crate::membership::{Engine, Served};
use crate::online::prefill::{choose_prefill, prepare_prefill};
use crate::online::retry::AttemptEnd;

/// Timeout of a cancel whose answer decides whether the request may have run.
const AWAITED_CANCEL_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of a cancel that runs in the background and whose answer is ignored.
const BACKGROUND_CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

impl Execution {
    /// Runs the request at the engine of `slot` until the answer is complete or
    /// the attempt fails.
    pub(super) async fn attempt(&mut self, slot: &SlotGuard) -> Result<Finish, AttemptStop> {
        let engine = slot.engine.clone();
        let Some(served) = engine.serves(&self.request.plan) else {
            let message = "it no longer holds the model".to_owned();
            let mut failure = self.failure(&engine, AttemptEnd::NotRun, "choose", message);
            failure.code = FailureCode::NoBackend;
            return Err(AttemptStop::Failure(failure));
        };
        let kv_handle = match self.prefill(&engine, &served).await {
            Ok(kv_handle) => kv_handle,
            Err(interrupt) => return Err(self.on_interrupt(&engine, interrupt).await),
        };
        let sent = match self.send(&engine, &served, kv_handle).await {
            Ok(sent) => sent,
            Err(interrupt) => return Err(self.on_interrupt(&engine, interrupt).await),
        };
        let response = match sent {
            Ok(SendOutcome::Answer(response)) => {
                self.reached_engines.push(engine.id.clone());
                response
            }
            Ok(SendOutcome::Refused(refusal)) => self.on_refusal(&engine, &served, refusal).await?,
            Err(SendError::NotSent(message)) => {
                self.context.fleet.connection_failed(&engine.worker);
                let failure = self.failure(&engine, AttemptEnd::NotRun, "connect", message);
                return Err(AttemptStop::Failure(failure));
            }
            Err(SendError::PossiblyReceived(message)) => {
                self.reached_engines.push(engine.id.clone());
                self.resume(&engine, "send", message).await?
            }
        };
        let ended = self.read_answer(&engine, response).await;
        if self.delivery.next_offset() > 0 {
            self.served_version = Some(served);
        }
        ended
    }

    /// Prefills the prompt at another engine if that pays, and returns the
    /// handle of the KV cache. From the start of such a prefill on, the request
    /// counts as one that may have run. Requests that must not be repeated and
    /// continued answers are never prefilled elsewhere.
    async fn prefill(
        &mut self,
        engine: &Engine,
        served: &Served,
    ) -> Result<Option<String>, Interrupt> {
        if self.request.at_most_once || self.delivery.next_offset() > 0 {
            return Ok(None);
        }
        let fleet = &self.context.fleet;
        let Some(prefiller) = choose_prefill(fleet, &self.request, engine, served) else {
            return Ok(None);
        };
        self.may_have_run = true;
        let prepared = prepare_prefill(&self.request, &prefiller, engine, served);
        self.interruptible(prepared).await
    }

    /// Sends the request to the engine, continuing the answer from the tokens
    /// already received.
    async fn send(
        &mut self,
        engine: &Engine,
        served: &Served,
        kv_handle: Option<String>,
    ) -> Result<Result<SendOutcome, SendError>, Interrupt> {
        let continue_from = self.delivery.next_offset();
        if continue_from > 0 {
            self.context.metrics.continuations.inc();
        }
        let call = EngineCall {
            path: self.request.kind.path(),
            request_id: &self.request.id,
            priority: Priority::Online,
            adapter: served.adapter.as_deref(),
            kv_handle: kv_handle.as_deref(),
            continue_from,
            at_most_once: self.request.at_most_once,
            body: self.request.parsed.body(&served.model, true),
        };
        self.interruptible(engine.client.send(call)).await
    }

    /// Waits for `work` until the deadline passes or the caller disconnects.
    pub(super) async fn interruptible<T>(
        &self,
        work: impl std::future::Future<Output = T>,
    ) -> Result<T, Interrupt> {
        tokio::select! {
            biased;
            output = work => Ok(output),
            () = self.delivery.caller_gone() => Err(Interrupt::CallerGone),
            () = sleep_until(self.request.deadline) => {
                Err(Interrupt::Deadline)
            }
        }
    }

    /// Handles a refusal by the engine. If the engine refuses a duplicate of
    /// this request because an earlier attempt reached it, attaches to the
    /// running request instead and returns its response.
    async fn on_refusal(
        &mut self,
        engine: &Arc<Engine>,
        served: &Served,
        refusal: Refusal,
    ) -> Result<Response, AttemptStop> {
        if refusal.is_duplicate() && self.reached_engines.contains(&engine.id) {
            return self.resume(engine, "send", refusal.message).await;
        }
        if refusal.is_leaving() {
            self.context.fleet.record_leaving_refusal(&engine.worker);
        }
        if refusal.lacks_model() {
            self.context
                .fleet
                .record_missing_model(engine, &served.model);
        }
        if refusal.is_wrong_role() {
            self.context.fleet.record_role_refusal(engine);
        }
        let end = if refusal.not_started {
            AttemptEnd::NotRun
        } else {
            AttemptEnd::MayHaveRun
        };
        let message = format!("{}: {}", refusal.code, refusal.message);
        let mut failure = self.failure(engine, end, "start", message);
        failure.can_continue = refusal.status != 400 && !refusal.is_duplicate();
        failure.code = refusal_code(&refusal);
        Err(AttemptStop::Failure(failure))
    }

    /// Cancels the request at the engine after an interrupt. After a missed
    /// deadline, the cancel's answer decides whether the request may have run.
    pub(super) async fn on_interrupt(
        &self,
        engine: &Arc<Engine>,
        interrupt: Interrupt,
    ) -> AttemptStop {
        if matches!(interrupt, Interrupt::CallerGone) {
            self.cancel_in_background(engine);
            return AttemptStop::CallerGone;
        }
        let end = match self.cancel(engine).await {
            CancelAnswer::NotStarted => AttemptEnd::NotRun,
            _ => AttemptEnd::MayHaveRun,
        };
        let message = "the deadline passed".to_owned();
        let mut failure = self.failure(engine, end, "await answer", message);
        failure.code = FailureCode::DeadlineExceeded;
        failure.can_continue = false;
        AttemptStop::Failure(failure)
    }

    pub(super) async fn cancel(&self, engine: &Engine) -> CancelAnswer {
        self.context.metrics.engine_cancels.inc();
        engine
            .client
            .cancel(&self.request.id, AWAITED_CANCEL_TIMEOUT)
            .await
    }

    pub(super) fn cancel_in_background(&self, engine: &Engine) {
        self.context.metrics.engine_cancels.inc();
        let client = engine.client.clone();
        let id = self.request.id.clone();
        tokio::spawn(async move { client.cancel(&id, BACKGROUND_CANCEL_TIMEOUT).await });
    }
}
