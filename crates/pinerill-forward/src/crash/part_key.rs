//! Keys of prompt parts that are the same for all requests of a caller that hold the part.

use std::fmt;
use std::str::FromStr;

use pinerill_calls::protocol::PromptPart;
use serde::{Deserialize, Serialize};

use super::{RequestFingerprint, Requester};

/// Limit on the parts of one prompt that are considered. Prompts have a few.
const MAX_PARTS_PER_PROMPT: usize = 16;

/// Identifies a part of prompts with a hash that is the same at all nodes. Callers choose the
/// identifiers of parts, so the key includes the caller: nobody gets a part of another one blocked.
/// It includes the service, since software of another service may process the part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartKey(RequestFingerprint);

impl PartKey {
    /// Returns the key of a caller's part with this identifier.
    pub fn new(requester: &Requester, service: &str, part: u64) -> Self {
        let (kind, requester) = requester.parts();
        let part = part.to_le_bytes();
        let parts = [b"part", kind, requester, service.as_bytes(), &part];
        PartKey(RequestFingerprint::of_parts(&parts))
    }
}

impl fmt::Display for PartKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for PartKey {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(PartKey)
    }
}

/// Returns the identifiers of the parts that other requests may share: all but the last one, which
/// belongs to the request itself.
pub(super) fn shared_parts(prompt: &[PromptPart]) -> Vec<u64> {
    let shared = prompt.split_last().map_or(&[][..], |(_, shared)| shared);
    let mut ids: Vec<u64> = Vec::with_capacity(shared.len().min(MAX_PARTS_PER_PROMPT));
    for part in shared.iter().take(MAX_PARTS_PER_PROMPT) {
        if !ids.contains(&part.id) {
            ids.push(part.id);
        }
    }
    ids
}
