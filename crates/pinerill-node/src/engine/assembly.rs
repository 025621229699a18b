//! Assembles one answer from frames, whatever order or source they come from.
//!
//! Pure. It only ever grows by the token that comes next, drops what belongs
//! to another request or was delivered already, and ends only when the digest
//! over the whole text fits.

use sha2::{Digest, Sha256};

use super::frame::{Frame, Usage};

/// How a whole answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finish {
    /// `stop`, `length`, ….
    pub reason: String,
    /// Counts of tokens.
    pub usage: Usage,
    /// SHA-256 of the whole text, hexadecimal; none from an old script.
    pub digest: Option<String>,
}

/// What became of a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameOutcome {
    /// Its text comes next in the answer.
    Text,
    /// It is the last one, and the answer is whole.
    Finished(Finish),
    /// The engine ended the request before its end.
    Cancelled,
    /// It belongs to another request.
    Foreign,
    /// It was delivered already.
    Duplicate,
    /// Tokens before it are missing: attach again.
    Gap,
    /// The digest over the whole answer does not fit.
    WrongDigest,
}

/// The answer so far.
#[derive(Debug)]
pub struct Assembly {
    request_id: String,
    next_offset: u32,
    hasher: Sha256,
}

impl Assembly {
    /// An empty answer of the request that engines know by `request_id`.
    pub fn new(request_id: impl Into<String>) -> Self {
        Self {
            request_id: request_id.into(),
            next_offset: 0,
            hasher: Sha256::new(),
        }
    }

    /// Number of tokens so far, which is the offset to attach from.
    pub fn next_offset(&self) -> u32 {
        self.next_offset
    }

    /// Takes one frame in.
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

    /// A frame that starts before what is wanted: whole in the fully_delivered it is
    /// dropped, otherwise the wanted part can't be split off.
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
