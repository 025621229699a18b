//! Parser that extracts the data lines of server-sent events from a byte stream.

use bytes::{Buf, BytesMut};

/// Maximum size of the buffered bytes, and so of an event. A longer event is an
/// error of the peer.
const EVENT_LIMIT: usize = 4 * 1024 * 1024;
const DATA_PREFIX: &[u8] = b"data:";

/// Error for an event that exceeds the size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {EVENT_LIMIT} bytes")]
pub struct EventTooLong;

/// Incremental parser. Buffers the bytes of the last, incomplete line.
#[derive(Debug, Default)]
pub struct SseParser {
    buffer: BytesMut,
    scanned: usize,
}

impl SseParser {
    /// Appends received bytes to the buffer.
    ///
    /// # Errors
    /// When the buffered bytes exceed the size limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > EVENT_LIMIT {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// Returns the trimmed data of the next complete `data:` line and skips other
    /// lines. None until more bytes arrive.
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
