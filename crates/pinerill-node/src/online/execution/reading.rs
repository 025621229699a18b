//! Reads an answer from an engine and reconnects to the same engine when the
//! connection breaks.

use std::sync::Arc;
use std::time::Duration;

use pinerill_process::clock::timeout_at;
use reqwest::Response;

use super::failure::{AttemptStop, Interrupt};
use super::Execution;
use crate::engine::{error_chain, AttachError, CancelAnswer, Finish, Progress};
use crate::membership::{record_response_load, Engine};
use crate::online::retry::AttemptEnd;

/// Time without data after which a connection counts as broken.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delays before each attempt to resume, in milliseconds.
const RESUME_DELAYS_MS: [u64; 3] = [0, 50, 200];
/// Additional delays for a request that must not be repeated and therefore
/// cannot continue at another engine, in milliseconds.
const EXTRA_RESUME_DELAYS_MS: [u64; 3] = [500, 1_000, 2_000];
/// Number of consecutive connections without a new token that are tolerated. The
/// attempt fails when one more such connection breaks.
const MAX_CONNECTIONS_WITHOUT_PROGRESS: u32 = 3;

impl Execution {
    /// Reads the answer to its end. Each broken connection is resumed until
    /// [`MAX_CONNECTIONS_WITHOUT_PROGRESS`] is exceeded.
    pub(super) async fn read_answer(
        &mut self,
        engine: &Arc<Engine>,
        mut response: Response,
    ) -> Result<Finish, AttemptStop> {
        let mut connections_without_progress = 0;
        let mut offset = self.delivery.next_offset();
        loop {
            let broken = match self.read_connection(engine, &mut response).await? {
                Ok(finish) => return Ok(finish),
                Err(broken) => broken,
            };
            connections_without_progress += 1;
            if self.delivery.next_offset() > offset {
                offset = self.delivery.next_offset();
                connections_without_progress = 0;
            }
            if connections_without_progress > MAX_CONNECTIONS_WITHOUT_PROGRESS {
                return Err(self.abandon_engine(engine, "read", broken).await);
            }
            response = self.resume(engine, "read", broken).await?;
        }
    }

    /// Reads one connection to its end. The inner result is the end of the
    /// complete answer, or the reason why the connection broke.
    async fn read_connection(
        &mut self,
        engine: &Arc<Engine>,
        response: &mut Response,
    ) -> Result<Result<Finish, String>, AttemptStop> {
        self.delivery.start_connection();
        record_response_load(&self.context.fleet, engine, response);
        loop {
            let chunk = self
                .interruptible(tokio::time::timeout(IDLE_TIMEOUT, response.chunk()))
                .await;
            let bytes = match chunk {
                Err(interrupt) => return Err(self.on_interrupt(engine, interrupt).await),
                Ok(Err(_)) => return Ok(Err("the engine is silent".to_owned())),
                Ok(Ok(Err(error))) => return Ok(Err(error_chain(&error))),
                Ok(Ok(Ok(None))) => return Ok(Err("the stream ended early".to_owned())),
                Ok(Ok(Ok(Some(bytes)))) => bytes,
            };
            let progress = self.delivery.decode(&bytes, &self.context.metrics);
            if let Err(interrupt) = self.flush().await {
                return Err(self.on_interrupt(engine, interrupt).await);
            }
            match progress {
                Progress::Continues => {}
                Progress::Finished(finish) => return Ok(Ok(finish)),
                Progress::Broken(message) => return Ok(Err(message.to_owned())),
                Progress::Cancelled => return Err(self.ended_by_engine(engine)),
                Progress::WrongDigest => return Err(self.digest_mismatch(engine)),
            }
        }
    }

    /// Sends the decoded text to the gateway and records the time to the first
    /// token.
    async fn flush(&mut self) -> Result<(), Interrupt> {
        let deadline = self.request.deadline;
        let flushed = timeout_at(deadline, self.delivery.flush()).await;
        let Ok(text_sent) = flushed else {
            return Err(Interrupt::Deadline);
        };
        if text_sent {
            self.pending_prefill = None;
        }
        if text_sent && !self.first_token_seen {
            self.first_token_seen = true;
            let waited = self.request.received.elapsed().as_secs_f64();
            let service = self.request.plan.name.as_str();
            let histogram = &self.context.metrics.first_token;
            histogram.with_label_values(&[service]).observe(waited);
        }
        Ok(())
    }

    /// Attaches again to the request at the same engine, once after each of the
    /// resume delays. Fails if the engine does not know the request or stays unreachable.
    pub(super) async fn resume(
        &mut self,
        engine: &Arc<Engine>,
        step: &'static str,
        cause: String,
    ) -> Result<Response, AttemptStop> {
        let extra_delays = if self.request.at_most_once {
            &EXTRA_RESUME_DELAYS_MS[..]
        } else {
            &[]
        };
        for delay_ms in RESUME_DELAYS_MS.iter().chain(extra_delays) {
            let offset = self.delivery.next_offset();
            let attach = async {
                tokio::time::sleep(Duration::from_millis(*delay_ms)).await;
                engine.client.attach(&self.request.id, offset).await
            };
            match self.interruptible(attach).await {
                Err(interrupt) => return Err(self.on_interrupt(engine, interrupt).await),
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
        Err(self.abandon_engine(engine, step, cause).await)
    }

    /// Gives up on an engine that cannot be reached or makes no progress, and
    /// cancels the request there. For a request that must not be repeated,
    /// waits for the cancel's answer: if the request had not started, a retry
    /// is safe.
    async fn abandon_engine(
        &self,
        engine: &Arc<Engine>,
        step: &'static str,
        cause: String,
    ) -> AttemptStop {
        let mut end = AttemptEnd::MayHaveRun;
        if self.request.at_most_once {
            let answer = self.cancel(engine).await;
            if answer == CancelAnswer::NotStarted {
                end = AttemptEnd::NotRun;
            }
        } else {
            self.cancel_in_background(engine);
        }
        AttemptStop::Failure(self.failure(engine, end, step, cause))
    }
}
