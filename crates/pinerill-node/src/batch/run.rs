//! One item at one engine: send, read, step aside when told, resume after a
//! cut, and say how it ended.

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

/// Longest wait for the answer to a cancel, and for a head after it.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// The newest command to a run, and since when it holds.
#[derive(Debug, Clone, Copy)]
pub struct Told {
    /// The command.
    pub command: RunCommand,
    /// When it was decided.
    pub since: Instant,
}

/// What was read of an answer so far.
#[derive(Debug)]
pub struct Partial {
    /// The version that it came from.
    pub served: Option<Served>,
    /// The answer.
    pub reader: AnswerReader,
}

/// One item at one engine.
pub struct EngineRun {
    /// The engine.
    pub engine: Arc<Engine>,
    /// Takes in what is learnt of workers.
    pub fleet: Arc<Fleet>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// The item's service.
    pub plan: Arc<ServicePlan>,
    /// The names under which the engine serves it.
    pub served: Served,
    /// The item.
    pub item: Arc<LeasedItem>,
    /// Its identifier at engines.
    pub request_id: String,
    /// When its lease ends, by the node's clock; nothing is sent after it.
    pub lease_end_ms: u64,
    /// What it is told.
    pub told: watch::Receiver<Told>,
    /// What engines before gave of the answer.
    pub partial: Partial,
}

/// The state of a run that is under way.
struct Session {
    run: EngineRun,
    client: EngineClient,
    kind: RequestKind,
    /// The last command that the engine has carried out.
    applied: RunCommand,
}

type Ended<T> = Result<T, RunEnd>;

impl EngineRun {
    /// Runs it to its end at this engine.
    pub async fn run(self) -> (RunEnd, Partial) {
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
            applied: RunCommand::Run,
        };
        let ended = session.run_parsed(&parsed).await;
        let end = ended.map_or_else(|end| end, |finish| session.completed(&finish));
        (end, session.run.partial)
    }
}

impl Session {
    async fn run_parsed(&mut self, parsed: &ParsedRequest) -> Ended<Finish> {
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

    /// Sends the item and waits for the head of the answer.
    async fn send(&mut self, body: Bytes) -> Ended<Response> {
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
            body,
        };
        let mut sending = std::pin::pin!(client.send(call));
        let sent = loop {
            tokio::select! {
                biased;
                sent = &mut sending => break sent,
                changed = self.run.told.changed() => {
                    let told = changed.is_ok() && self.follow().await;
                    if told {
                        continue;
                    }
                    return Err(self.stop_before_head(sending).await);
                }
            }
        };
        match sent {
            Ok(SendOutcome::Answer(response)) => Ok(response),
            Ok(SendOutcome::Refused(refusal)) => self.refused(refusal).await,
            Err(SendError::NotSent(message)) => {
                self.run.fleet.connection_failed(&self.run.engine.worker);
                Err(RunEnd::NotRun(message))
            }
            Err(SendError::PossiblyReceived(message)) => self.resume(message).await,
        }
    }

    /// Whether an engine that has answered nothing yet ever began is known
    /// from its answer to the cancel, or else from the head that still comes:
    /// an engine remembers a cancel that overtook its request.
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

    async fn refused(&mut self, refusal: Refusal) -> Ended<Response> {
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
        Err(self.lost(message).await)
    }

    /// The engine's work is out of reach; the answer to a cancel may still say
    /// that it never began.
    async fn lost(&self, cause: String) -> RunEnd {
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

    /// Carries the newest command out. False: it is to stop.
    async fn follow(&mut self) -> bool {
        let told = *self.run.told.borrow_and_update();
        let id = &self.run.request_id;
        let answer = match told.command {
            RunCommand::Stop => return false,
            command if command == self.applied => return true,
            RunCommand::Pause => self.client.pause(id).await,
            RunCommand::Run => self.client.unpause(id).await,
        };
        if answer == PauseAnswer::Done {
            self.applied = told.command;
            if told.command == RunCommand::Pause {
                let waited = told.since.elapsed().as_secs_f64();
                self.run.metrics.batch_yield_seconds.observe(waited);
            }
        }
        true
    }
}

/// The error of an item, as its caller reads it.
fn error_json(step: &'static str, peer: &str, message: &str) -> String {
    let failure = RequestFailure::unknown(FailureCode::BackendFailed, step, message);
    let body = failure.with_peer(peer).body();
    serde_json::json!(body).to_string()
}
