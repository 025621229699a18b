//! Estimates the rate at which a tenant's requests arrive at a node.

/// Time constant of the exponential decay, in milliseconds. It is long enough to count a few
/// requests of a tenant that sends one or two per second, and short enough to show the start
/// of a burst within half a second.
const DECAY_MS: f64 = 1_500.0;
const MS_PER_SECOND: f64 = 1_000.0;

/// An exponentially decaying estimate of a request rate.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    /// Decayed count of requests at `at_ms`.
    weight: f64,
    at_ms: u64,
}

impl Demand {
    /// Records a request that arrives now.
    pub(crate) fn record_request(&mut self, now_ms: u64) {
        self.weight = self.weight_at(now_ms) + 1.0;
        self.at_ms = now_ms;
    }

    /// Returns the estimated rate in requests per second.
    pub(crate) fn per_second(&self, now_ms: u64) -> f64 {
        self.weight_at(now_ms) * MS_PER_SECOND / DECAY_MS
    }

    fn weight_at(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.weight * (-elapsed_ms / DECAY_MS).exp()
    }
}
