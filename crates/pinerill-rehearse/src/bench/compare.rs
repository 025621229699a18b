//! What the phases of a run say about each other.

use serde::Serialize;

use super::figures::PhaseFigures;
use super::phase::Phase;
use crate::engine::parameters::EngineParameters;

/// Figures that need more than one phase; none when a phase did not run.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Comparison {
    /// First token's p99 of `mixed` over that of `online_only`.
    pub harm_first_token_p99: Option<f64>,
    /// Between tokens, p99 of `mixed` over that of `online_only`.
    pub harm_between_tokens_p99: Option<f64>,
    /// First token's p99 of `no_priority` over that of `direct`.
    pub no_priority_harm: Option<f64>,
    /// First token's p99 of `static_split` over that of `direct`.
    pub static_split_harm: Option<f64>,
    /// Batch tokens of `mixed` over nominal capacity less online's use.
    pub batch_efficiency: Option<f64>,
    /// The same of `no_priority`.
    pub no_priority_efficiency: Option<f64>,
    /// The same of `static_split`.
    pub static_split_efficiency: Option<f64>,
    /// Batch tokens of `mixed` over those of `batch_only`.
    pub mixed_over_batch_only: Option<f64>,
    /// Share of online requests lost in `mixed_failures`, those in flight at
    /// the killed worker left out, less the share lost in `mixed`.
    pub failures_lost_share: Option<f64>,
    /// First token's p99 of `mixed_failures` over that of `mixed`.
    pub failures_first_token_p99: Option<f64>,
    /// Batch tokens of `mixed_failures` over nominal capacity less online's
    /// use; capacity that failed is not taken off.
    pub failures_batch_efficiency: Option<f64>,
    /// Batch tokens of `mixed_failures` over those of `mixed`.
    pub failures_over_mixed_batch: Option<f64>,
    /// First token's p50 of `online_only` less that of `direct`, milliseconds.
    pub added_first_token_p50_ms: Option<f64>,
    /// First token's p95 of `online_only` less that of `direct`, milliseconds.
    pub added_first_token_p95_ms: Option<f64>,
    /// First token's p99 of `online_only` less that of `direct`, milliseconds.
    pub added_first_token_p99_ms: Option<f64>,
}

impl Comparison {
    /// Compares the phases that ran.
    pub fn of(phases: &[PhaseFigures], nominal: f64, parameters: &EngineParameters) -> Self {
        let find = |phase| phases.iter().find(|one| one.phase == phase);
        let (direct, online) = (find(Phase::Direct), find(Phase::OnlineOnly));
        let (batch, mixed) = (find(Phase::BatchOnly), find(Phase::Mixed));
        let failures = find(Phase::MixedFailures);
        let (no_priority, split) = (find(Phase::NoPriority), find(Phase::StaticSplit));
        let first_p99 = |one: &PhaseFigures| one.first_token_ms.p99;
        let gap_p99 = |one: &PhaseFigures| one.between_tokens_ms.p99;
        let batch_rate = |one: &PhaseFigures| one.batch_tokens_per_second;
        let efficiency =
            |one: Option<&PhaseFigures>| one.map(|one| batch_efficiency(one, nominal, parameters));
        let added = |of: fn(&PhaseFigures) -> f64| Some(of(online?) - of(direct?));
        Self {
            harm_first_token_p99: ratio(mixed, online, first_p99),
            harm_between_tokens_p99: ratio(mixed, online, gap_p99),
            no_priority_harm: ratio(no_priority, direct, first_p99),
            static_split_harm: ratio(split, direct, first_p99),
            batch_efficiency: efficiency(mixed),
            no_priority_efficiency: efficiency(no_priority),
            static_split_efficiency: efficiency(split),
            mixed_over_batch_only: ratio(mixed, batch, batch_rate),
            failures_lost_share: lost_share(failures, mixed),
            failures_first_token_p99: ratio(failures, mixed, first_p99),
            failures_batch_efficiency: efficiency(failures),
            failures_over_mixed_batch: ratio(failures, mixed, batch_rate),
            added_first_token_p50_ms: added(|one| one.first_token_ms.p50),
            added_first_token_p95_ms: added(|one| one.first_token_ms.p95),
            added_first_token_p99_ms: added(|one| one.first_token_ms.p99),
        }
    }
}

/// Batch tokens over what the engines could have generated beside the online
/// load. Online's use is its tokens, and for its prefills the tokens that the
/// engine would have generated in their time with full slots.
fn batch_efficiency(phase: &PhaseFigures, nominal: f64, parameters: &EngineParameters) -> f64 {
    let prefill_speed = f64::from(parameters.prefill_tokens_per_second);
    let prefill_seconds = phase.online_prefill_tokens_per_second / prefill_speed;
    let prefill_use = prefill_seconds * parameters.full_decode_rate();
    let left = nominal - phase.online_tokens_per_second - prefill_use;
    phase.batch_tokens_per_second / left
}

/// Lost beyond what was in flight at the killed worker, less what the same
/// arrivals lose without failures.
fn lost_share(failures: Option<&PhaseFigures>, mixed: Option<&PhaseFigures>) -> Option<f64> {
    let with_failures = failures?.failures.as_ref()?.lost_share_elsewhere();
    let without = &mixed?.online;
    let lost = without.sent - without.completed;
    Some(with_failures - lost as f64 / without.sent.max(1) as f64)
}

fn ratio(
    one: Option<&PhaseFigures>,
    other: Option<&PhaseFigures>,
    of: impl Fn(&PhaseFigures) -> f64,
) -> Option<f64> {
    let (one, other) = (of(one?), of(other?));
    (other > 0.0).then(|| one / other)
}
