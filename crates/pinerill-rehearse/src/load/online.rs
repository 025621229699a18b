//! Sends online requests at their times, whatever became of those before.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use futures::StreamExt;
use reqwest::header::CONTENT_TYPE;
use reqwest::Response;
use tokio::time::Instant;

use super::content::{ContentContext, OnlineRequest};
use super::profile::OnlineProfile;
use super::record::{OnlineEnd, OnlineRecord};
use super::schedule::Arrival;
use super::sse::{ErrorBody, Event, EventReader, FailureBody, StreamEvent};
use crate::answer::TOKEN_TEXT_BYTES;
use crate::ledger::unix_us;

/// Content type of a streamed answer.
const EVENT_STREAM: &str = "text/event-stream";

/// Code of a request for which no connection could be had.
pub const NOT_CONNECTED: &str = "not_connected";

/// Where online requests go.
#[async_trait]
pub trait OnlineTarget: Send + Sync {
    /// Sends a request and returns the answer once its head is there.
    async fn send(&self, request: &OnlineRequest) -> reqwest::Result<Sent>;
}

/// An answer whose head is there.
pub struct Sent {
    /// The answer.
    pub response: Response,
    /// Held until the answer is read.
    pub guard: Option<Box<dyn Send>>,
}

/// Sends all arrivals at their times and waits for the answers.
pub async fn run(
    target: Arc<dyn OnlineTarget>,
    context: Arc<ContentContext>,
    profile: Arc<OnlineProfile>,
    arrivals: Vec<Arrival>,
    start: Instant,
    answer_timeout: Duration,
) -> Vec<OnlineRecord> {
    let mut requests = Vec::with_capacity(arrivals.len());
    for arrival in arrivals {
        tokio::time::sleep_until(start + arrival.at).await;
        let request = context.online_request(&profile, &arrival);
        let due = start + arrival.at;
        let target = target.clone();
        requests.push(tokio::spawn(async move {
            run_one(&*target, &request, due, answer_timeout).await
        }));
    }
    let mut records = Vec::with_capacity(requests.len());
    for request in requests {
        records.extend(request.await.ok());
    }
    records
}

/// Sends one request that was due at `due` and reads its answer.
pub async fn run_one(
    target: &dyn OnlineTarget,
    request: &OnlineRequest,
    due: Instant,
    timeout: Duration,
) -> OnlineRecord {
    let mut reading = Reading::new(request, due);
    let end = match tokio::time::timeout_at(due + timeout, reading.run(target)).await {
        Ok(end) => end,
        Err(_) => OnlineEnd::Failed("no whole answer in time".to_string()),
    };
    reading.into_record(end)
}

/// An answer being read.
struct Reading<'a> {
    request: &'a OnlineRequest,
    due: Instant,
    due_us: u64,
    last_delivery: Option<Instant>,
    first_token: Option<Duration>,
    gaps_us: Vec<u32>,
    text: String,
    finished: bool,
}

impl<'a> Reading<'a> {
    fn new(request: &'a OnlineRequest, due: Instant) -> Self {
        Self {
            request,
            due,
            due_us: unix_us() - due.elapsed().as_micros() as u64,
            last_delivery: None,
            first_token: None,
            gaps_us: Vec::with_capacity(request.max_tokens as usize),
            text: String::with_capacity(request.max_tokens as usize * TOKEN_TEXT_BYTES),
            finished: false,
        }
    }

    async fn run(&mut self, target: &dyn OnlineTarget) -> OnlineEnd {
        let sent = match target.send(self.request).await {
            Ok(sent) => sent,
            Err(error) => return no_answer(&error),
        };
        let Sent { response, guard } = sent;
        let _counted_until_read = guard;
        if !response.status().is_success() {
            return refusal(response).await;
        }
        let read = match is_stream(&response) {
            true => self.read(response).await,
            false => self.read_whole(response).await,
        };
        match read {
            Ok(()) => self.judge(),
            Err(end) => end,
        }
    }

