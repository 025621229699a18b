//! Which prompts a worker has read, so that it need not read them again.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use pinerill_calls::protocol::CallHead;

/// Prefixes remembered of one worker; the oldest half gives way.
const MAX_PREFIXES: usize = 1_024;

/// A prompt as a chain of shared parts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the whole prompt.
    pub tokens: u64,
    /// Each prefix of parts: its name, and the tokens up to its end.
    prefixes: Vec<Prefix>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Prefix {
    hash: u64,
    tokens: u64,
}

impl Prompt {
    /// The prompt that a call's head tells.
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

    /// Name of the longest prefix that other calls may share: all but the
    /// call's own last part.
    pub fn shared_prefix(&self) -> Option<u64> {
        let last_shared = self.prefixes.len().checked_sub(2)?;
        Some(self.prefixes[last_shared].hash)
    }
}

/// Prefixes that a worker has read.
#[derive(Debug, Default)]
pub struct PrefixMemory {
    read_at_ms: HashMap<u64, u64>,
}

impl PrefixMemory {
    /// Notes that the worker reads a prompt.
    pub fn remember(&mut self, now_ms: u64, prompt: &Prompt) {
        for prefix in &prompt.prefixes {
            self.read_at_ms.insert(prefix.hash, now_ms);
        }
        if self.read_at_ms.len() > MAX_PREFIXES {
            self.evict_older_half();
        }
    }

    /// Tokens of the prompt that the worker need not read again.
    pub fn known_tokens(&self, prompt: &Prompt) -> u64 {
        let known = prompt
            .prefixes
            .iter()
            .rev()
            .find(|prefix| self.read_at_ms.contains_key(&prefix.hash));
        known.map_or(0, |prefix| prefix.tokens)
    }

    fn evict_older_half(&mut self) {
        let mut times: Vec<u64> = self.read_at_ms.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.read_at_ms.retain(|_, at| *at > median);
    }
}
