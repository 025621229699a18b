//! From an engine's bytes to the text of one answer. Pure.

use super::assembly::{Assembly, Finish, FrameOutcome};
use super::frame::Frame;
use super::sse::SseParser;

/// Data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

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

/// Frames that did not count.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DroppedFrames {
    /// Of other requests.
    pub foreign: u64,
    /// Delivered already.
    pub late: u64,
}

/// The answer to one request as it arrives, over one or more connections to
/// one or more engines.
#[derive(Debug)]
pub struct AnswerReader {
    assembly: Assembly,
    parser: SseParser,
    text: String,
    dropped: DroppedFrames,
}

impl AnswerReader {
    /// An empty answer to the request that engines know by `request_id`.
    pub fn new(request_id: &str) -> Self {
        Self {
            assembly: Assembly::new(request_id),
            parser: SseParser::default(),
            text: String::new(),
            dropped: DroppedFrames::default(),
        }
    }

    /// Number of tokens so far, which is the offset to attach from.
    pub fn next_offset(&self) -> u32 {
        self.assembly.next_offset()
    }

    /// Forgets the unfinished event of a connection that is no more.
    pub fn start_connection(&mut self) {
        self.parser = SseParser::default();
    }

    /// The text since the last call.
    pub fn take_text(&mut self) -> String {
        std::mem::take(&mut self.text)
    }

    /// The text that nobody has taken.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Frames dropped since the last call.
    pub fn take_dropped(&mut self) -> DroppedFrames {
        std::mem::take(&mut self.dropped)
    }

    /// Takes bytes in.
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
