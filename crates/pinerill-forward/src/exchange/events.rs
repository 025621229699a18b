//! Events of a `text/event-stream`, scanned as they arrive.
//!
//! Only whole events are handed on. Those with a number must rise by one: a
//! missing, doubled or foreign event ends the exchange.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Longest event; a longer one can't be right.
const EVENT_LIMIT: usize = 1 << 20;

/// Whole events in the order of arrival.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct EventBatch {
    /// Their bytes, unchanged.
    pub bytes: Bytes,
    /// How many they are.
    pub count: usize,
}

/// What is wrong with a series of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum EventOrderError {
    /// An event does not follow the last one.
    #[error("event {found} after event {last}")]
    OutOfOrder {
        /// The last event that was whole and in order.
        last: u64,
        /// The one that came.
        found: u64,
    },
    /// An event is too long.
    #[error("an event is too long")]
    TooLong,
}

/// Splits a body into whole events.
#[derive(Debug, Default)]
pub struct EventScanner {
    pending: BytesMut,
    /// Where to look on for the end of the pending event.
    searched: usize,
    last: Option<u64>,
}

impl EventScanner {
    /// A scanner of a series that continues after an event, or begins.
    pub fn after(last: Option<u64>) -> Self {
        EventScanner {
            last,
            ..EventScanner::default()
        }
    }

    /// Number of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether a part of an event has arrived.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Takes in a piece of the body and hands out the events that are whole
    /// by now.
    ///
    /// # Errors
    /// When an event is out of order or too long. Events before it were
    /// handed out, or are lost with this batch: [`EventScanner::last`] is the
    /// last one of the batches that were handed out.
    pub fn push(&mut self, piece: &[u8]) -> Result<EventBatch, EventOrderError> {
        self.pending.extend_from_slice(piece);
        let mut last = self.last;
        let mut count = 0;
        let mut whole = 0;
        while let Some(end) = self.next_end(whole) {
            last = follow(last, event_number(&self.pending[whole..end]))?;
            whole = end;
            count += 1;
        }
        if self.pending.len() - whole > EVENT_LIMIT {
            return Err(EventOrderError::TooLong);
        }
        self.last = last;
        let bytes = self.pending.split_to(whole).freeze();
        self.searched = self.pending.len().saturating_sub(1);
        Ok(EventBatch { bytes, count })
    }

    /// End of the event that begins at `start`: behind its empty line.
    fn next_end(&mut self, start: usize) -> Option<usize> {
        let from = self.searched.max(start);
        let found = self.pending[from..]
            .windows(2)
            .position(|pair| pair == b"\n\n")?;
        let end = from + found + 2;
        self.searched = end;
        Some(end)
    }
}

fn follow(last: Option<u64>, number: Option<u64>) -> Result<Option<u64>, EventOrderError> {
    match (last, number) {
        (last, None) => Ok(last),
        (None, first) => Ok(first),
        (Some(last), Some(found)) if found == last + 1 => Ok(Some(found)),
        (Some(last), Some(found)) => Err(EventOrderError::OutOfOrder { last, found }),
    }
}

fn event_number(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// The data of a series of events, joined by line feeds.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct EventText {
    bytes: Vec<u8>,
    begun: bool,
}

impl EventText {
    /// Appends the data of whole events.
    pub fn append(&mut self, events: &[u8]) {
        for line in events.split(|byte| *byte == b'\n') {
            if let Some(data) = line.strip_prefix(b"data:") {
                self.append_line(data.strip_prefix(b" ").unwrap_or(data));
            }
        }
    }

    /// The whole text.
    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }

    fn append_line(&mut self, data: &[u8]) {
        if self.begun {
            self.bytes.push(b'\n');
        }
        self.begun = true;
        self.bytes.extend_from_slice(data);
    }
}
