//! How many requests of a tenant come to a node a second.

/// Time over which requests are remembered, milliseconds: some requests of a tenant that
/// asks once or twice a second, and the beginning of a burst within half a second.
const MEMORY_MS: f64 = 1_500.0;
const MS_PER_SECOND: f64 = 1_000.0;

/// A rate that fades.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    /// Requests remembered.
    weight: f64,
    at_ms: u64,
}

impl Demand {
    /// A request came.
    pub(crate) fn came(&mut self, now_ms: u64) {
        self.weight = self.weight_at(now_ms) + 1.0;
        self.at_ms = now_ms;
    }

    /// Requests a second.
    pub(crate) fn per_second(&self, now_ms: u64) -> f64 {
        self.weight_at(now_ms) * MS_PER_SECOND / MEMORY_MS
    }

    fn weight_at(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.weight * (-elapsed_ms / MEMORY_MS).exp()
    }
}
