//! Runs one online request: a place at an engine, the answer's frames, resume
//! after a cut, retries elsewhere, and the one final answer.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use pinerill_types::outcome::Outcome;
use pinerill_types::{EngineId, ServiceName, TenantName};
use reqwest::Response;
use tokio::sync::mpsc;

use super::delivery::{Delivery, Event};
use super::prefill::prepare_prefill;
use super::request::{ParsedRequest, RequestKind};
use super::retry::{decide, AttemptEnd, Decision, RetryBudget, Situation};
use super::script;
use crate::configuration::ServicePlan;
use crate::dispatcher::{Demand, Dispatcher, NoPlace, Place};
use crate::engine::{
    AttachError, CancelAnswer, EngineCall, EngineClient, Finish, Priority, Progress, Refusal,
    SendError, SendOutcome,
};
use crate::failure::{FailureCode, RequestFailure};
use crate::membership::{note_load, Engine, Fleet, Served};
use crate::metrics::Metrics;
use crate::routing::block_names;

/// Silence of an engine after which its stream counts as cut.
const STALL: Duration = Duration::from_secs(10);
/// Pauses before each try to resume, milliseconds.
const RESUME_PAUSES_MS: [u64; 3] = [0, 50, 200];
/// Further pauses of a request that can't go on elsewhere.
const RESUME_PATIENT_PAUSES_MS: [u64; 3] = [500, 1_000, 2_000];
/// Resumes without a new token after which a stream counts as lost.
const FRUITLESS_RESUMES_LIMIT: u32 = 3;
/// Longest wait for a cancel whose answer decides the outcome.
const CANCEL_DECIDES: Duration = Duration::from_millis(100);
/// Longest wait for a cancel that nothing depends on.
const CANCEL_DETACHED: Duration = Duration::from_secs(2);
/// When to come back after a failure that says nothing better, milliseconds.
const RETRY_AFTER_DEFAULT_MS: u64 = 1_000;
/// Bytes of a prompt that count as one token.
const PROMPT_BYTES_PER_TOKEN: usize = 4;

/// What every execution shares.
pub struct ExecutionContext {
    /// Workers and engines.
    pub fleet: Arc<Fleet>,
    /// Places and queues.
    pub dispatcher: Arc<Dispatcher>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Connections to old scripts.
    pub scripts: reqwest::Client,
    /// Retry budget of each service.
    pub budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
}

/// One online request, admitted.
#[derive(Debug)]
pub struct OnlineRequest {
    /// Its identifier, the same at the engine.
    pub id: String,
    /// Which call it is.
    pub kind: RequestKind,
    /// Its body.
    pub parsed: ParsedRequest,
    /// Its service.
    pub plan: Arc<ServicePlan>,
    /// Whose it is.
    pub tenant: TenantName,
    /// Never to be repeated.
    pub at_most_once: bool,
    /// It goes to the old script.
    pub to_script: bool,
    /// When it arrived.
    pub received: Instant,
    /// When its answer must be whole.
    pub deadline: Instant,
}

/// Why a request stops without its answer.
#[derive(Debug)]
pub(super) enum Stop {
    /// The final answer.
    Failed(RequestFailure),
    /// Nobody waits for it any more.
    CallerGone,
}

/// An attempt that ended without the whole answer.
#[derive(Debug)]
pub(super) struct AttemptFailure {
    /// Whether it may have run.
    pub end: AttemptEnd,
    /// Whether another attempt makes sense.
    pub can_continue: bool,
    /// What a caller is told if this was the last.
    pub code: FailureCode,
    /// The step that failed.
    pub step: &'static str,
    /// The peer it was with.
    pub peer: String,
    /// What went wrong.
    pub message: String,
}

enum Interrupt {
    Deadline,
    CallerGone,
}

enum AttemptStop {
    Failure(AttemptFailure),
    CallerGone,
}

/// Runs `request` to its end; everything the caller gets goes to `events`.
pub async fn execute(
    context: Arc<ExecutionContext>,
    request: OnlineRequest,
    events: mpsc::Sender<Event>,
) {
    note_fresh(&context, &request);
    let delivery = Delivery::new(&request.id, events);
    let mut execution = Execution::new(context.clone(), request, delivery);
    let end = execution.run().await;
    let metrics = &context.metrics;
    match end {
        Ok(finish) => {
            let tokens = u64::from(finish.usage.completion_tokens);
            metrics.tokens.with_label_values(&["online"]).inc_by(tokens);
            metrics.requests.with_label_values(&["completed"]).inc();
            execution.delivery.end(Event::Finished(finish)).await;
        }
        Err(Stop::Failed(failure)) => {
            let code = failure.code.word();
            metrics.requests.with_label_values(&[code]).inc();
            execution.delivery.end(Event::Failed(failure)).await;
        }
        Err(Stop::CallerGone) => {
            metrics.requests.with_label_values(&["caller_gone"]).inc();
        }
    }
}

