//! Runs one item at one engine: sends the request, reads the answer, pauses and
//! stops on command, reattaches after a broken connection, and returns the
//! outcome.

mod reading;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use pinerill_types::job::LeasedItem;
use reqwest::Response;
use tokio::sync::watch;

use super::message::{RunCommand, RunEnd};
use crate::clock;
use crate::configuration::ServicePlan;
use crate::engine::{
    AnswerReader, CancelAnswer, EngineCall, EngineClient, Finish, PauseAnswer, Priority, Refusal,
    SendError, SendOutcome,
};
use crate::failure::{FailureCode, RequestFailure};
use crate::membership::{Engine, Fleet, Served};
use crate::metrics::Metrics;
use crate::online::{parse_request, Encoder, ParsedRequest, RequestKind};

/// Longest wait for the response to a cancel, and for the response head of the
/// cancelled request after it.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// The newest command to a run, with the time at which it was issued.
#[derive(Debug, Clone, Copy)]
pub struct TimedCommand {
    /// The command, which replaces all earlier ones.
    pub command: RunCommand,
    /// When the planner issued the command.
    pub since: Instant,
}

/// The part of an answer that was read so far.
#[derive(Debug)]
pub struct PartialAnswer {
    /// The model version that generated the part; `None` if no
    /// engine could be used.
    pub served: Option<Served>,
    /// The reader that holds the text and the offset to resume from.
    pub reader: AnswerReader,
}

/// Everything that one run of an item at one engine needs.
pub struct EngineRun {
    /// The engine that the item runs at.
    pub engine: Arc<Engine>,
    /// The fleet, which records loads, connection failures and rejections.
    pub fleet: Arc<Fleet>,
    /// The node's metrics.
    pub metrics: Arc<Metrics>,
    /// The plan of the item's service.
    pub plan: Arc<ServicePlan>,
    /// The model and adapter names under which the engine serves the service.
    pub served: Served,
    /// The item with its request body.
    pub item: Arc<LeasedItem>,
    /// The identifier of the attempt at engines.
    pub request_id: String,
    /// When the lease expires, in milliseconds of the node's clock; the item is not
    /// sent after that.
    pub lease_end_ms: u64,
    /// The newest command of the planner. A closed channel counts as a stop.
    pub commands: watch::Receiver<TimedCommand>,
    /// The part of the answer that earlier engines generated.
    pub partial: PartialAnswer,
}

/// The state of a run that has begun.
struct Session {
    run: EngineRun,
    client: EngineClient,
    kind: RequestKind,
    /// The last command that the engine has confirmed.
    confirmed: RunCommand,
}

type RunResult<T> = Result<T, RunEnd>;

impl EngineRun {
    /// Runs the item until it ends at this engine. Returns the outcome and the part
    /// of the answer that was read.
    pub async fn run(self) -> (RunEnd, PartialAnswer) {
        let input = &self.item.input;
        let kind = RequestKind::from_path(&input.url);
        let parsed = kind.map(|kind| parse_request(kind, input.body.as_bytes()));
        let (Some(kind), Some(Ok(parsed))) = (kind, parsed) else {
            let end = RunEnd::Failed(error_json("read item", "node", "not a request"));
            return (end, self.partial);
        };
        let mut session = Session {
            client: self.engine.client.clone(),
            run: self,
            kind,
            confirmed: RunCommand::Run,
        };
        let ended = session.run_parsed(&parsed).await;
        let end = ended.map_or_else(|end| end, |finish| session.completed(&finish));
        (end, session.run.partial)
    }
}

impl Session {
    async fn run_parsed(&mut self, parsed: &ParsedRequest) -> RunResult<Finish> {
        let body = parsed.body(&self.run.served.model, true);
        let response = self.send(body).await?;
        self.read(response).await
    }

    fn completed(&mut self, finish: &Finish) -> RunEnd {
        let tokens = u64::from(finish.usage.completion_tokens);
        let counter = self.run.metrics.tokens.with_label_values(&["batch"]);
        counter.inc_by(tokens);
        let id = &self.run.request_id;
        let service = self.run.plan.name.as_str();
        let encoder = Encoder::new(self.kind, id, service, clock::unix_ms() / 1_000);
        let text = self.run.partial.reader.take_text();
        RunEnd::Completed(encoder.complete_body(&text, finish))
    }

