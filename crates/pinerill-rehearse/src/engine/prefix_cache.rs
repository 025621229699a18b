//! KV cache memory: private blocks of requests and shared prefix blocks, the
//! latter evicted least recently used first when nobody refers to them.

use std::collections::{BTreeMap, HashMap};

/// A block that was evicted to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvictedBlock {
    /// Name of the block.
    pub block: u64,
    /// Prompt tokens from the prompt's start to the block's end.
    pub tokens: u32,
}

#[derive(Debug)]
struct SharedBlock {
    references: u32,
    tokens: u32,
    idle_since: u64,
}

/// Block memory of one engine.
#[derive(Debug)]
pub struct PrefixCache {
    total: u32,
    private: u32,
    shared: HashMap<u64, SharedBlock>,
    idle: BTreeMap<u64, u64>,
    tick: u64,
}

impl PrefixCache {
    /// Memory of `total` blocks, all free.
    pub fn new(total: u32) -> Self {
        Self {
            total,
            private: 0,
            shared: HashMap::new(),
            idle: BTreeMap::new(),
            tick: 0,
        }
    }

    /// Number of leading blocks of `blocks` that are cached.
    pub fn cached_prefix(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.shared.contains_key(*block))
            .count()
    }

    /// Refers to cached blocks, which then can't be evicted.
    pub fn acquire(&mut self, blocks: &[u64]) {
        for block in blocks {
            if let Some(shared) = self.shared.get_mut(block) {
                if shared.references == 0 {
                    self.idle.remove(&shared.idle_since);
                }
                shared.references += 1;
            }
        }
    }

    /// Gives back references; blocks without any stay until memory is needed.
    /// The end of a prefix becomes the first to be evicted.
    pub fn release(&mut self, blocks: &[u64]) {
        for block in blocks.iter().rev() {
            if let Some(shared) = self.shared.get_mut(block) {
                shared.references = shared.references.saturating_sub(1);
                if shared.references == 0 {
                    self.tick += 1;
                    shared.idle_since = self.tick;
                    self.idle.insert(self.tick, *block);
                }
            }
        }
    }

    /// Takes `count` private blocks, evicting idle shared ones where needed.
    /// `None` when even then there is not enough memory; nothing is evicted then.
    pub fn allocate(&mut self, count: u32) -> Option<Vec<EvictedBlock>> {
        if count > self.available() {
            return None;
        }
        let mut evicted = Vec::new();
        while self.free() < count {
            evicted.extend(self.evict_oldest());
        }
        self.private += count;
        Some(evicted)
    }

    /// Gives back private blocks.
    pub fn free_private(&mut self, count: u32) {
        self.private = self.private.saturating_sub(count);
    }

    /// Turns one private block into the shared block `block` with one reference.
    /// False when it was cached already: the private block is freed then, and
    /// the cached one gets the reference.
    pub fn share(&mut self, block: u64, tokens: u32) -> bool {
        self.free_private(1);
        if self.shared.contains_key(&block) {
            self.acquire(&[block]);
            return false;
        }
        let shared = SharedBlock {
            references: 1,
            tokens,
            idle_since: 0,
        };
        self.shared.insert(block, shared);
        true
    }

    /// Blocks in use, cached ones included.
    pub fn used(&self) -> u32 {
        self.private + self.shared.len() as u32
    }

    /// Blocks that are free or can be evicted.
    pub fn available(&self) -> u32 {
        self.free() + self.idle.len() as u32
    }

    /// Blocks in all.
    pub fn total(&self) -> u32 {
        self.total
    }

    fn free(&self) -> u32 {
        self.total.saturating_sub(self.used())
    }

    fn evict_oldest(&mut self) -> Option<EvictedBlock> {
        let (_, block) = self.idle.pop_first()?;
        let shared = self.shared.remove(&block)?;
        Some(EvictedBlock {
            block,
            tokens: shared.tokens,
        })
    }
}
