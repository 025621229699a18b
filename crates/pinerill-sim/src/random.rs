//! Seeded randomness: the only source of chance in a run.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// A seeded generator.
#[derive(Clone, Debug)]
pub struct SimRng(Pcg64);

impl SimRng {
    /// A generator that always yields the same numbers for the same seed.
    pub fn new(seed: u64) -> Self {
        SimRng(Pcg64::seed_from_u64(seed))
    }

    /// A generator of its own, so that one part's draws don't shift another's.
    pub fn fork(&mut self) -> Self {
        SimRng::new(self.0.gen())
    }

    /// A whole random number.
    pub fn number(&mut self) -> u64 {
        self.0.gen()
    }

    /// Whether something of the given probability happens.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.0.gen_bool(probability.clamp(0.0, 1.0))
    }

    /// A number from `low` to `high`, both included.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        self.0.gen_range(low..=high.max(low))
    }

    /// An index below `count`, which is above zero.
    pub fn below(&mut self, count: usize) -> usize {
        self.0.gen_range(0..count)
    }

    /// One of the elements; none of an empty slice.
    pub fn pick<'a, T>(&mut self, from: &'a [T]) -> Option<&'a T> {
        if from.is_empty() {
            return None;
        }
        let index = self.below(from.len());
        from.get(index)
    }
}