    /// Sends the item and waits for the head of the response.
    async fn send(&mut self, body: Bytes) -> RunResult<Response> {
        if self.run.lease_end_ms <= clock::now_ms() {
            return Err(RunEnd::StoppedBeforeStart);
        }
        let client = self.client.clone();
        let id = self.run.request_id.clone();
        let adapter = self.run.served.adapter.clone();
        let call = EngineCall {
            path: self.kind.path(),
            request_id: &id,
            priority: Priority::Batch,
            adapter: adapter.as_deref(),
            kv_handle: None,
            continue_from: self.run.partial.reader.next_offset(),
            at_most_once: self.run.item.input.at_most_once,
            body,
        };
        let mut sending = std::pin::pin!(client.send(call));
        let sent = loop {
            tokio::select! {
                biased;
                sent = &mut sending => break sent,
                changed = self.run.commands.changed() => {
                    let keeps_running = changed.is_ok() && self.apply_command().await;
                    if keeps_running {
                        continue;
                    }
                    return Err(self.stop_before_head(sending).await);
                }
            }
        };
        match sent {
            Ok(SendOutcome::Answer(response)) => Ok(response),
            Ok(SendOutcome::Refused(refusal)) => self.handle_refusal(refusal).await,
            Err(SendError::NotSent(message)) => {
                self.run.fleet.connection_failed(&self.run.engine.worker);
                Err(RunEnd::NotRun(message))
            }
            Err(SendError::PossiblyReceived(message)) => self.resume(message).await,
        }
    }

    /// Stops a request whose response head has not arrived. Whether the engine began
    /// it is known from the response to the cancel, or else from the head that still
    /// arrives: an engine remembers a cancel that overtook its request.
    async fn stop_before_head(
        &self,
        sending: impl std::future::Future<Output = Result<SendOutcome, SendError>>,
    ) -> RunEnd {
        match self.cancel().await {
            CancelAnswer::NotStarted => return RunEnd::StoppedBeforeStart,
            CancelAnswer::Ended => return RunEnd::Stopped,
            CancelAnswer::Unknown => {}
        }
        match tokio::time::timeout(CANCEL_TIMEOUT, sending).await {
            Ok(Ok(SendOutcome::Refused(refusal))) if refusal.not_started => {
                RunEnd::StoppedBeforeStart
            }
            Ok(Err(SendError::NotSent(_))) => RunEnd::StoppedBeforeStart,
            _ => RunEnd::Stopped,
        }
    }

    /// Turns a rejection into the outcome of the run. A duplicate means that the
    /// engine already has the request, so the run reattaches to it.
    async fn handle_refusal(&mut self, refusal: Refusal) -> RunResult<Response> {
        if refusal.is_duplicate() {
            return self.resume(refusal.message).await;
        }
        if refusal.is_leaving() {
            self.run
                .fleet
                .record_leaving_refusal(&self.run.engine.worker);
        }
        if refusal.lacks_model() {
            let model = &self.run.served.model;
            self.run.fleet.record_missing_model(&self.run.engine, model);
        }
        let message = format!("{}: {}", refusal.code, refusal.message);
        if refusal.status == 400 && refusal.not_started {
            let peer = self.run.engine.id.to_string();
            return Err(RunEnd::Failed(error_json("start", &peer, &message)));
        }
        if refusal.not_started {
            return Err(RunEnd::NotRun(message));
        }
        Err(self.give_up(message).await)
    }

    /// Gives up an answer that can't be retrieved. For an at-most-once item the
    /// response to a cancel may still show that the engine never began it.
    async fn give_up(&self, cause: String) -> RunEnd {
        if !self.run.item.input.at_most_once {
            let client = self.client.clone();
            let id = self.run.request_id.clone();
            tokio::spawn(async move { client.cancel(&id, CANCEL_TIMEOUT).await });
            return RunEnd::Lost(cause);
        }
        match self.cancel().await {
            CancelAnswer::NotStarted => RunEnd::NotRun(cause),
            _ => RunEnd::Lost(cause),
        }
    }

    /// Cancels the request at the engine and returns the outcome of the stopped run.
    async fn stop(&self) -> RunEnd {
        match self.cancel().await {
            CancelAnswer::NotStarted => RunEnd::StoppedBeforeStart,
            _ => RunEnd::Stopped,
        }
    }

    async fn cancel(&self) -> CancelAnswer {
        self.run.metrics.engine_cancels.inc();
        let id = &self.run.request_id;
        self.client.cancel(id, CANCEL_TIMEOUT).await
    }

    /// Applies the newest command at the engine. Returns false if the run has to
    /// stop. A command that the engine did not confirm is sent again by the next call.
    async fn apply_command(&mut self) -> bool {
        let newest = *self.run.commands.borrow_and_update();
        let id = &self.run.request_id;
        let answer = match newest.command {
            RunCommand::Stop => return false,
            command if command == self.confirmed => return true,
            RunCommand::Pause => self.client.pause(id).await,
            RunCommand::Run => self.client.unpause(id).await,
        };
        if answer == PauseAnswer::Done {
            self.confirmed = newest.command;
            if newest.command == RunCommand::Pause {
                let waited = newest.since.elapsed().as_secs_f64();
                self.run.metrics.batch_yield_seconds.observe(waited);
            }
        }
        true
    }
}

/// Returns the JSON error body of a failed item, as its caller receives it.
fn error_json(step: &'static str, peer: &str, message: &str) -> String {
    let failure = RequestFailure::unknown(FailureCode::BackendFailed, step, message);
    let body = failure.with_peer(peer).body();
    serde_json::json!(body).to_string()
}