fn note_fresh(context: &ExecutionContext, request: &OnlineRequest) {
    let percent = request.plan.settings.retry_budget_percent;
    let mut budgets = context.budgets.lock();
    let budget = budgets.entry(request.plan.name.clone()).or_default();
    budget.fresh(percent);
}

struct Execution {
    context: Arc<ExecutionContext>,
    request: OnlineRequest,
    delivery: Delivery,
    blocks: Arc<Vec<u64>>,
    tried: Vec<EngineId>,
    heard: Vec<EngineId>,
    attempts: u32,
    maybe_run: bool,
    first_token_seen: bool,
    /// The version that gave the first text.
    begun_with: Option<Served>,
}

impl Execution {
    fn new(context: Arc<ExecutionContext>, request: OnlineRequest, delivery: Delivery) -> Self {
        let plan = &request.plan;
        let blocks = block_names(&plan.model, plan.adapter.as_deref(), &request.parsed.prompt);
        Self {
            context,
            request,
            delivery,
            blocks: Arc::new(blocks),
            tried: Vec::new(),
            heard: Vec::new(),
            attempts: 0,
            maybe_run: false,
            first_token_seen: false,
            begun_with: None,
        }
    }

    async fn run(&mut self) -> Result<Finish, Stop> {
        if self.request.to_script {
            match self.run_at_script().await? {
                Some(finish) => return Ok(finish),
                None => self.attempts += 1,
            }
        }
        loop {
            let place = self.acquire().await?;
            self.attempts += 1;
            let target = self.context.metrics.targets.with_label_values(&["engine"]);
            target.inc();
            let failure = match self.attempt(&place).await {
                Ok(finish) => return Ok(finish),
                Err(AttemptStop::CallerGone) => return Err(Stop::CallerGone),
                Err(AttemptStop::Failure(failure)) => failure,
            };
            self.tried.push(place.engine.id.clone());
            drop(place);
            self.after_failure(failure)?;
        }
    }

    /// None: it did not come through there, and may go to engines.
    async fn run_at_script(&mut self) -> Result<Option<Finish>, Stop> {
        self.context
            .metrics
            .targets
            .with_label_values(&["script"])
            .inc();
        let deadline = self.request.deadline;
        let run = script::run(&self.context.scripts, &self.request, &self.delivery);
        let ended = tokio::select! {
            ended = tokio::time::timeout_at(deadline.into(), run) => ended,
            () = self.delivery.caller_gone() => return Err(Stop::CallerGone),
        };
        let failure = match ended {
            Ok(Ok(finish)) => return Ok(Some(finish)),
            Ok(Err(failure)) => failure,
            Err(_) => script::deadline_failure(&self.request),
        };
        self.after_failure(failure)?;
        Ok(None)
    }

    /// Decides after a failed attempt; Ok means: try elsewhere.
    fn after_failure(&mut self, failure: AttemptFailure) -> Result<(), Stop> {
        let situation = Situation {
            at_most_once: self.request.at_most_once,
            attempts: self.attempts,
            maybe_run_before: self.maybe_run,
            can_continue: failure.can_continue,
            expired: Instant::now() >= self.request.deadline,
        };
        self.maybe_run |= failure.end == AttemptEnd::MaybeRun;
        match decide(&failure.end, situation, || self.take_budget()) {
            Decision::Retry => {
                self.context.metrics.retries.inc();
                Ok(())
            }
            Decision::GiveUp(outcome) => Err(Stop::Failed(final_failure(failure, outcome))),
        }
    }

    fn take_budget(&self) -> bool {
        let percent = self.request.plan.settings.retry_budget_percent;
        let mut budgets = self.context.budgets.lock();
        let budget = budgets.entry(self.request.plan.name.clone()).or_default();
        let taken = budget.take(percent);
        if !taken {
            self.context.metrics.retries_denied.inc();
        }
        taken
    }

    async fn acquire(&self) -> Result<Place, Stop> {
        let demand = Demand {
            plan: self.request.plan.clone(),
            tenant: self.request.tenant.clone(),
            prompt_tokens: (self.request.parsed.prompt.len() / PROMPT_BYTES_PER_TOKEN) as u32,
            blocks: self.blocks.clone(),
            excluded: self.tried.clone(),
            begun_with: self.begun_with.clone(),
        };
        let left = self
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        let patience = Duration::from_millis(self.request.plan.settings.queue_ms).min(left);
        let acquired = tokio::select! {
            acquired = self.context.dispatcher.acquire(demand, patience) => acquired,
            () = self.delivery.caller_gone() => return Err(Stop::CallerGone),
        };
        acquired.map_err(|no_place| Stop::Failed(self.no_place(no_place)))
    }

