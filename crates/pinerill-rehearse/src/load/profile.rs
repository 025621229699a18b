//! Load of each preset: rates, bursts, heaps and sizes. `docs/REHEARSAL.md`
//! says where each value comes from.

use std::time::Duration;

use crate::preset::PresetName;

/// Online load: a base rate with bursts on top, and a few long prompts.
#[derive(Clone, Debug)]
pub struct OnlineProfile {
    /// Short requests per second outside bursts.
    pub base_per_second: f64,
    /// Short requests per second in a burst.
    pub burst_per_second: f64,
    /// Time from one burst's start to the next.
    pub burst_period: Duration,
    /// Length of a burst.
    pub burst_length: Duration,
    /// Length of the prompt that all short requests share, in tokens.
    pub shared_prompt_tokens: u32,
    /// Length of a short request's own prompt, in tokens.
    pub own_prompt_tokens: u32,
    /// Length of a short request's answer, in tokens.
    pub answer_tokens: u32,
    /// Long requests per second; they can wait.
    pub long_per_second: f64,
    /// Length of a long request's prompt, in tokens.
    pub long_prompt_tokens: u32,
    /// Length of a long request's answer, in tokens.
    pub long_answer_tokens: u32,
    /// Share of short requests that must not be repeated, in percent.
    pub at_most_once_percent: u32,
}

/// Batch load: heaps of jobs.
#[derive(Clone, Debug)]
pub struct BatchProfile {
    /// Time from one heap to the next.
    pub heap_period: Duration,
    /// Jobs in a heap.
    pub jobs_per_heap: usize,
    /// Length of the prompt that all items share, in tokens.
    pub shared_prompt_tokens: u32,
    /// Length of an item's own prompt, in tokens.
    pub own_prompt_tokens: u32,
    /// Length of an item's answer, in tokens.
    pub answer_tokens: u32,
    /// Share of items that must not be repeated, in percent.
    pub at_most_once_percent: u32,
    /// Tokens of a heap over what the fleet generates between two heaps: above
    /// 1, so that batch work never runs out.
    pub fill: f64,
}

/// The whole load of a preset.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// Online load.
    pub online: OnlineProfile,
    /// Batch load.
    pub batch: BatchProfile,
}

/// The load of a preset.
pub fn load_profile(name: PresetName) -> LoadProfile {
    let heap_period = name.preset().heap_period;
    match name {
        PresetName::Lumadar => lumadar(heap_period),
        PresetName::Harrowgate => harrowgate(heap_period),
    }
}

fn lumadar(heap_period: Duration) -> LoadProfile {
    LoadProfile {
        online: OnlineProfile {
            base_per_second: 60.0,
            burst_per_second: 300.0,
            burst_period: Duration::from_secs(6),
            burst_length: Duration::from_millis(1_500),
            shared_prompt_tokens: 512,
            own_prompt_tokens: 64,
            answer_tokens: 48,
            long_per_second: 0.5,
            long_prompt_tokens: 6_000,
            long_answer_tokens: 128,
            at_most_once_percent: 10,
        },
        batch: BatchProfile {
            heap_period,
            jobs_per_heap: 3,
            shared_prompt_tokens: 256,
            own_prompt_tokens: 128,
            answer_tokens: 128,
            at_most_once_percent: 20,
            fill: 1.1,
        },
    }
}

fn harrowgate(heap_period: Duration) -> LoadProfile {
    LoadProfile {
        online: OnlineProfile {
            base_per_second: 15.0,
            burst_per_second: 120.0,
            burst_period: Duration::from_secs(9),
            burst_length: Duration::from_secs(1),
            shared_prompt_tokens: 256,
            own_prompt_tokens: 32,
            answer_tokens: 32,
            long_per_second: 0.2,
            long_prompt_tokens: 4_000,
            long_answer_tokens: 128,
            at_most_once_percent: 10,
        },
        batch: BatchProfile {
            heap_period,
            jobs_per_heap: 4,
            shared_prompt_tokens: 512,
            own_prompt_tokens: 128,
            answer_tokens: 192,
            at_most_once_percent: 20,
            fill: 1.1,
        },
    }
}
