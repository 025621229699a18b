//! Reads an item's answer to its end, and steps aside when told.

use std::time::Duration;

use reqwest::Response;

use super::{error_json, Ended, Session};
use crate::batch::message::{RunCommand, RunEnd};
use crate::engine::{error_chain, AnswerReader, AttachError, Finish, Progress};
use crate::membership::record_response_load;

/// Silence of an engine after which it is asked whether it still has the item.
const STALL: Duration = Duration::from_secs(30);
/// Pause before a command that an engine did not take is given again.
const COMMAND_PAUSE: Duration = Duration::from_millis(200);
/// Such silences in a row after which the item counts as lost there.
const SILENCES_LIMIT: u32 = 20;
/// Pauses before each try to resume, milliseconds.
const RESUME_PAUSES_MS: [u64; 3] = [0, 50, 200];
/// Further pauses for an item that can't go on elsewhere.
const RESUME_PATIENT_PAUSES_MS: [u64; 3] = [500, 1_000, 2_000];
/// Resumes without a new token after which an item counts as lost.
const FRUITLESS_RESUMES_LIMIT: u32 = 3;
/// Longest answer, in bytes.
const ANSWER_LIMIT: usize = 8 * 1024 * 1024;

/// How reading one connection ended.
enum Reading {
    /// The answer is whole.
    Finished(Finish),
    /// Nothing came for a long time.
    Silent,
    /// It broke for this reason.
    Broken(String),
}

impl Session {
    /// Reads the answer to its end, over as many connections as it takes.
    pub(super) async fn read(&mut self, mut response: Response) -> Ended<Finish> {
        let mut fruitless = 0;
        let mut silences = 0;
        let mut offset = self.run.partial.reader.next_offset();
        loop {
            let broken = match self.read_connection(&mut response).await? {
                Reading::Finished(finish) => return Ok(finish),
                Reading::Silent => {
                    silences += 1;
                    "the engine is silent".to_owned()
                }
                Reading::Broken(cause) => {
                    fruitless += 1;
                    cause
                }
            };
            if self.run.partial.reader.next_offset() > offset {
                offset = self.run.partial.reader.next_offset();
                (fruitless, silences) = (0, 0);
            }
            if fruitless > FRUITLESS_RESUMES_LIMIT || silences > SILENCES_LIMIT {
                return Err(self.lost(broken).await);
            }
            response = self.resume(broken).await?;
        }
    }

    async fn read_connection(&mut self, response: &mut Response) -> Ended<Reading> {
        self.run.partial.reader.start_connection();
        record_response_load(&self.run.fleet, &self.run.engine, response);
        loop {
            // A command may have met a request that the engine did not know
            // yet; what the engine sends shows that it knows it now.
            if !self.follow().await {
                return Err(self.stop().await);
            }
            let obeyed = self.run.told.borrow().command == self.applied;
            let patience = if obeyed { STALL } else { COMMAND_PAUSE };
            let chunk = tokio::select! {
                biased;
                changed = self.run.told.changed() => match changed {
                    Ok(()) => continue,
                    Err(_) => return Err(self.stop().await),
                },
                chunk = tokio::time::timeout(patience, response.chunk()) => chunk,
            };
            let bytes = match chunk {
                Err(_) if !obeyed || self.applied == RunCommand::Pause => continue,
                Err(_) => return Ok(Reading::Silent),
                Ok(Err(error)) => return Ok(Reading::Broken(error_chain(&error))),
                Ok(Ok(None)) => return Ok(Reading::Broken("the stream ended early".to_owned())),
                Ok(Ok(Some(bytes))) => bytes,
            };
            if let Some(reading) = self.take(&bytes).await? {
                return Ok(reading);
            }
        }
    }

    async fn take(&mut self, bytes: &[u8]) -> Ended<Option<Reading>> {
        let reader = &mut self.run.partial.reader;
        let progress = reader.push_bytes(bytes);
        self.run.metrics.count_reading(reader, &progress);
        if reader.text().len() > ANSWER_LIMIT {
            self.cancel().await;
            let peer = self.run.engine.id.to_string();
            let message = format!("an answer may have {ANSWER_LIMIT} bytes");
            return Err(RunEnd::Failed(error_json("read", &peer, &message)));
        }
        match progress {
            Progress::Continues => Ok(None),
            Progress::Finished(finish) => Ok(Some(Reading::Finished(finish))),
            Progress::Broken(cause) => Ok(Some(Reading::Broken(cause.to_owned()))),
            Progress::Cancelled => {
                let message = "the engine ended the request early".to_owned();
                Err(RunEnd::Lost(message))
            }
            Progress::WrongDigest => {
                // Nothing of this answer can be relied on elsewhere.
                self.run.partial.reader = AnswerReader::new(&self.run.request_id);
                let message = "the digest over the whole answer does not fit".to_owned();
                Err(RunEnd::Lost(message))
            }
        }
    }

    /// Attaches to the item at the same engine.
    pub(super) async fn resume(&mut self, cause: String) -> Ended<Response> {
        let patient = if self.run.item.input.at_most_once {
            &RESUME_PATIENT_PAUSES_MS[..]
        } else {
            &[]
        };
        for pause in RESUME_PAUSES_MS.iter().chain(patient) {
            tokio::time::sleep(Duration::from_millis(*pause)).await;
            if self.run.told.borrow().command == RunCommand::Stop {
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
        Err(self.lost(cause).await)
    }
}
