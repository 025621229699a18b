//! One frame of an engine's answer, and the load header beside it.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

/// Counts of tokens of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    #[serde(default)]
    pub completion_tokens: u32,
    /// Tokens of the prompt that were cached.
    #[serde(default)]
    pub cached_tokens: u32,
}

/// One event of an engine's stream, or its whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Frame<'a> {
    /// The request it belongs to.
    #[serde(borrow)]
    pub request_id: Cow<'a, str>,
    /// Number of the first token in it.
    pub offset: u32,
    /// How many tokens it holds.
    pub tokens: u32,
    /// Their text.
    #[serde(borrow)]
    pub text: Cow<'a, str>,
    /// Set on the last frame.
    #[serde(borrow, default)]
    pub finish_reason: Option<Cow<'a, str>>,
    /// Set on the last frame.
    #[serde(default)]
    pub usage: Option<Usage>,
    /// SHA-256 of the whole text, hexadecimal; set on the last frame.
    #[serde(borrow, default)]
    pub digest: Option<Cow<'a, str>>,
}

/// Fields of the header `X-Load`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadHeader {
    /// Requests with a slot, batch included.
    pub running: u32,
    /// Requests without one.
    pub waiting: u32,
    /// Batch requests with a slot.
    pub batch_running: u32,
}

/// Reads `running=3,waiting=0,batch_running=1,…`; unknown fields are skipped.
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