    fn no_place(&self, no_place: NoPlace) -> RequestFailure {
        let expired = Instant::now() >= self.request.deadline;
        let (code, message, after) = match no_place {
            _ if expired => (
                FailureCode::DeadlineExceeded,
                "the deadline passed before there was a place",
                RETRY_AFTER_DEFAULT_MS,
            ),
            NoPlace::NoBackend => (
                FailureCode::NoBackend,
                "no engine serves this service here",
                RETRY_AFTER_DEFAULT_MS,
            ),
            NoPlace::Overloaded(after) => (
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

    async fn attempt(&mut self, place: &Place) -> Result<Finish, AttemptStop> {
        let engine = place.engine.clone();
        let Some(served) = engine.serves(&self.request.plan) else {
            let message = "it no longer holds the model".to_owned();
            let mut failure = self.failure(&engine, AttemptEnd::NotRun, "choose", message);
            failure.code = FailureCode::NoBackend;
            return Err(AttemptStop::Failure(failure));
        };
        let kv_handle = self.prefill(&engine, &served).await;
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
            Err(SendError::MaybeHeard(message)) => {
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

    async fn prefill(&self, engine: &Arc<Engine>, served: &Served) -> Option<String> {
        if self.request.at_most_once || self.delivery.next_offset() > 0 {
            return None;
        }
        prepare_prefill(&self.context.fleet, &self.request, engine, served).await
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
    async fn guarded<T>(&self, work: impl std::future::Future<Output = T>) -> Result<T, Interrupt> {
        tokio::select! {
            biased;
            done = work => Ok(done),
            () = self.delivery.caller_gone() => Err(Interrupt::CallerGone),
            () = tokio::time::sleep_until(self.request.deadline.into()) => {
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
            self.context.fleet.refused_leaving(&engine.worker);
        }
        if refusal.lacks_model() {
            self.context.fleet.refused_model(engine, &served.model);
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

    async fn read(
        &mut self,
        engine: &Arc<Engine>,
        mut response: Response,
    ) -> Result<Finish, AttemptStop> {
        let mut fruitless = 0;
        let mut offset = self.delivery.next_offset();
        loop {
            let broken = match self.read_connection(engine, &mut response).await? {
                Ok(finish) => return Ok(finish),
                Err(broken) => broken,
            };
            fruitless += 1;
            if self.delivery.next_offset() > offset {
                offset = self.delivery.next_offset();
                fruitless = 0;
            }
            if fruitless > FRUITLESS_RESUMES_LIMIT {
                return Err(self.lost(engine, "read", broken).await);
            }
            response = self.resume(engine, "read", broken).await?;
        }
    }

    /// Reads one connection to its end: the whole answer, or why it broke.
    async fn read_connection(
        &mut self,
        engine: &Arc<Engine>,
        response: &mut Response,
    ) -> Result<Result<Finish, String>, AttemptStop> {
        self.delivery.start_connection();
        note_load(&self.context.fleet, engine, response);
        loop {
            let chunk = self
                .guarded(tokio::time::timeout(STALL, response.chunk()))
                .await;
            let bytes = match chunk {
                Err(interrupt) => return Err(self.interrupted(engine, interrupt).await),
                Ok(Err(_)) => return Ok(Err("the engine is silent".to_owned())),
                Ok(Ok(Err(error))) => return Ok(Err(crate::engine::error_chain(&error))),
                Ok(Ok(Ok(None))) => return Ok(Err("the stream ended early".to_owned())),
                Ok(Ok(Ok(Some(bytes)))) => bytes,
            };
            let progress = self.delivery.take(&bytes, &self.context.metrics);
            if let Err(interrupt) = self.flush().await {
                return Err(self.interrupted(engine, interrupt).await);
            }
            match progress {
                Progress::Continues => {}
                Progress::Finished(finish) => return Ok(Ok(finish)),
                Progress::Broken(message) => return Ok(Err(message.to_owned())),
                Progress::Cancelled => return Err(self.ended_by_engine(engine)),
                Progress::WrongDigest => return Err(self.wrong_digest(engine)),
            }
        }
    }

    async fn flush(&mut self) -> Result<(), Interrupt> {
        let deadline = self.request.deadline;
        let flushed = tokio::time::timeout_at(deadline.into(), self.delivery.flush()).await;
        let Ok(text) = flushed else {
            return Err(Interrupt::Deadline);
        };
        if text && !self.first_token_seen {
            self.first_token_seen = true;
            let waited = self.request.received.elapsed().as_secs_f64();
            let service = self.request.plan.name.as_str();
            let histogram = &self.context.metrics.first_token;
            histogram.with_label_values(&[service]).observe(waited);
        }
        Ok(())
    }

    /// Attaches to the request at the same engine.
    async fn resume(
        &mut self,
        engine: &Arc<Engine>,
        step: &'static str,
        cause: String,
    ) -> Result<Response, AttemptStop> {
        let patient = if self.request.at_most_once {
            &RESUME_PATIENT_PAUSES_MS[..]
        } else {
            &[]
        };
        for pause in RESUME_PAUSES_MS.iter().chain(patient) {
            let offset = self.delivery.next_offset();
            let attach = async {
                tokio::time::sleep(Duration::from_millis(*pause)).await;
                engine.client.attach(&self.request.id, offset).await
            };
            match self.guarded(attach).await {
                Err(interrupt) => return Err(self.interrupted(engine, interrupt).await),
                Ok(Ok(response)) => {
                    self.context.metrics.resumes.inc();
                    return Ok(response);
                }
                Ok(Err(AttachError::UnknownRequest)) => break,
                Ok(Err(AttachError::Unreachable(_))) => {
                    self.context.fleet.connection_failed(&engine.worker);
                }
            }
        }
        Err(self.lost(engine, step, cause).await)
    }

    /// The engine's work is out of reach. A request that can't be repeated
    /// asks once more whether it ever ran.
    async fn lost(&self, engine: &Arc<Engine>, step: &'static str, cause: String) -> AttemptStop {
        let mut end = AttemptEnd::MaybeRun;
        if self.request.at_most_once {
            let answer = self.cancel(engine).await;
            if answer == CancelAnswer::NotStarted {
                end = AttemptEnd::NotRun;
            }
        } else {
            self.cancel_detached(engine);
        }
        AttemptStop::Failure(self.failure(engine, end, step, cause))
    }

    async fn interrupted(&self, engine: &Arc<Engine>, interrupt: Interrupt) -> AttemptStop {
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

    fn ended_by_engine(&self, engine: &Engine) -> AttemptStop {
        let message = "the engine ended the request early".to_owned();
        AttemptStop::Failure(self.failure(engine, AttemptEnd::MaybeRun, "read", message))
    }

    fn wrong_digest(&self, engine: &Engine) -> AttemptStop {
        let message = "the digest over the whole answer does not fit".to_owned();
        let mut failure = self.failure(engine, AttemptEnd::MaybeRun, "verify", message);
        failure.can_continue = false;
        AttemptStop::Failure(failure)
    }

    fn failure(
        &self,
        engine: &Engine,
        end: AttemptEnd,
        step: &'static str,
        message: String,
    ) -> AttemptFailure {
        AttemptFailure {
            end,
            can_continue: true,
            code: FailureCode::BackendFailed,
            step,
            peer: engine.id.to_string(),
            message,
        }
    }

    async fn cancel(&self, engine: &Engine) -> CancelAnswer {
        self.context.metrics.engine_cancels.inc();
        engine.client.cancel(&self.request.id, CANCEL_DECIDES).await
    }

    fn cancel_detached(&self, engine: &Engine) {
        self.context.metrics.engine_cancels.inc();
        detach_cancel(engine.client.clone(), self.request.id.clone());
    }
}

fn detach_cancel(client: EngineClient, request_id: String) {
    tokio::spawn(async move { client.cancel(&request_id, CANCEL_DETACHED).await });
}

fn refusal_code(refusal: &Refusal) -> FailureCode {
    match refusal.code.as_str() {
        "queue_full" => FailureCode::Overloaded,
        "leaving" | "model_not_loaded" | "loading" | "wrong_role" => FailureCode::NoBackend,
        "duplicate_request" => FailureCode::DuplicateRequest,
        _ if refusal.status == 400 => FailureCode::InvalidRequest,
        _ => FailureCode::BackendFailed,
    }
}

fn final_failure(failure: AttemptFailure, outcome: Outcome) -> RequestFailure {
    let comes_back = !matches!(
        failure.code,
        FailureCode::InvalidRequest | FailureCode::DuplicateRequest
    );
    RequestFailure {
        code: failure.code,
        outcome,
        step: failure.step,
        peer: failure.peer,
        message: failure.message,
        retry_after_ms: comes_back.then_some(RETRY_AFTER_DEFAULT_MS),
    }
}
