//! Estimates the rate at which a tenant's requests arrive at a node.

/// Time constant of the exponential decay, in milliseconds. It is long enough to count a few
/// requests of a tenant that sends one or two per second, and short enough to show the start
/// of a burst within half a second.
const DECAY_MS: f64 = 1_500.0;
const MS_PER_SECOND: f64 = 1_000.0;

/// An exponentially decaying estimate of a request rate.
#[derive(Debug)]
pub(crate) struct Demand {
    /// Decayed count of requests at `at_ms`.
    weight: f64,
    at_ms: u64,
    decay_ms: f64,
}

impl Default for Demand {
    fn default() -> Self {
        Demand::with_decay(DECAY_MS)
    }
}

impl Demand {
    /// Creates an estimate with another time constant, in milliseconds.
    pub(crate) fn with_decay(decay_ms: f64) -> Self {
        Demand {
            weight: 0.0,
            at_ms: 0,
            decay_ms,
        }
    }

    /// Records a request that arrives now.
    pub(crate) fn record_request(&mut self, now_ms: u64) {
        self.record(now_ms, 1);
    }

    /// Records several requests that arrive now.
    pub(crate) fn record(&mut self, now_ms: u64, requests: u32) {
        self.weight = self.weight_at(now_ms) + f64::from(requests);
        self.at_ms = now_ms;
    }

    /// Returns the estimated rate in requests per second.
    pub(crate) fn per_second(&self, now_ms: u64) -> f64 {
        self.weight_at(now_ms) * MS_PER_SECOND / self.decay_ms
    }

    fn weight_at(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.weight * (-elapsed_ms / self.decay_ms).exp()
    }
}
