//! Parameters of the engine model. `docs/REHEARSAL.md` says where each default
//! comes from.

use clap::Args;

use super::messages::Micros;

/// Costs and limits of one engine.
#[derive(Args, Clone, Debug)]
pub struct EngineParameters {
    /// Requests that run at once.
    #[arg(long, default_value_t = 16)]
    pub slots: u32,
    /// Requests that may wait, for each priority.
    #[arg(long, default_value_t = 64)]
    pub queue_limit: u32,
    /// KV cache, in tokens.
    #[arg(long, default_value_t = 131_072)]
    pub kv_tokens: u32,
    /// Size of a cache block, in tokens.
    #[arg(long, default_value_t = 64)]
    pub block_tokens: u32,
    /// Prefill speed, in tokens per second.
    #[arg(long, default_value_t = 16_000)]
    pub prefill_tokens_per_second: u32,
    /// Prefill tokens in one step.
    #[arg(long, default_value_t = 256)]
    pub prefill_chunk_tokens: u32,
    /// Prefill tokens of batch requests in a step that online requests share.
    #[arg(long, default_value_t = 32)]
    pub shared_batch_chunk_tokens: u32,
    /// Time of a decode step with an empty batch, in microseconds.
    #[arg(long, default_value_t = 24_000)]
    pub decode_step_us: Micros,
    /// Time that each decoding request adds to a step, in microseconds.
    #[arg(long, default_value_t = 125)]
    pub decode_request_us: Micros,
    /// A preempted batch request loses its KV cache also when memory is free.
    #[arg(long)]
    pub preemption_drops_kv: bool,
    /// How long a cancel for an unknown identifier is remembered, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    pub remembered_cancel_ms: u64,
}

impl Default for EngineParameters {
    fn default() -> Self {
        Self {
            slots: 16,
            queue_limit: 64,
            kv_tokens: 131_072,
            block_tokens: 64,
            prefill_tokens_per_second: 16_000,
            prefill_chunk_tokens: 256,
            shared_batch_chunk_tokens: 32,
            decode_step_us: 24_000,
            decode_request_us: 125,
            preemption_drops_kv: false,
            remembered_cancel_ms: 10_000,
        }
    }
}

impl EngineParameters {
    /// Time of a step that decodes `decoding` requests and prefills `prefill`
    /// tokens.
    pub fn step_time(&self, decoding: usize, prefill: u32) -> Micros {
        let speed = u64::from(self.prefill_tokens_per_second.max(1));
        let prefill_time = u64::from(prefill) * 1_000_000 / speed;
        if decoding == 0 {
            return prefill_time.max(1);
        }
        let batch_time = self.decode_request_us * decoding as u64;
        self.decode_step_us + batch_time + prefill_time
    }

    /// KV cache blocks in all.
    pub fn total_blocks(&self) -> u32 {
        self.kv_tokens / self.block_tokens.max(1)
    }

    /// KV cache blocks that hold `tokens` tokens.
    pub fn blocks_of(&self, tokens: u32) -> u32 {
        tokens.div_ceil(self.block_tokens.max(1))
    }

    /// Decode tokens per second of an engine whose slots are all decoding.
    pub fn full_decode_rate(&self) -> f64 {
        let step = self.step_time(self.slots as usize, 0);
        f64::from(self.slots) * 1e6 / step as f64
    }
}
