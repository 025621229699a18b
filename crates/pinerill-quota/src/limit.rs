//! A tenant's limit, and how far it may be exceeded.

use serde::{Deserialize, Serialize};

const MS_PER_SECOND: f64 = 1_000.0;

/// How many requests of a tenant may pass.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RequestLimit {
    /// Requests a second.
    pub rate_per_s: f64,
    /// Requests at once above that rate.
    pub burst: f64,
}

/// How far the requests of a window may exceed a limit. The operator's setting: lending
/// needs some, since tokens on loan are spent later than they are lent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// The window, milliseconds. Every span of this length counts.
    pub window_ms: u64,
    /// Part of what the limit allows in a window.
    pub share: f64,
    /// Requests in a window besides.
    pub requests: f64,
}

impl RequestLimit {
    /// Requests that may pass in any span of this length.
    pub fn allowed_in(&self, span_ms: u64) -> f64 {
        self.burst + self.rate_per_s * span_ms as f64 / MS_PER_SECOND
    }

    /// The same limit, lower by a factor.
    pub(crate) fn scaled(&self, factor: f64) -> Self {
        RequestLimit {
            rate_per_s: self.rate_per_s * factor,
            burst: self.burst * factor,
        }
    }
}

impl Tolerance {
    /// Requests beyond a limit that are tolerated in a window.
    pub fn margin(&self, limit: &RequestLimit) -> f64 {
        self.share * limit.allowed_in(self.window_ms) + self.requests
    }
}
