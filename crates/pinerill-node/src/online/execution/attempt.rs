//! One attempt at one engine, up to the head of the answer.

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

/// Longest wait for a cancel whose answer decides the outcome.
const CANCEL_DECIDES: Duration = Duration::from_millis(100);
/// Longest wait for a cancel that nothing depends on.
const CANCEL_DETACHED: Duration = Duration::from_secs(2);

impl Execution {
    pub(super) async fn attempt(&mut self, place: &SlotGuard) -> Result<Finish, AttemptStop> {
        let engine = place.engine.clone();
        let Some(served) = engine.serves(&self.request.plan) else {
            let message = "it no longer holds the model".to_owned();
            let mut failure = self.failure(&engine, AttemptEnd::NotRun, "choose", message);
            failure.code = FailureCode::NoBackend;
            return Err(AttemptStop::Failure(failure));
        };
        let kv_handle = match self.prefill(&engine, &served).await {
            Ok(kv_handle) => kv_handle,
            Err(interrupt) => return Err(self.interrupted(&engine, interrupt).await),
        };
        let sent = match self.send(&engine, &served, kv_handle).await {
            Ok(sent) => sent,
            Err(interrupt) => return Err(self.interrupted(&engine, interrupt).await),
        };
        let response = match sent {
            Ok(SendOutcome::Answer(response)) => {
                self.heard.push(engine.id.clone());
                response
            }
            Ok(SendOutcome::Refused(refusal)) => self.refused(&engine, &served, refusal).await?,
            Err(SendError::NotSent(message)) => {
                self.context.fleet.connection_failed(&engine.worker);
                let failure = self.failure(&engine, AttemptEnd::NotRun, "connect", message);
                return Err(AttemptStop::Failure(failure));
            }
            Err(SendError::PossiblyReceived(message)) => {
                self.heard.push(engine.id.clone());
                self.resume(&engine, "send", message).await?
            }
        };
        let ended = self.read(&engine, response).await;
        if self.delivery.next_offset() > 0 {
            self.begun_with = Some(served);
        }
        ended
    }

    /// Once another engine has begun the prefill, part of the request may have
    /// run, whatever becomes of the rest.
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
        self.maybe_run = true;
        let prepared = prepare_prefill(&self.request, &prefiller, engine, served);
        self.guarded(prepared).await
    }

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
            body: self.request.parsed.body(&served.model, true),
        };
        self.guarded(engine.client.send(call)).await
    }

    /// Runs `work` unless the deadline passes or the caller goes.
    pub(super) async fn guarded<T>(
        &self,
        work: impl std::future::Future<Output = T>,
    ) -> Result<T, Interrupt> {
        tokio::select! {
            biased;
            done = work => Ok(done),
            () = self.delivery.caller_gone() => Err(Interrupt::CallerGone),
            () = sleep_until(self.request.deadline) => {
                Err(Interrupt::Deadline)
            }
        }
    }

    /// The engine refused; a refusal of what it has from this very request
    /// becomes an attach.
    async fn refused(
        &mut self,
        engine: &Arc<Engine>,
        served: &Served,
        refusal: Refusal,
    ) -> Result<Response, AttemptStop> {
        if refusal.is_duplicate() && self.heard.contains(&engine.id) {
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
            AttemptEnd::MaybeRun
        };
        let message = format!("{}: {}", refusal.code, refusal.message);
        let mut failure = self.failure(engine, end, "start", message);
        failure.can_continue = refusal.status != 400 && !refusal.is_duplicate();
        failure.code = refusal_code(&refusal);
        Err(AttemptStop::Failure(failure))
    }

    pub(super) async fn interrupted(
        &self,
        engine: &Arc<Engine>,
        interrupt: Interrupt,
    ) -> AttemptStop {
        if matches!(interrupt, Interrupt::CallerGone) {
            self.cancel_detached(engine);
            return AttemptStop::CallerGone;
        }
        let end = match self.cancel(engine).await {
            CancelAnswer::NotStarted => AttemptEnd::NotRun,
            _ => AttemptEnd::MaybeRun,
        };
        let message = "the deadline passed".to_owned();
        let mut failure = self.failure(engine, end, "await answer", message);
        failure.code = FailureCode::DeadlineExceeded;
        failure.can_continue = false;
        AttemptStop::Failure(failure)
    }

    pub(super) async fn cancel(&self, engine: &Engine) -> CancelAnswer {
        self.context.metrics.engine_cancels.inc();
        engine.client.cancel(&self.request.id, CANCEL_DECIDES).await
    }

    pub(super) fn cancel_detached(&self, engine: &Engine) {
        self.context.metrics.engine_cancels.inc();
        let client = engine.client.clone();
        let id = self.request.id.clone();
        tokio::spawn(async move { client.cancel(&id, CANCEL_DETACHED).await });
    }
}
