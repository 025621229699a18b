//! Splits a byte stream into the data of server-sent events.

use bytes::{Buf, BytesMut};

/// Longest event, in bytes; a longer one is an error of the peer.
const EVENT_LIMIT: usize = 4 * 1024 * 1024;
const DATA_PREFIX: &[u8] = b"data:";

/// The peer sent an event that is longer than the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {EVENT_LIMIT} bytes")]
pub struct EventTooLong;

/// Keeps the bytes of an event that has not ended yet.
#[derive(Debug, Default)]
pub struct SseParser {
    buffer: BytesMut,
    scanned: usize,
}

impl SseParser {
    /// Adds bytes that arrived.
    ///
    /// # Errors
    /// When an event is longer than the limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > EVENT_LIMIT {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// The data of the next line that holds some, if a whole one is there.
    pub fn next_data(&mut self) -> Option<BytesMut> {
        loop {
            let rest = &self.buffer[self.scanned..];
            let Some(at) = rest.iter().position(|byte| *byte == b'\n') else {
                self.scanned = self.buffer.len();
                return None;
            };
            let mut line = self.buffer.split_to(self.scanned + at + 1);
            self.scanned = 0;
            if !line.starts_with(DATA_PREFIX) {
                continue;
            }
            line.advance(DATA_PREFIX.len());
            trim(&mut line);
            return Some(line);
        }
    }
}

fn trim(line: &mut BytesMut) {
    while line.last().is_some_and(u8::is_ascii_whitespace) {
        line.truncate(line.len() - 1);
    }
    while line.first().is_some_and(u8::is_ascii_whitespace) {
        line.advance(1);
    }
}
