//! A tenant's request limit and the tolerance by which it may be exceeded.

use serde::{Deserialize, Serialize};

const MS_PER_SECOND: f64 = 1_000.0;

/// Limit on the number of admitted requests of a tenant.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RequestLimit {
    /// Sustained rate in requests per second.
    pub rate_per_s: f64,
    /// Number of requests that may be admitted at once beyond that rate.
    pub burst: f64,
}

/// By how much the requests admitted within a window may exceed a limit. The operator sets
/// it. Lending needs some tolerance, since tokens are spent later than they are lent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Length of the window in milliseconds. The bound applies to every span of this length.
    pub window_ms: u64,
    /// Tolerated excess as a fraction of what the limit allows in a window.
    pub share: f64,
    /// Tolerated excess in requests per window, in addition to `share`.
    pub requests: f64,
}

impl RequestLimit {
    /// Returns the number of requests that the limit allows in any span of `span_ms`
    /// milliseconds.
    pub fn allowed_in(&self, span_ms: u64) -> f64 {
        self.burst + self.rate_per_s * span_ms as f64 / MS_PER_SECOND
    }

    /// Returns the limit with rate and burst multiplied by `factor`.
    pub fn scaled(&self, factor: f64) -> Self {
        RequestLimit {
            rate_per_s: self.rate_per_s * factor,
            burst: self.burst * factor,
        }
    }
}

impl Tolerance {
    /// Returns the number of requests beyond `limit` that are tolerated in a window.
    pub fn margin(&self, limit: &RequestLimit) -> f64 {
        self.share * limit.allowed_in(self.window_ms) + self.requests
    }
}
