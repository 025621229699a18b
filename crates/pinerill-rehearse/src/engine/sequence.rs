//! One request inside the engine model.

use super::messages::{RequestState, Submission};

/// A request that has not ended.
#[derive(Debug)]
pub struct Sequence {
    /// The request as it was submitted.
    pub submission: Submission,
    /// Waiting, running, paused or preempted.
    pub state: RequestState,
    /// Answer tokens so far, those delivered elsewhere included.
    pub generated: u32,
    /// Tokens whose KV cache must be there before decoding.
    pub prefill_target: u32,
    /// Tokens whose KV cache is there.
    pub prefilled: u32,
    /// Shared prefix blocks it refers to: the first ones of the prompt.
    pub shared_blocks: usize,
    /// Private blocks it holds.
    pub private_blocks: u32,
    /// Whether its first prefill has begun.
    pub started: bool,
    /// Whether it holds KV cache.
    pub holds_kv: bool,
    /// Prompt tokens found in the cache at the first start.
    pub cached_tokens: u32,
    /// Tokens prefilled again after their KV cache was lost.
    pub recomputed_tokens: u32,
}

impl Sequence {
    /// A request that waits for its first slot.
    pub fn new(submission: Submission) -> Self {
        let generated = submission.continue_from;
        let prefill_target = submission.prompt_tokens + generated;
        Self {
            submission,
            state: RequestState::Waiting,
            generated,
            prefill_target,
            prefilled: 0,
            shared_blocks: 0,
            private_blocks: 0,
            started: false,
            holds_kv: false,
            cached_tokens: 0,
            recomputed_tokens: 0,
        }
    }

    /// Tokens that its KV cache can grow to.
    pub fn full_tokens(&self) -> u32 {
        self.submission
            .prompt_tokens
            .saturating_add(self.submission.max_tokens)
    }

    /// Whether its prefill is done.
    pub fn decodes(&self) -> bool {
        self.prefilled >= self.prefill_target
    }

    /// Whether its answer is whole.
    pub fn is_whole(&self) -> bool {
        self.generated >= self.submission.max_tokens
    }

    /// Names of the shared blocks it refers to.
    pub fn shared_names(&self) -> &[u64] {
        &self.submission.blocks[..self.shared_blocks]
    }

    /// Forgets its KV cache; all tokens so far must be prefilled again.
    pub fn lose_kv(&mut self) {
        self.holds_kv = false;
        self.shared_blocks = 0;
        self.private_blocks = 0;
        self.prefilled = 0;
        self.prefill_target = self.submission.prompt_tokens + self.generated;
        self.submission.imported_tokens = 0;
    }
}
