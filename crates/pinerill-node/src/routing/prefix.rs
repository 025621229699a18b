//! Hints at which engines have a prompt's prefix cached. Pure.
//!
//! The events they come from are late and have gaps, so a hint only shifts a
//! choice and is never relied on.

use std::collections::{HashMap, VecDeque};

use pinerill_types::EngineId;
use sha2::{Digest, Sha256};

/// Bytes of a prompt in one cached block (64 tokens of 4 bytes).
const BLOCK_BYTES: usize = 256;
/// Blocks of a prompt that are named, so that a long one costs a bounded time.
const BLOCKS_LIMIT: usize = 64;
/// Engines kept for one prefix: enough that a prompt all callers share does
/// not lead them to a few engines.
const HOLDERS_LIMIT: usize = 64;
/// Prefixes kept; the oldest go first.
const PREFIXES_LIMIT: usize = 65_536;

/// Names of the prompt's whole cached blocks, from the first on.
pub fn block_hashes(model: &str, adapter: Option<&str>, prompt: &str) -> Vec<u64> {
    let mut hasher = Sha256::new();
    hasher.update(without_version(model));
    hasher.update([0]);
    hasher.update(without_version(adapter.unwrap_or("")));
    hasher.update([0]);
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks
        .take(BLOCKS_LIMIT)
        .map(|block| {
            hasher.update(block);
            first_word(&hasher.clone().finalize())
        })
        .collect()
}

fn without_version(name: &str) -> &str {
    name.split_once('@').map_or(name, |(base, _)| base)
}

fn first_word(hash: &[u8]) -> u64 {
    hash.iter()
        .take(8)
        .fold(0, |word, byte| (word << 8) | u64::from(*byte))
}

/// Which engines reported which prefix, bounded.
#[derive(Debug, Default)]
pub struct PrefixHints {
    holders: HashMap<u64, Vec<EngineId>>,
    order: VecDeque<u64>,
}

impl PrefixHints {
    /// An engine stored the prefix named `prefix`.
    pub fn stored(&mut self, prefix: u64, engine: &EngineId) {
        let holders = self.holders.entry(prefix).or_default();
        if holders.is_empty() {
            self.order.push_back(prefix);
        }
        if !holders.contains(engine) {
            holders.push(engine.clone());
        }
        if holders.len() > HOLDERS_LIMIT {
            holders.remove(0);
        }
        self.forget_oldest();
    }

    /// An engine evicted the prefix named `prefix`.
    pub fn evicted(&mut self, prefix: u64, engine: &EngineId) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|holder| holder != engine);
        }
    }

    fn forget_oldest(&mut self) {
        while self.order.len() > PREFIXES_LIMIT {
            if let Some(oldest) = self.order.pop_front() {
                self.holders.remove(&oldest);
            }
        }
    }

    /// The engines that hold the longest known prefix, and how many blocks
    /// it has.
    pub fn longest(&self, blocks: &[u64]) -> Option<(usize, &[EngineId])> {
        blocks.iter().enumerate().rev().find_map(|(index, name)| {
            let holders = self.holders.get(name)?;
            (!holders.is_empty()).then_some((index + 1, holders.as_slice()))
        })
    }
}
