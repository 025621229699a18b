//! Reads the streamed answer of an item and applies commands meanwhile.

use std::time::Duration;

use reqwest::Response;

use super::{error_json, RunResult, Session};
use crate::batch::message::{RunCommand, RunEnd};
use crate::engine::{error_chain, AnswerReader, AttachError, Finish, Progress};
use crate::membership::record_response_load;

/// Time without data after which the run reattaches, to check whether the engine
/// still has the item.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause before a command that the engine did not confirm is retried.
const COMMAND_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Stalls in a row that are tolerated before the item counts as lost at the engine.
const MAX_STALLS: u32 = 20;
/// Backoff before each attempt to reattach, milliseconds.
const RESUME_BACKOFFS_MS: [u64; 3] = [0, 50, 200];
/// Further backoffs for an at-most-once item, which can't continue at another
/// engine, milliseconds.
const AT_MOST_ONCE_RESUME_BACKOFFS_MS: [u64; 3] = [500, 1_000, 2_000];
/// Broken connections in a row without a new token that are tolerated before the
/// item counts as lost.
const MAX_BREAKS_WITHOUT_PROGRESS: u32 = 3;
/// Longest text of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Why reading from one connection ended.
enum ConnectionEnd {
    /// The answer is complete.
    Finished(Finish),
    /// No data arrived for the stall timeout.
    Stalled,
    /// The connection broke; holds the cause.
    Broken(String),
}

impl Session {
    /// Reads the answer to its end and reattaches after stalls and broken
    /// connections.
    pub(super) async fn read(&mut self, mut response: Response) -> RunResult<Finish> {
        let mut breaks = 0;
        let mut stalls = 0;
        let mut offset = self.run.partial.reader.next_offset();
        loop {
            let broken = match self.read_connection(&mut response).await? {
                ConnectionEnd::Finished(finish) => return Ok(finish),
                ConnectionEnd::Stalled => {
                    stalls += 1;
                    "the engine is silent".to_owned()
                }
                ConnectionEnd::Broken(cause) => {
                    breaks += 1;
                    cause
                }
            };
            if self.run.partial.reader.next_offset() > offset {
                offset = self.run.partial.reader.next_offset();
                (breaks, stalls) = (0, 0);
            }
            if breaks > MAX_BREAKS_WITHOUT_PROGRESS || stalls > MAX_STALLS {
                return Err(self.give_up(broken).await);
            }
            response = self.resume(broken).await?;
        }
    }

    /// Reads from one connection until the answer is complete, the connection
    /// breaks or stalls, or the run has to stop.
    async fn read_connection(&mut self, response: &mut Response) -> RunResult<ConnectionEnd> {
        self.run.partial.reader.start_connection();
        record_response_load(&self.run.fleet, &self.run.engine, response);
        loop {
            // A command may have overtaken its request, which the engine did not
            // know then. Data from the engine shows that it knows the request now,
            // so an unconfirmed command is sent again.
            if !self.apply_command().await {
                return Err(self.stop().await);
            }
            let is_confirmed = self.run.commands.borrow().command == self.confirmed;
            let timeout = if is_confirmed {
                STALL_TIMEOUT
            } else {
                COMMAND_RETRY_PAUSE
            };
            let chunk = tokio::select! {
                biased;
                changed = self.run.commands.changed() => match changed {
                    Ok(()) => continue,
                    Err(_) => return Err(self.stop().await),
                },
                chunk = tokio::time::timeout(timeout, response.chunk()) => chunk,
            };
            let bytes = match chunk {
                Err(_) if !is_confirmed || self.confirmed == RunCommand::Pause => continue,
                Err(_) => return Ok(ConnectionEnd::Stalled),
                Ok(Err(error)) => return Ok(ConnectionEnd::Broken(error_chain(&error))),
                Ok(Ok(None)) => {
                    return Ok(ConnectionEnd::Broken("the stream ended early".to_owned()))
                }
                Ok(Ok(Some(bytes))) => bytes,
            };
            if let Some(end) = self.process_bytes(&bytes).await? {
                return Ok(end);
            }
        }
    }

    /// Feeds received bytes to the reader. Returns how the connection ended, or
    /// `None` if the answer continues.
    async fn process_bytes(&mut self, bytes: &[u8]) -> RunResult<Option<ConnectionEnd>> {
        let reader = &mut self.run.partial.reader;
        let progress = reader.push_bytes(bytes);
        self.run.metrics.count_reading(reader, &progress);
        if reader.text().len() > MAX_ANSWER_BYTES {
            self.cancel().await;
            let peer = self.run.engine.id.to_string();
            let message = format!("an answer may have {MAX_ANSWER_BYTES} bytes");
            return Err(RunEnd::Failed(error_json("read", &peer, &message)));
        }
        match progress {
            Progress::Continues => Ok(None),
            Progress::Finished(finish) => Ok(Some(ConnectionEnd::Finished(finish))),
            Progress::Broken(cause) => Ok(Some(ConnectionEnd::Broken(cause.to_owned()))),
            Progress::Cancelled => {
                let message = "the engine ended the request early".to_owned();
                Err(RunEnd::Lost(message))
            }
            Progress::WrongDigest => {
                // No part of this answer can be continued at another engine.
                self.run.partial.reader = AnswerReader::new(&self.run.request_id);
                let message = "the digest over the whole answer does not fit".to_owned();
                Err(RunEnd::Lost(message))
            }
        }
    }

    /// Reattaches to the item at the same engine from the next missing token on.
    /// Gives the item up as lost for `cause` if the engine does not know it or all
    /// attempts fail.
    pub(super) async fn resume(&mut self, cause: String) -> RunResult<Response> {
        let extra_backoffs = if self.run.item.input.at_most_once {
            &AT_MOST_ONCE_RESUME_BACKOFFS_MS[..]
        } else {
            &[]
        };
        for backoff in RESUME_BACKOFFS_MS.iter().chain(extra_backoffs) {
            tokio::time::sleep(Duration::from_millis(*backoff)).await;
            if self.run.commands.borrow().command == RunCommand::Stop {
                return Err(self.stop().await);
            }
            let offset = self.run.partial.reader.next_offset();
            match self.client.attach(&self.run.request_id, offset).await {
                Ok(response) => {
                    self.run.metrics.resumes.inc();
                    return Ok(response);
                }
                Err(AttachError::UnknownRequest) => break,
                Err(AttachError::Unreachable(_)) => {
                    self.run.fleet.connection_failed(&self.run.engine.worker);
                }
            }
        }
        Err(self.give_up(cause).await)
    }
}
