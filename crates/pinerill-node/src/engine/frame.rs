//! JSON format of the frames in an engine's answer, and the `X-Load` header that
//! comes with it.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

/// Token counts of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of tokens in the prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Number of tokens in the answer.
    #[serde(default)]
    pub completion_tokens: u32,
    /// Number of prompt tokens found in the engine's prefix cache.
    #[serde(default)]
    pub cached_tokens: u32,
}

/// A part of an answer: one event of an engine's stream, or the whole answer of a
/// request without streaming.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Frame<'a> {
    /// Identifier of the request that the frame belongs to.
    #[serde(borrow)]
    pub request_id: Cow<'a, str>,
    /// Index in the answer of the frame's first token, counted from 0.
    pub offset: u32,
    /// Number of tokens in the frame.
    pub tokens: u32,
    /// Text of the frame's tokens.
    #[serde(borrow)]
    pub text: Cow<'a, str>,
    /// Why the answer ended; set only on the last frame.
    #[serde(borrow, default)]
    pub finish_reason: Option<Cow<'a, str>>,
    /// Token counts of the whole request; set only on the last frame.
    #[serde(default)]
    pub usage: Option<Usage>,
    /// Hexadecimal SHA-256 of the whole text; set only on the last frame.
    #[serde(borrow, default)]
    pub digest: Option<Cow<'a, str>>,
}

/// Load of an engine, from the `X-Load` header of its responses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadHeader {
    /// Number of requests that hold a slot, including batch requests.
    pub running: u32,
    /// Number of requests queued for a slot.
    pub waiting: u32,
    /// Number of batch requests that hold a slot.
    pub batch_running: u32,
}

/// Parses an `X-Load` value such as `running=3,waiting=0,batch_running=1`.
/// Unknown fields are skipped and missing ones are 0. Returns None if a part has
/// no `=` or a known field is not a number.
pub fn parse_load_header(text: &str) -> Option<LoadHeader> {
    let mut load = LoadHeader::default();
    for part in text.split(',') {
        let (name, value) = part.trim().split_once('=')?;
        let field = match name {
            "running" => &mut load.running,
            "waiting" => &mut load.waiting,
            "batch_running" => &mut load.batch_running,
            _ => continue,
        };
        *field = value.parse().ok()?;
    }
    Some(load)
}
