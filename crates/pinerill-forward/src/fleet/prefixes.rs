//! Tracks which prompt prefixes a worker has processed, so that calls can go to a worker that need
//! not process them again.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use pinerill_calls::protocol::CallHead;

/// Maximum number of prefixes remembered per worker; beyond it, the older half is evicted.
const MAX_PREFIXES: usize = 1_024;

/// A prompt as a sequence of parts that other prompts may share.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Length of the whole prompt in tokens.
    pub tokens: u64,
    /// Prefixes that end at a part boundary, from the shortest to the longest.
    prefixes: Vec<Prefix>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Prefix {
    hash: u64,
    tokens: u64,
}

impl Prompt {
    /// Builds the prompt from the prompt parts in a call's head.
    pub fn from_call(call: &CallHead) -> Self {
        let mut hasher = DefaultHasher::new();
        call.model.hash(&mut hasher);
        let mut tokens = 0;
        let mut prefixes = Vec::with_capacity(call.prompt.len());
        for part in &call.prompt {
            part.id.hash(&mut hasher);
            tokens += part.tokens;
            prefixes.push(Prefix {
                hash: hasher.finish(),
                tokens,
            });
        }
        Prompt {
            tokens: call.prompt_tokens.max(tokens),
            prefixes,
        }
    }

    /// Returns the hash of the longest prefix that other calls may share: all parts except the
    /// last, which belongs to this call. `None` if the prompt has fewer than two parts.
    pub fn shared_prefix(&self) -> Option<u64> {
        let last_shared = self.prefixes.len().checked_sub(2)?;
        Some(self.prefixes[last_shared].hash)
    }
}

/// Prefixes that a worker has processed: when each was last seen, by prefix hash.
#[derive(Debug, Default)]
pub struct PrefixMemory {
    processed_at_ms: HashMap<u64, u64>,
}

impl PrefixMemory {
    /// Records at `now_ms` that the worker processes a prompt and, with it, all its prefixes.
    pub fn remember(&mut self, now_ms: u64, prompt: &Prompt) {
        for prefix in &prompt.prefixes {
            self.processed_at_ms.insert(prefix.hash, now_ms);
        }
        if self.processed_at_ms.len() > MAX_PREFIXES {
            self.evict_older_half();
        }
    }

    /// Returns the number of leading prompt tokens that the worker need not process again.
    pub fn processed_tokens(&self, prompt: &Prompt) -> u64 {
        let known = prompt
            .prefixes
            .iter()
            .rev()
            .find(|prefix| self.processed_at_ms.contains_key(&prefix.hash));
        known.map_or(0, |prefix| prefix.tokens)
    }

    fn evict_older_half(&mut self) {
        let mut times: Vec<u64> = self.processed_at_ms.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.processed_at_ms.retain(|_, at| *at > median);
    }
}
