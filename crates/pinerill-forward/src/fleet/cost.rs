//! Cost of a worker for a call, in milliseconds until the first event and, where workers of a service
//! differ in pace, until the last one.

use super::pace::USUAL_PACE;
use super::prefixes::Prompt;
use super::worker::Worker;
use super::Fleet;

/// Cost in milliseconds of a full worker compared with an idle one; it grows with the square of the
/// utilization. A step takes hardly longer when other requests run beside it, but the known load is
/// slightly stale, so that several nodes are likely to take the last free slots at once.
const FULL_WORKER_COST_MS: f64 = 30.0;
/// Cost in milliseconds of a worker that is still slow after its start.
const COLD_WORKER_COST_MS: f64 = 50.0;
/// Fraction of a prefix's prefill time that is counted at the worker to which all nodes of a zone
/// send that prefix, while this node does not know whether the worker has processed it.
const PREFERRED_WORKER_PREFILL_FACTOR: f64 = 0.5;
/// Average wait of a call at a worker whose last slot another node takes at the same instant, as a
/// multiple of the time between two ends of calls there: the run time divided by the slots.
const SHARED_SLOT_WAIT: f64 = 1.0;
/// Bounds of the current work time of a load sample, in percent of the usual one. Values outside
/// them count as not told.
const WORK_PERCENT_RANGE: std::ops::RangeInclusive<u32> = 10..=2_000;

/// Returns the time in milliseconds that a call takes longer at a worker than at a usual one that is
/// idle. `factor` is the time that work takes there relative to the usual one; `utilization` is the
/// fraction of its `slots` in use. The higher it is, the likelier a call of another node takes the
/// last slot first.
fn extra_run_ms(run_ms: f64, factor: f64, utilization: f64, slots: f64) -> f64 {
    let collision = SHARED_SLOT_WAIT * utilization * utilization / slots;
    run_ms * (factor - USUAL_PACE) + run_ms * factor * collision
}

impl Fleet {
    pub(super) fn prefill_ms(&self, worker: &Worker, prompt: &Prompt, is_preferred: bool) -> f64 {
        let uncached = prompt.tokens - worker.prefixes.processed_tokens(prompt).min(prompt.tokens);
        let full_prefill_ms = uncached as f64 / self.settings.prefill_tokens_per_ms;
        if is_preferred {
            full_prefill_ms * PREFERRED_WORKER_PREFILL_FACTOR
        } else {
            full_prefill_ms
        }
    }

    pub(super) fn cost_ms(&self, now_ms: u64, worker: &Worker, prefill_ms: f64) -> f64 {
        let occupied = worker.occupied(now_ms);
        let utilization = occupied / worker.slots();
        let mut cost = prefill_ms + worker.remaining_prefill_ms(now_ms);
        cost += utilization * utilization * FULL_WORKER_COST_MS;
        if !self.is_in_own_zone(worker) {
            cost += self.settings.other_zone_ms;
        }
        if worker.is_cold(now_ms) && !self.needs_permit(now_ms, worker) {
            cost += COLD_WORKER_COST_MS;
        }
        cost
    }

    /// Reorders the workers of this zone, sorted by cost, by the cost that includes how long the call
    /// runs there. Workers of other zones keep their positions, so that pace moves no call to another
    /// zone. Changes nothing while all workers of this zone have the usual pace.
    pub(super) fn prefer_faster(&self, now_ms: u64, service: &str, scored: &mut [(f64, &Worker)]) {
        let run_ms = self.paces.run_ms(service);
        let is_unusual = |worker: &Worker| self.run_factor(now_ms, worker) != USUAL_PACE;
        if run_ms <= 0.0 || !scored.iter().any(|(_, worker)| is_unusual(worker)) {
            return;
        }
        let local = scored.iter().filter(|(_, one)| self.is_in_own_zone(one));
        let mut local: Vec<(f64, &Worker)> = local
            .map(|(cost_ms, worker)| {
                let factor = self.run_factor(now_ms, worker);
                let utilization = (worker.occupied(now_ms) / worker.slots()).min(1.0);
                let extra_ms = extra_run_ms(run_ms, factor, utilization, worker.slots());
                (cost_ms + extra_ms, *worker)
            })
            .collect();
        local.sort_by(|left, right| left.0.total_cmp(&right.0));
        let positions = scored.iter_mut();
        let positions = positions.filter(|(_, worker)| self.is_in_own_zone(worker));
        for (position, worker) in positions.zip(local) {
            *position = worker;
        }
    }

    /// Returns the time that work takes at a worker of this zone relative to the usual one: its pace
    /// and, while a load sample is fresh ([`super::ChoiceSettings::moment_age_ms`], by default never),
    /// the current work time in it.
    fn run_factor(&self, now_ms: u64, worker: &Worker) -> f64 {
        if !self.is_in_own_zone(worker) {
            return USUAL_PACE;
        }
        let percent = worker.work_percent(now_ms, self.settings.moment_age_ms);
        let told = percent.filter(|percent| WORK_PERCENT_RANGE.contains(percent));
        worker.placing_pace * told.map_or(USUAL_PACE, |percent| f64::from(percent) / 100.0)
    }
}
