//! The load under which things fail: small, so that many scenarios go one
//! after the other on one machine.

use std::time::Duration;

use crate::load::profile::{BatchProfile, OnlineProfile};
use crate::preset::{Preset, PresetName};

/// Engines of each worker.
const ENGINES: [usize; 6] = [2; 6];
/// Unused here: jobs are submitted by the scenarios.
const HEAP_PERIOD: Duration = Duration::from_secs(8);

/// The site of the first preset with few workers.
pub fn preset() -> Preset {
    PresetName::Lumadar.preset().with_workers(&ENGINES)
}

/// Online load: steady, short answers, a third must not be repeated.
pub fn online_profile() -> OnlineProfile {
    OnlineProfile {
        base_per_second: 40.0,
        burst_per_second: 80.0,
        burst_period: Duration::from_secs(3),
        burst_length: Duration::from_millis(500),
        shared_prompt_tokens: 128,
        own_prompt_tokens: 32,
        answer_tokens: 24,
        long_per_second: 0.5,
        long_prompt_tokens: 1_000,
        long_answer_tokens: 96,
        at_most_once_percent: 33,
    }
}

/// Batch items that take about a second and a half each.
pub fn batch_profile() -> BatchProfile {
    BatchProfile {
        heap_period: HEAP_PERIOD,
        jobs_per_heap: 1,
        shared_prompt_tokens: 128,
        own_prompt_tokens: 32,
        answer_tokens: 64,
        at_most_once_percent: 33,
        fill: 1.0,
    }
}
