//! What may crash the workers that run it: a request, or a part of prompts.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{PartKey, RequestFingerprint};

/// A request or a part of prompts that is known to crash workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Suspect {
    /// A request.
    Request(RequestFingerprint),
    /// A part that the prompts of requests may share.
    Part(PartKey),
}

impl fmt::Display for Suspect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Suspect::Request(request) => write!(formatter, "request {request}"),
            Suspect::Part(part) => write!(formatter, "part {part}"),
        }
    }
}

/// A suspect that may not run, but for trial runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockedSuspect {
    /// What is blocked.
    pub suspect: Suspect,
    /// When the last of the crashes that block it happened, in milliseconds on the node's clock.
    pub last_crash_ms: u64,
}
