//! Open-loop schedules: the same seed gives the same arrivals.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::profile::{BatchProfile, OnlineProfile};

/// What kind of online request arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnlineKind {
    /// A short one whose caller waits.
    Short,
    /// A long prompt whose caller can wait.
    Long,
}

/// One online arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time since the start of the schedule.
    pub at: Duration,
    /// Number in the schedule.
    pub number: u64,
    /// Kind.
    pub kind: OnlineKind,
    /// Whether a burst is on.
    pub in_burst: bool,
    /// Whether it must not be repeated.
    pub at_most_once: bool,
}

/// One heap of batch jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heap {
    /// Time since the start of the schedule.
    pub at: Duration,
    /// Number of items of each job.
    pub jobs: Vec<usize>,
}

/// Online arrivals of `length`: a Poisson process whose rate steps up in bursts.
pub fn online_arrivals(profile: &OnlineProfile, length: Duration, seed: u64) -> Vec<Arrival> {
    let mut random = Pcg64::seed_from_u64(seed);
    let highest = profile.base_per_second.max(profile.burst_per_second) + profile.long_per_second;
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += exponential_gap(&mut random, highest);
        if at >= length {
            return arrivals;
        }
        let in_burst = is_in_burst(profile, at);
        if let Some(kind) = thin(profile, in_burst, highest, &mut random) {
            let at_most_once = kind == OnlineKind::Short
                && random.gen_range(0..100) < profile.at_most_once_percent;
            arrivals.push(Arrival {
                at,
                number: arrivals.len() as u64,
                kind,
                in_burst,
                at_most_once,
            });
        }
    }
}

/// Whether a burst is on at `at`: the first one starts half a period in.
pub fn is_in_burst(profile: &OnlineProfile, at: Duration) -> bool {
    let period = profile.burst_period.as_secs_f64();
    let phase = (at.as_secs_f64() + period / 2.0) % period;
    phase < profile.burst_length.as_secs_f64()
}

/// Heaps of `length`, the first at its start. A heap's items together make
/// about `fill` times the tokens that the fleet generates in a period at
/// `tokens_per_second`; they are shared out unevenly over its jobs.
pub fn heaps(
    profile: &BatchProfile,
    length: Duration,
    tokens_per_second: f64,
    seed: u64,
) -> Vec<Heap> {
    let mut random = Pcg64::seed_from_u64(seed);
    let tokens = tokens_per_second * profile.heap_period.as_secs_f64() * profile.fill;
    let items = (tokens / f64::from(profile.answer_tokens)).ceil();
    let count = length.as_secs_f64() / profile.heap_period.as_secs_f64();
    (0..count.ceil() as u32)
        .map(|number| Heap {
            at: profile.heap_period * number,
            jobs: split(items, profile.jobs_per_heap, &mut random),
        })
        .collect()
}

fn split(items: f64, jobs: usize, random: &mut Pcg64) -> Vec<usize> {
    let shares: Vec<f64> = (0..jobs).map(|_| random.gen_range(0.5..1.5)).collect();
    let total: f64 = shares.iter().sum();
    let sizes = shares
        .iter()
        .map(|share| (items * share / total).ceil() as usize);
    sizes.map(|size| size.max(1)).collect()
}

fn exponential_gap(random: &mut Pcg64, per_second: f64) -> Duration {
    let uniform: f64 = random.gen_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / per_second)
}

fn thin(
    profile: &OnlineProfile,
    in_burst: bool,
    highest: f64,
    random: &mut Pcg64,
) -> Option<OnlineKind> {
    let short_rate = match in_burst {
        true => profile.burst_per_second,
        false => profile.base_per_second,
    };
    let draw = random.gen_range(0.0..highest);
    if draw < profile.long_per_second {
        return Some(OnlineKind::Long);
    }
    (draw < profile.long_per_second + short_rate).then_some(OnlineKind::Short)
}
