//! Reads an answer to its end, over as many connections as it takes.

use std::sync::Arc;
use std::time::Duration;

use pinerill_process::clock::timeout_at;
use reqwest::Response;

use super::failure::{AttemptStop, Interrupt};
use super::Execution;
use crate::engine::{error_chain, AttachError, CancelAnswer, Finish, Progress};
use crate::membership::{record_response_load, Engine};
use crate::online::retry::AttemptEnd;

/// Silence of an engine after which its stream counts as cut.
const STALL: Duration = Duration::from_secs(10);
/// Pauses before each try to resume, milliseconds.
const RESUME_PAUSES_MS: [u64; 3] = [0, 50, 200];
/// Further pauses of a request that can't go on elsewhere.
const RESUME_PATIENT_PAUSES_MS: [u64; 3] = [500, 1_000, 2_000];
/// Resumes without a new token after which a stream counts as lost.
const FRUITLESS_RESUMES_LIMIT: u32 = 3;

impl Execution {
    pub(super) async fn read(
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
        record_response_load(&self.context.fleet, engine, response);
        loop {
            let chunk = self
                .guarded(tokio::time::timeout(STALL, response.chunk()))
                .await;
            let bytes = match chunk {
                Err(interrupt) => return Err(self.interrupted(engine, interrupt).await),
                Ok(Err(_)) => return Ok(Err("the engine is silent".to_owned())),
                Ok(Ok(Err(error))) => return Ok(Err(error_chain(&error))),
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
        let flushed = timeout_at(deadline, self.delivery.flush()).await;
        let Ok(text) = flushed else {
            return Err(Interrupt::Deadline);
        };
        if text {
            self.pending_prefill = None;
        }
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
    pub(super) async fn resume(
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
}
