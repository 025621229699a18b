//! Assembles one answer from frames, which may come from several connections and
//! engines, out of order or repeated.
//!
//! Performs no I/O. The answer grows only by the next token. Frames of other
//! requests and tokens that are already delivered are dropped. The answer is
//! complete only if the digest of its whole text matches.

use sha2::{Digest, Sha256};

use super::frame::{Frame, Usage};

/// End of a complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finish {
    /// Reason that the engine gave, such as `stop` or `length`.
    pub reason: String,
    /// Token counts of the request.
    pub usage: Usage,
    /// Hexadecimal SHA-256 of the whole text; None from a script that does not
    /// send one.
    pub digest: Option<String>,
}

/// Result of offering a frame to the assembly.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameOutcome {
    /// The frame's text is the next part of the answer.
    Text,
    /// The frame is the last one, and the answer is complete.
    Finished(Finish),
    /// The engine cancelled the request before the answer was complete.
    Cancelled,
    /// The frame belongs to another request and is dropped.
    Foreign,
    /// The frame adds nothing to what is already delivered, and is dropped.
    Duplicate,
    /// The frame does not continue at the next token. The caller must attach
    /// again from the next offset.
    Gap,
    /// The digest of the whole text does not match that of the last frame.
    WrongDigest,
}

/// State of an answer while its frames arrive. Keeps a hash of the text, not the
/// text itself.
#[derive(Debug)]
pub struct Assembly {
    request_id: String,
    next_offset: u32,
    hasher: Sha256,
}

impl Assembly {
    /// Creates an empty answer to the request with the engine identifier
    /// `request_id`.
    pub fn new(request_id: impl Into<String>) -> Self {
        Self {
            request_id: request_id.into(),
            next_offset: 0,
            hasher: Sha256::new(),
        }
    }

    /// Returns the number of tokens so far, which is the offset to attach from.
    pub fn next_offset(&self) -> u32 {
        self.next_offset
    }

    /// Checks one frame and adds its text to the answer if it comes next.
    pub fn accept(&mut self, frame: &Frame<'_>) -> FrameOutcome {
        if frame.request_id != self.request_id {
            return FrameOutcome::Foreign;
        }
        let end = frame.offset.saturating_add(frame.tokens);
        if frame.offset > self.next_offset {
            return FrameOutcome::Gap;
        }
        if frame.offset < self.next_offset {
            return self.reject_overlapping(end, frame);
        }
        self.next_offset = end;
        self.hasher.update(frame.text.as_bytes());
        match &frame.finish_reason {
            None if frame.tokens == 0 => FrameOutcome::Duplicate,
            None => FrameOutcome::Text,
            Some(reason) => self.finish(reason, frame),
        }
    }

    /// Rejects a frame that starts before the next token. It is a duplicate if
    /// all of it is already delivered, and a gap otherwise, since the text of its
    /// new tokens can't be split off.
    fn reject_overlapping(&self, end: u32, frame: &Frame<'_>) -> FrameOutcome {
        let fully_delivered = end <= self.next_offset && frame.finish_reason.is_none();
        if fully_delivered {
            return FrameOutcome::Duplicate;
        }
        FrameOutcome::Gap
    }

    fn finish(&self, reason: &str, frame: &Frame<'_>) -> FrameOutcome {
        if reason == "cancelled" {
            return FrameOutcome::Cancelled;
        }
        let digest = hex::encode(self.hasher.clone().finalize());
        if frame.digest.as_deref() != Some(digest.as_str()) {
            return FrameOutcome::WrongDigest;
        }
        let mut usage = frame.usage.unwrap_or_default();
        usage.completion_tokens = self.next_offset;
        FrameOutcome::Finished(Finish {
            reason: reason.to_owned(),
            usage,
            digest: Some(digest),
        })
    }
}
