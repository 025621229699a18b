//! Runs one online request: acquires a slot at an engine, reads the answer,
//! resumes it after a lost connection, retries at other engines, and sends
//! exactly one final event unless the caller disconnects first.

mod attempt;
mod failure;
mod placement;
mod reading;

use pinerill_process::clock::{timeout_at, BootTime};
use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use pinerill_types::{EngineId, ServiceName, TenantName};
use tokio::sync::mpsc;

use super::delivery::{Delivery, Event};
use super::request::{ParsedRequest, RequestKind};
use super::retry::{decide, AttemptEnd, Decision, RetryBudget, RetryContext};
use super::script;
use crate::configuration::ServicePlan;
use crate::dispatcher::{Dispatcher, PendingPrefill};
use crate::engine::Finish;
use crate::membership::{Fleet, Served};
use crate::metrics::Metrics;
use crate::routing::block_hashes;
pub(super) use failure::AttemptFailure;
use failure::{final_failure, AttemptStop, Stop};

/// State that all executions of a node share.
pub struct ExecutionContext {
    /// Known workers and their engines.
    pub fleet: Arc<Fleet>,
    /// Assigns slots at engines and queues requests that wait for one.
    pub dispatcher: Arc<Dispatcher>,
    /// Metrics of this node.
    pub metrics: Arc<Metrics>,
    /// HTTP client for script back ends.
    pub scripts: reqwest::Client,
    /// Retry budget of each service.
    pub budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
}

/// An online request that passed admission.
#[derive(Debug)]
pub struct OnlineRequest {
    /// Identifier, which is also sent to the engine.
    pub id: String,
    /// Which API call the request makes.
    pub kind: RequestKind,
    /// Parsed request body.
    pub parsed: ParsedRequest,
    /// Configuration of the requested service.
    pub plan: Arc<ServicePlan>,
    /// Tenant that sent the request.
    pub tenant: TenantName,
    /// Whether the request must not be repeated once it may have run.
    pub at_most_once: bool,
    /// Whether the first attempt goes to the service's script back end.
    pub to_script: bool,
    /// Time of arrival at this node.
    pub received: BootTime,
    /// Time by which the answer must be complete.
    pub deadline: BootTime,
}

/// Runs `request` to completion and sends its text and its last event to
/// `events`.
pub async fn execute(
    context: Arc<ExecutionContext>,
    request: OnlineRequest,
    events: mpsc::Sender<Event>,
) {
    credit_retry_budget(&context, &request);
    let delivery = Delivery::new(&request.id, events);
    let mut execution = Execution::new(context.clone(), request, delivery);
    let end = execution.run().await;
    let metrics = &context.metrics;
    match end {
        Ok(finish) => {
            let tokens = u64::from(finish.usage.completion_tokens);
            metrics.tokens.with_label_values(&["online"]).inc_by(tokens);
            metrics.requests.with_label_values(&["completed"]).inc();
            execution.delivery.send_last(Event::Finished(finish)).await;
        }
        Err(Stop::Failed(failure)) => {
            let code = failure.code.word();
            metrics.requests.with_label_values(&[code]).inc();
            execution.delivery.send_last(Event::Failed(failure)).await;
        }
        Err(Stop::CallerGone) => {
            metrics.requests.with_label_values(&["caller_gone"]).inc();
        }
    }
}

/// Adds the share of a new request to the retry budget of its service.
fn credit_retry_budget(context: &ExecutionContext, request: &OnlineRequest) {
    let percent = request.plan.settings.retry_budget_percent;
    let mut budgets = context.budgets.lock();
    let budget = budgets.entry(request.plan.name.clone()).or_default();
    budget.add_request(percent);
}

/// Progress of one request across its attempts.
struct Execution {
    context: Arc<ExecutionContext>,
    request: OnlineRequest,
    delivery: Delivery,
    /// Prefix hashes of the prompt's blocks, used to route the request to an
    /// engine that may have the prefix cached.
    blocks: Arc<Vec<u64>>,
    /// Engines at which an attempt failed. The dispatcher avoids them as long as
    /// another engine can serve the request.
    tried_engines: Vec<EngineId>,
    /// Engines that may have received the request.
    reached_engines: Vec<EngineId>,
    attempts: u32,
    /// Whether any attempt so far may have run.
    may_have_run: bool,
    first_token_seen: bool,
    /// Counts the prompt as pending prefill of the engine until the attempt
    /// delivers its first text.
    pending_prefill: Option<PendingPrefill>,
    /// Model version that generated the first text, if there is any. Only the
    /// same version can continue the answer.
    served_version: Option<Served>,
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
            tried_engines: Vec::new(),
            reached_engines: Vec::new(),
            attempts: 0,
            may_have_run: false,
            first_token_seen: false,
            pending_prefill: None,
            served_version: None,
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
            let mut slot = self.acquire().await?;
            self.pending_prefill = slot.pending_prefill.take();
            self.attempts += 1;
            let target = self.context.metrics.targets.with_label_values(&["engine"]);
            target.inc();
            let failure = match self.attempt(&slot).await {
                Ok(finish) => return Ok(finish),
                Err(AttemptStop::CallerGone) => return Err(Stop::CallerGone),
                Err(AttemptStop::Failure(failure)) => failure,
            };
            self.tried_engines.push(slot.engine.id.clone());
            self.pending_prefill = None;
            drop(slot);
            self.decide_after_failure(failure)?;
        }
    }

    /// Runs the request at its script back end. Returns `None` if the attempt
    /// failed and the request may be retried at engines.
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
        self.decide_after_failure(failure)?;
        Ok(None)
    }

    /// Decides what follows a failed attempt. `Ok` means that the request is
    /// retried at another back end.
    fn decide_after_failure(&mut self, failure: AttemptFailure) -> Result<(), Stop> {
        let retry_context = RetryContext {
            at_most_once: self.request.at_most_once,
            attempts: self.attempts,
            earlier_may_have_run: self.may_have_run,
            can_continue: failure.can_continue,
            expired: BootTime::now() >= self.request.deadline,
        };
        self.may_have_run |= failure.end == AttemptEnd::MayHaveRun;
        match decide(&failure.end, retry_context, || self.take_budget()) {
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
        let taken = budget.try_take(percent);
        if !taken {
            self.context.metrics.retries_denied.inc();
        }
        taken
    }
}
