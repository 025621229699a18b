//! Turns the bytes of an engine's event stream into the text of one answer.
//! Performs no I/O.

use super::assembly::{Assembly, Finish, FrameOutcome};
use super::frame::Frame;
use super::sse::SseParser;

/// Data of the event that marks the end of a stream.
const DONE: &[u8] = b"[DONE]";

/// State of the answer after a chunk of bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// The answer is incomplete, and the caller keeps reading.
    Continues,
    /// The answer is complete.
    Finished(Finish),
    /// The engine cancelled the request before the answer was complete.
    Cancelled,
    /// Tokens are missing or an event is unreadable, for the reason given here.
    /// The caller must attach again.
    Broken(&'static str),
    /// The digest of the whole text does not match that of the last frame.
    WrongDigest,
}

/// Number of frames that were dropped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DroppedFrames {
    /// Frames that belong to other requests.
    pub foreign: u64,
    /// Frames that add nothing to what is already delivered.
    pub late: u64,
}

/// Reads the answer to one request, which may arrive over several connections to
/// one or more engines.
#[derive(Debug)]
pub struct AnswerReader {
    assembly: Assembly,
    parser: SseParser,
    text: String,
    dropped: DroppedFrames,
}

impl AnswerReader {
    /// Creates a reader for the request with the engine identifier `request_id`.
    pub fn new(request_id: &str) -> Self {
        Self {
            assembly: Assembly::new(request_id),
            parser: SseParser::default(),
            text: String::new(),
            dropped: DroppedFrames::default(),
        }
    }

    /// Returns the number of tokens so far, which is the offset to attach from.
    pub fn next_offset(&self) -> u32 {
        self.assembly.next_offset()
    }

    /// Prepares for a new connection by discarding the incomplete event of the
    /// previous one.
    pub fn start_connection(&mut self) {
        self.parser = SseParser::default();
    }

    /// Returns and removes the text that arrived since the last call.
    pub fn take_text(&mut self) -> String {
        std::mem::take(&mut self.text)
    }

    /// Returns the text that arrived since the last [`Self::take_text`].
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns and resets the counts of frames dropped since the last call.
    pub fn take_dropped(&mut self) -> DroppedFrames {
        std::mem::take(&mut self.dropped)
    }

    /// Parses bytes of the event stream and adds the text of their frames. After
    /// any result but [`Progress::Continues`], the caller must not pass in more
    /// bytes of the same connection.
    pub fn push_bytes(&mut self, bytes: &[u8]) -> Progress {
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
            match self.accept_frame(&frame) {
                Progress::Continues => {}
                other => return other,
            }
        }
        Progress::Continues
    }

    fn accept_frame(&mut self, frame: &Frame<'_>) -> Progress {
        match self.assembly.accept(frame) {
            FrameOutcome::Text => self.text.push_str(&frame.text),
            FrameOutcome::Finished(finish) => {
                self.text.push_str(&frame.text);
                return Progress::Finished(finish);
            }
            FrameOutcome::Cancelled => return Progress::Cancelled,
            FrameOutcome::Gap => return Progress::Broken("tokens are missing"),
            FrameOutcome::WrongDigest => return Progress::WrongDigest,
            FrameOutcome::Foreign => self.dropped.foreign += 1,
            FrameOutcome::Duplicate => self.dropped.late += 1,
        }
        Progress::Continues
    }
}
