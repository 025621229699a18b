//! Runs one online request: a place at an engine, the answer's frames, resume
//! after a cut, retries elsewhere, and the one final answer.

mod attempt;
mod failure;
mod placing;
mod reading;

use pinerill_process::clock::{timeout_at, BootTime};
use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use pinerill_types::{EngineId, ServiceName, TenantName};
use tokio::sync::mpsc;

use super::delivery::{Delivery, Event};
use super::request::{ParsedRequest, RequestKind};
use super::retry::{decide, AttemptEnd, Decision, RetryBudget, Situation};
use super::script;
use crate::configuration::ServicePlan;
use crate::dispatcher::{Dispatcher, PendingPrefill};
use crate::engine::Finish;
use crate::membership::{Fleet, Served};
use crate::metrics::Metrics;
use crate::routing::block_hashes;
pub(super) use failure::AttemptFailure;
use failure::{final_failure, AttemptStop, Stop};

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
    pub received: BootTime,
    /// When its answer must be whole.
    pub deadline: BootTime,
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
    /// Until the engine has given the first token of an attempt.
    pending_prefill: Option<PendingPrefill>,
    /// The version that gave the first text.
    begun_with: Option<Served>,
}

impl Execution {
    fn new(context: Arc<ExecutionContext>, request: OnlineRequest, delivery: Delivery) -> Self {
        let plan = &request.plan;
        let blocks = block_hashes(&plan.model, plan.adapter.as_deref(), &request.parsed.prompt);
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
            pending_prefill: None,
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
            let mut place = self.acquire().await?;
            self.pending_prefill = place.pending_prefill.take();
            self.attempts += 1;
            let target = self.context.metrics.targets.with_label_values(&["engine"]);
            target.inc();
            let failure = match self.attempt(&place).await {
                Ok(finish) => return Ok(finish),
                Err(AttemptStop::CallerGone) => return Err(Stop::CallerGone),
                Err(AttemptStop::Failure(failure)) => failure,
            };
            self.tried.push(place.engine.id.clone());
            self.pending_prefill = None;
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
            ended = timeout_at(deadline, run) => ended,
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
            expired: BootTime::now() >= self.request.deadline,
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
}
