//! Decodes the bytes that an engine streams and forwards the answer as events
//! to the gateway, which encodes them for the caller.

use tokio::sync::mpsc;

use crate::engine::{AnswerReader, Finish, Progress};
use crate::failure::RequestFailure;
use crate::metrics::Metrics;

/// Capacity of the event channel of one request. When a slow caller leaves it
/// full, reading from the engine pauses.
pub const EVENT_BUFFER_CAPACITY: usize = 32;

/// A step of an answer, sent to the gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Text that follows the text sent so far.
    Text(String),
    /// The answer is complete; this is the last event.
    Finished(Finish),
    /// The request failed; this is the last event.
    Failed(RequestFailure),
}

/// The partial answer to one request. It is kept across attempts, so that
/// another connection or another engine can continue it.
pub struct Delivery {
    reader: AnswerReader,
    events: mpsc::Sender<Event>,
}

impl Delivery {
    /// Creates an empty answer that sends its events to `events`.
    pub fn new(request_id: &str, events: mpsc::Sender<Event>) -> Self {
        Self {
            reader: AnswerReader::new(request_id),
            events,
        }
    }

    /// Returns the number of tokens received so far, which is the offset from
    /// which an engine continues the answer.
    pub fn next_offset(&self) -> u32 {
        self.reader.next_offset()
    }

    /// Prepares for the bytes of a new connection: discards the incomplete
    /// event that the previous connection left.
    pub fn start_connection(&mut self) {
        self.reader.start_connection();
    }

    /// Completes when the caller has disconnected.
    pub async fn caller_gone(&self) {
        self.events.closed().await;
    }

    /// Decodes bytes from the engine and buffers their text until
    /// [`Self::flush`].
    pub fn decode(&mut self, bytes: &[u8], metrics: &Metrics) -> Progress {
        let progress = self.reader.push_bytes(bytes);
        metrics.count_reading(&mut self.reader, &progress);
        progress
    }

    /// Sends the buffered text as one event and returns whether there was any.
    /// Waits while the channel is full. A disconnected caller is not an error
    /// here; [`Self::caller_gone`] reports it.
    pub async fn flush(&mut self) -> bool {
        let text = self.reader.take_text();
        if text.is_empty() {
            return false;
        }
        let _ = self.events.send(Event::Text(text)).await;
        true
    }

    /// Sends the last event.
    pub async fn send_last(&self, event: Event) {
        let _ = self.events.send(event).await;
    }

    /// Sends text that did not arrive in engine frames, such as the text from a
    /// script back end.
    pub async fn send_text(&self, text: String) {
        let _ = self.events.send(Event::Text(text)).await;
    }
}
