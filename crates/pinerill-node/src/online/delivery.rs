//! From an engine's bytes to the events that the caller's side encodes.

use tokio::sync::mpsc;

use crate::engine::{AnswerReader, Finish, Progress};
use crate::failure::RequestFailure;
use crate::metrics::Metrics;

/// Events that may wait for a slow caller.
pub const EVENT_BUFFER_CAPACITY: usize = 32;

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

/// The answer to one request as it arrives, from one or more engines.
pub struct Delivery {
    reader: AnswerReader,
    events: mpsc::Sender<Event>,
}

impl Delivery {
    /// An empty answer whose events go to `events`.
    pub fn new(request_id: &str, events: mpsc::Sender<Event>) -> Self {
        Self {
            reader: AnswerReader::new(request_id),
            events,
        }
    }

    /// Number of tokens so far.
    pub fn next_offset(&self) -> u32 {
        self.reader.next_offset()
    }

    /// Forgets the unfinished event of a connection that is no more.
    pub fn start_connection(&mut self) {
        self.reader.start_connection();
    }

    /// Completes when the caller has gone.
    pub async fn caller_gone(&self) {
        self.events.closed().await;
    }

    /// Takes bytes in; the text of all their frames waits for [`Self::flush`].
    pub fn take(&mut self, bytes: &[u8], metrics: &Metrics) -> Progress {
        let progress = self.reader.take(bytes);
        metrics.count_reading(&mut self.reader, &progress);
        progress
    }

    /// Hands the text that waits to the caller's side as one event. Returns
    /// whether there was any; a caller who has gone is seen elsewhere.
    pub async fn flush(&mut self) -> bool {
        let text = self.reader.take_text();
        if text.is_empty() {
            return false;
        }
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
