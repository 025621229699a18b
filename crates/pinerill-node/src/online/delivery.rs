//! From an engine's bytes to the events that the caller's side encodes.

use tokio::sync::mpsc;

use crate::engine::{Accepted, Assembly, Finish, Frame, SseParser};
use crate::failure::RequestFailure;
use crate::metrics::Metrics;

/// Events that may wait for a slow caller.
pub const EVENTS_IN_FLIGHT: usize = 32;
/// Data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// What the caller's side gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// More text.
    Text(String),
    /// The answer is whole.
    Finished(Finish),
    /// The request failed.
    Failed(RequestFailure),
}

/// What one chunk of bytes led to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// Go on reading.
    Continues,
    /// The answer is whole.
    Finished(Finish),
    /// The engine ended the request before its end.
    Cancelled,
    /// Attach again: something is missing or unreadable.
    Broken(&'static str),
    /// The digest over the whole answer does not fit.
    WrongDigest,
}

/// The answer to one request as it arrives, from one or more engines.
pub struct Delivery {
    assembly: Assembly,
    parser: SseParser,
    events: mpsc::Sender<Event>,
    text: String,
}

impl Delivery {
    /// An empty answer whose events go to `events`.
    pub fn new(request_id: &str, events: mpsc::Sender<Event>) -> Self {
        Self {
            assembly: Assembly::new(request_id),
            parser: SseParser::default(),
            events,
            text: String::new(),
        }
    }

    /// Number of tokens so far.
    pub fn next_offset(&self) -> u32 {
        self.assembly.next_offset()
    }

    /// Forgets the unfinished event of a connection that is no more.
    pub fn start_connection(&mut self) {
        self.parser = SseParser::default();
    }

    /// Completes when the caller has gone.
    pub async fn caller_gone(&self) {
        self.events.closed().await;
    }

    /// Takes bytes in; the text of all their frames waits for [`Self::flush`].
    pub fn take(&mut self, bytes: &[u8], metrics: &Metrics) -> Progress {
        if self.parser.push(bytes).is_err() {
            return Progress::Broken("an event is too long");
        }
        while let Some(data) = self.parser.next_data() {
            if data.as_ref() == DONE {
                continue;
            }
            let Ok(frame) = serde_json::from_slice::<Frame<'_>>(&data) else {
                return Progress::Broken("an event is not a frame");
            };
            match self.take_frame(&frame, metrics) {
                Progress::Continues => {}
                other => return other,
            }
        }
        Progress::Continues
    }

    fn take_frame(&mut self, frame: &Frame<'_>, metrics: &Metrics) -> Progress {
        match self.assembly.accept(frame) {
            Accepted::Text => self.text.push_str(&frame.text),
            Accepted::Finished(finish) => {
                self.text.push_str(&frame.text);
                return Progress::Finished(finish);
            }
            Accepted::Cancelled => return Progress::Cancelled,
            Accepted::Gap => return Progress::Broken("tokens are missing"),
            Accepted::WrongDigest => {
                metrics.digest_mismatches.inc();
                return Progress::WrongDigest;
            }
            Accepted::Foreign => metrics.frames_foreign.inc(),
            Accepted::Late => metrics.frames_late.inc(),
        }
        Progress::Continues
    }

    /// Hands the text that waits to the caller's side as one event. Returns
    /// whether there was any; a caller who has gone is seen elsewhere.
    pub async fn flush(&mut self) -> bool {
        if self.text.is_empty() {
            return false;
        }
        let text = std::mem::take(&mut self.text);
        let _ = self.events.send(Event::Text(text)).await;
        true
    }

    /// Hands the last event over.
    pub async fn end(&self, event: Event) {
        let _ = self.events.send(event).await;
    }

    /// Hands text over that did not come in frames (old scripts).
    pub async fn text(&self, text: String) {
        let _ = self.events.send(Event::Text(text)).await;
    }
}
