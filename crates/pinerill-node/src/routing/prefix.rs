//! Records which engines probably have a prompt prefix in their cache.
//!
//! The hints come from cache events, which arrive late and with gaps. A hint therefore only
//! influences the choice of an engine; correctness must not depend on it.

use std::collections::{HashMap, VecDeque};

use pinerill_types::EngineId;
use sha2::{Digest, Sha256};

/// Length of a cached block in bytes of the prompt (64 tokens of 4 bytes).
const BLOCK_BYTES: usize = 256;
/// Number of blocks of a prompt that are hashed at most, which bounds the time for a long
/// prompt.
const MAX_HASHED_BLOCKS: usize = 64;
/// Number of engines recorded per prefix at most. It is large enough that the requests of a
/// prompt that all callers share are not concentrated on a few engines.
const MAX_ENGINES_PER_PREFIX: usize = 64;
/// Number of prefixes recorded at most. The oldest are dropped first.
const MAX_PREFIXES: usize = 65_536;

/// Returns the hashes of the prompt's whole blocks in order, at most `MAX_HASHED_BLOCKS`. Each
/// hash covers the names of the model and the adapter, without their versions, and the prompt
/// up to the end of its block.
pub fn block_hashes(model: &str, adapter: Option<&str>, prompt: &str) -> Vec<u64> {
    let mut hasher = Sha256::new();
    hasher.update(without_version(model));
    hasher.update([0]);
    hasher.update(without_version(adapter.unwrap_or("")));
    hasher.update([0]);
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks
        .take(MAX_HASHED_BLOCKS)
        .map(|block| {
            hasher.update(block);
            leading_u64(&hasher.clone().finalize())
        })
        .collect()
}

/// Strips the `@version` suffix of a model or adapter name.
fn without_version(name: &str) -> &str {
    name.split_once('@').map_or(name, |(base, _)| base)
}

/// Returns the first eight bytes of a hash as a big-endian number.
fn leading_u64(hash: &[u8]) -> u64 {
    hash.iter()
        .take(8)
        .fold(0, |word, byte| (word << 8) | u64::from(*byte))
}

/// The engines that reported each prefix as cached. The number of prefixes and of engines per
/// prefix is bounded.
#[derive(Debug, Default)]
pub struct PrefixHints {
    holders: HashMap<u64, Vec<EngineId>>,
    insertion_order: VecDeque<u64>,
}

impl PrefixHints {
    /// Records that an engine cached the prefix with the hash `prefix`. If the prefix already
    /// has `MAX_ENGINES_PER_PREFIX` engines, the one recorded first is dropped.
    pub fn stored(&mut self, prefix: u64, engine: &EngineId) {
        let holders = self.holders.entry(prefix).or_default();
        if holders.is_empty() {
            self.insertion_order.push_back(prefix);
        }
        if !holders.contains(engine) {
            holders.push(engine.clone());
        }
        if holders.len() > MAX_ENGINES_PER_PREFIX {
            holders.remove(0);
        }
        self.forget_oldest();
    }

    /// Records that an engine evicted the prefix with the hash `prefix` from its cache.
    pub fn evicted(&mut self, prefix: u64, engine: &EngineId) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|holder| holder != engine);
        }
    }

    fn forget_oldest(&mut self) {
        while self.insertion_order.len() > MAX_PREFIXES {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.holders.remove(&oldest);
            }
        }
    }

    /// Finds the longest recorded prefix of a prompt with the block hashes `blocks`. Returns
    /// its number of blocks and the engines that cached it, or None if no prefix is recorded.
    pub fn longest_match(&self, blocks: &[u64]) -> Option<(usize, &[EngineId])> {
        blocks.iter().enumerate().rev().find_map(|(index, hash)| {
            let holders = self.holders.get(hash)?;
            (!holders.is_empty()).then_some((index + 1, holders.as_slice()))
        })
    }
}
