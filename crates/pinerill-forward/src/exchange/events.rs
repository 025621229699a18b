//! Incremental scanner for `text/event-stream` bodies.
//!
//! Only complete events are passed on. Numeric event ids must increase by one: a missing,
//! duplicate or unrelated event is an error that ends the exchange.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

use super::break_reason::BreakReason;

/// Largest accepted event, in bytes. A longer one is treated as malformed.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Most bytes of comments and empty lines between two events with data or an id.
const MAX_EMPTY_BYTES: usize = 64 << 10;

/// Complete events in order of arrival.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct EventBatch {
    /// Bytes of the events, unchanged.
    pub bytes: Bytes,
    /// Number of events in `bytes`.
    pub count: usize,
}

/// Violation of the event order or of the size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum EventOrderError {
    /// The id of an event is not one above the id of the event before it.
    #[error("event {found} after event {last}")]
    OutOfOrder {
        /// Id of the last complete event that was in order.
        last: u64,
        /// Id of the event that arrived instead of the next one.
        found: u64,
    },
    /// An event is longer than the limit of 1 MiB.
    #[error("event exceeds the size limit")]
    TooLong,
    /// More than 64 KiB hold neither data nor an id.
    #[error("too many bytes without an event")]
    Empty,
}

/// Splits a body, received in arbitrary chunks, into complete events.
#[derive(Debug, Default)]
pub struct EventScanner {
    pending: BytesMut,
    /// Offset in `pending` from which the search for the end of an event continues.
    search_from: usize,
    last: Option<u64>,
    /// Whether any event has arrived, here or before the resumption.
    has_events: bool,
    /// Bytes of comments and empty lines since the last event with data or an id.
    empty_bytes: usize,
}

impl EventScanner {
    /// Returns a scanner for a stream that resumes after the event with id `last`, or that begins
    /// with any id if `last` is `None`.
    pub fn after(last: Option<u64>) -> Self {
        EventScanner {
            last,
            has_events: last.is_some(),
            ..EventScanner::default()
        }
    }

    /// Returns the id of the last complete event; `None` before the first event with an id.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Checks that the stream may end here: with a complete event, or without any behind the event
    /// after which it resumes. A stream that begins has at least one event.
    ///
    /// # Errors
    /// Returns why the stream is not whole.
    pub fn check_end(&self) -> Result<(), BreakReason> {
        match self.has_partial_event() {
            true => Err(BreakReason::Truncated),
            false if self.has_events => Ok(()),
            false => Err(BreakReason::NoEvents),
        }
    }

    /// Returns whether the buffer ends with an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Appends a chunk of the body and returns the events that it completes; the batch may be
    /// empty.
    ///
    /// # Errors
    /// Returns an error if an event is out of order or too long. The complete events of this
    /// chunk are then discarded, and [`EventScanner::last`] still names the last event of the
    /// batches returned before.
    pub fn push(&mut self, piece: &[u8]) -> Result<EventBatch, EventOrderError> {
        self.pending.extend_from_slice(piece);
        let mut last = self.last;
        let mut count = 0;
        let mut empty_bytes = self.empty_bytes;
        let mut has_events = self.has_events;
        let mut whole = 0;
        while let Some(end) = self.next_end(whole) {
            last = next_event_number(last, event_number(&self.pending[whole..end]))?;
            match has_field(&self.pending[whole..end]) {
                true => (has_events, empty_bytes) = (true, 0),
                false => empty_bytes += end - whole,
            }
            if empty_bytes > MAX_EMPTY_BYTES {
                return Err(EventOrderError::Empty);
            }
            whole = end;
            count += 1;
        }
        if self.pending.len() - whole > MAX_EVENT_BYTES {
            return Err(EventOrderError::TooLong);
        }
        self.last = last;
        self.has_events = has_events;
        self.empty_bytes = empty_bytes;
        let bytes = self.pending.split_to(whole).freeze();
        self.search_from = self.pending.len().saturating_sub(1);
        Ok(EventBatch { bytes, count })
    }

    /// Returns the end offset, after the terminating empty line, of the event that begins at
    /// `start`; `None` if the event is incomplete.
    fn next_end(&mut self, start: usize) -> Option<usize> {
        let from = self.search_from.max(start);
        let found = self.pending[from..]
            .windows(2)
            .position(|pair| pair == b"\n\n")?;
        let end = from + found + 2;
        self.search_from = end;
        Some(end)
    }
}

fn next_event_number(
    last: Option<u64>,
    number: Option<u64>,
) -> Result<Option<u64>, EventOrderError> {
    match (last, number) {
        (last, None) => Ok(last),
        (None, first) => Ok(first),
        (Some(last), Some(found)) if found == last + 1 => Ok(Some(found)),
        (Some(last), Some(found)) => Err(EventOrderError::OutOfOrder { last, found }),
    }
}

/// Returns whether an event has data or an id.
fn has_field(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.any(|line| line.starts_with(b"data") || line.starts_with(b"id"))
}

fn event_number(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// The `data` lines of an event stream, joined by line feeds.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct EventText {
    bytes: Vec<u8>,
    has_data: bool,
}

impl EventText {
    /// Appends the data of complete events. Other fields, such as the id, are skipped.
    pub fn append(&mut self, events: &[u8]) {
        for line in events.split(|byte| *byte == b'\n') {
            if let Some(data) = line.strip_prefix(b"data:") {
                self.append_line(data.strip_prefix(b" ").unwrap_or(data));
            }
        }
    }

    /// Returns the number of bytes of the joined data.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether there is no data, or only empty data.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the joined data of all events appended so far.
    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }

    fn append_line(&mut self, data: &[u8]) {
        if self.has_data {
            self.bytes.push(b'\n');
        }
        self.has_data = true;
        self.bytes.extend_from_slice(data);
    }
}