    /// Reads up to the end mark.
    async fn read(&mut self, response: Response) -> Result<(), OnlineEnd> {
        let mut body = response.bytes_stream();
        let mut reader = EventReader::default();
        let mut events = Vec::new();
        while let Some(bytes) = body.next().await {
            let bytes = bytes.map_err(|error| OnlineEnd::Failed(error.to_string()))?;
            reader.push(&bytes, &mut events);
            for event in events.drain(..) {
                match event {
                    Event::Data(event) => self.take(&event)?,
                    Event::Done => return Ok(()),
                    Event::Malformed(text) => return Err(OnlineEnd::WrongAnswer(text)),
                }
            }
        }
        Err(OnlineEnd::Failed("the stream ended early".to_string()))
    }

    /// Reads an answer in one piece.
    async fn read_whole(&mut self, response: Response) -> Result<(), OnlineEnd> {
        let body = response.bytes().await;
        let body = body.map_err(|error| OnlineEnd::Failed(error.to_string()))?;
        let answer: StreamEvent = serde_json::from_slice(&body)
            .map_err(|error| OnlineEnd::WrongAnswer(error.to_string()))?;
        self.take(&answer)
    }

    fn take(&mut self, event: &StreamEvent) -> Result<(), OnlineEnd> {
        if let Some(error) = &event.error {
            return Err(OnlineEnd::Failed(error.code.clone()));
        }
        if event.finish_reason().is_some() {
            self.finished = true;
        }
        let text = event.text();
        if text.is_empty() {
            return Ok(());
        }
        let now = Instant::now();
        match self.last_delivery {
            None => self.first_token = Some(now - self.due),
            Some(last) => self.gaps_us.push((now - last).as_micros() as u32),
        }
        self.last_delivery = Some(now);
        self.text.push_str(text);
        Ok(())
    }

    fn judge(&self) -> OnlineEnd {
        let tokens = self.request.max_tokens;
        let mut answers = self.request.answers.iter();
        let right = answers.any(|answer| answer.text(0, tokens) == self.text);
        if right && self.finished {
            return OnlineEnd::Completed;
        }
        OnlineEnd::WrongAnswer(format!(
            "{} bytes of {}, the right text: {right}, finished: {}",
            self.text.len(),
            tokens as usize * TOKEN_TEXT_BYTES,
            self.finished
        ))
    }

    fn into_record(self, end: OnlineEnd) -> OnlineRecord {
        let arrival = &self.request.arrival;
        OnlineRecord {
            number: arrival.number,
            request_id: self.request.request_id.clone(),
            kind: arrival.kind,
            in_burst: arrival.in_burst,
            at_most_once: arrival.at_most_once,
            content: self.request.content.clone(),
            due_us: self.due_us,
            first_token_us: self.first_token.map(|time| time.as_micros() as u64),
            tokens: (self.text.len() / TOKEN_TEXT_BYTES) as u32,
            gaps_us: self.gaps_us,
            end,
        }
    }
}

fn is_stream(response: &Response) -> bool {
    let kind = response.headers().get(CONTENT_TYPE);
    let kind = kind.and_then(|kind| kind.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with(EVENT_STREAM))
}

/// A request without a connection was not sent, so it did not run.
fn no_answer(error: &reqwest::Error) -> OnlineEnd {
    if !error.is_connect() {
        return OnlineEnd::Failed(error.to_string());
    }
    OnlineEnd::NotRun(Box::new(ErrorBody {
        code: NOT_CONNECTED.to_owned(),
        message: error.to_string(),
        ..ErrorBody::default()
    }))
}

async fn refusal(response: Response) -> OnlineEnd {
    let status = response.status();
    match response.json::<FailureBody>().await {
        Ok(body) if body.error.says_not_run() => OnlineEnd::NotRun(Box::new(body.error)),
        Ok(body) => OnlineEnd::Failed(format!("{status} {}", body.error.code)),
        Err(error) => OnlineEnd::Failed(format!("{status}: {error}")),
    }
}
