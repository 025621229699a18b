//! Links that delay, lose, repeat and reorder, and can be cut one way.

use std::collections::BTreeMap;

use super::ClientId;
use crate::random::SimRng;

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    /// A control machine, by its place.
    Machine(usize),
    /// A client.
    Client(ClientId),
}

/// How links behave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkQuality {
    /// Shortest one-way delay, milliseconds.
    pub min_delay_ms: u64,
    /// Longest usual one-way delay, milliseconds.
    pub max_delay_ms: u64,
    /// Share of messages with a far longer delay.
    pub slow_share: f64,
    /// Longest delay of those, milliseconds.
    pub slow_delay_ms: u64,
    /// Share of messages that get lost.
    pub loss: f64,
    /// Share of messages between replicas that arrive twice.
    pub duplicate: f64,
}

impl LinkQuality {
    /// Links as they should be.
    pub const GOOD: LinkQuality = LinkQuality {
        min_delay_ms: 1,
        max_delay_ms: 4,
        slow_share: 0.0,
        slow_delay_ms: 0,
        loss: 0.0,
        duplicate: 0.0,
    };
    /// Links that lose, repeat, delay and thereby reorder a good deal.
    pub const BAD: LinkQuality = LinkQuality {
        min_delay_ms: 1,
        max_delay_ms: 30,
        slow_share: 0.05,
        slow_delay_ms: 900,
        loss: 0.05,
        duplicate: 0.1,
    };
}

/// A cut that can be healed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CutId(u64);

/// All links.
pub struct Network {
    /// How links behave now.
    pub quality: LinkQuality,
    cuts: BTreeMap<CutId, Vec<(Endpoint, Endpoint)>>,
    next_cut: u64,
    rng: SimRng,
}

impl Network {
    /// Links without cuts.
    pub fn new(quality: LinkQuality, rng: SimRng) -> Self {
        Network {
            quality,
            cuts: BTreeMap::new(),
            next_cut: 0,
            rng,
        }
    }

    /// Delays after which copies of a message arrive; none if it is lost.
    pub fn delays(&mut self, from: Endpoint, to: Endpoint, may_repeat: bool) -> Vec<u64> {
        if self.is_cut(from, to) || self.rng.chance(self.quality.loss) {
            return Vec::new();
        }
        let mut delays = vec![self.delay()];
        if may_repeat && self.rng.chance(self.quality.duplicate) {
            delays.push(self.delay());
        }
        delays
    }

    fn delay(&mut self) -> u64 {
        let quality = self.quality;
        if self.rng.chance(quality.slow_share) {
            return self
                .rng
                .between(quality.max_delay_ms, quality.slow_delay_ms);
        }
        self.rng.between(quality.min_delay_ms, quality.max_delay_ms)
    }

    /// Whether messages from one end to the other vanish.
    pub fn is_cut(&self, from: Endpoint, to: Endpoint) -> bool {
        let mut pairs = self.cuts.values().flatten();
        pairs.any(|pair| *pair == (from, to))
    }

    /// Cuts directed links until [`Network::heal`].
    pub fn cut(&mut self, pairs: Vec<(Endpoint, Endpoint)>) -> CutId {
        self.next_cut += 1;
        let cut = CutId(self.next_cut);
        self.cuts.insert(cut, pairs);
        cut
    }

    /// Ends one cut.
    pub fn heal(&mut self, cut: CutId) {
        self.cuts.remove(&cut);
    }

    /// Ends every cut.
    pub fn heal_all(&mut self) {
        self.cuts.clear();
    }
}
