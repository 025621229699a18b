//! Chooses the engine for an online request by a cost estimate. The functions have no side
//! effects, and the caller passes the random numbers. The dispatcher uses this module.
//!
//! Online requests are spread over engines without batch work. On engines with batch work they
//! are packed: they go to engines that already run online requests. A step there is shorter
//! than on an engine that prefills batch requests, and the other engines stay free for batch
//! work. Packing stops at a share of the slots, so that prefills rarely coincide and the loss
//! of an engine affects few requests.

/// Number of prompt tokens to prefill that cost as much as one running request. A prefill
/// lengthens the step that the first token waits for; a decoding request hardly does.
const PREFILL_TOKENS_PER_REQUEST: f32 = 64.0;
/// Number of tokens to prefill above which a request is not packed, because its prefill would
/// delay the other requests on the engine.
const LONG_PREFILL_TOKENS: u32 = 1_024;
/// Share of an engine's slots up to which online requests are packed on it.
const PACKED_SHARE: f32 = 0.75;
/// Cost of each request above `PACKED_SHARE`, in running requests. It is higher than the cost
/// of prefilling a shared prompt again on another engine, because requests have to wait for a
/// slot once an engine is full.
const OVER_PACKED_COST: f32 = 8.0;
/// Cost of the fullest and of the emptiest engine that requests are packed on, in running
/// requests. Engines in between are interpolated linearly.
const PACKED_COST: (f32, f32) = (0.0, 0.5);
/// Cost of an engine with batch work and without online requests, in running requests.
const BATCH_ONLY_COST: f32 = 0.75;
/// Cost of each step in zone distance, in running requests.
const ZONE_COST: f32 = 2.0;
/// Cost reduction for an engine whose batch work this node schedules, in running requests. Such
/// an engine is preferred because its batch scheduler sees the arrival of the request first.
const BATCH_OWNER_BONUS: f32 = 0.5;
/// Number of engines sampled from all engines, and again from those with a cached prefix.
const SAMPLE_SIZE: usize = 2;
/// Number of random numbers that one call of [`choose`] needs.
pub const RANDOM_NUMBERS: usize = 2 * SAMPLE_SIZE;

/// The state of one engine that its cost is computed from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Online requests on the engine: an exact count of this node's requests plus an estimate
    /// of those of other nodes.
    pub online: f32,
    /// Number of requests that the engine can run at the same time.
    pub slots: u32,
    /// Whether the engine must not be chosen: its worker accepts no new work or is suspected to
    /// be down, or the request must not run on this engine.
    pub excluded: bool,
    /// Distance of the engine's zone: 0 for this node's zone, 1 for the nearest neighbouring
    /// zone, and so on.
    pub zone_rank: u32,
    /// Whether this node schedules the engine's batch work.
    pub batch_owner: bool,
    /// Whether batch requests run on the engine or are queued for a service that it serves.
    pub shared_with_batch: bool,
    /// Estimated number of the request's prompt tokens in the engine's prefix cache.
    pub cached_tokens: u32,
    /// Prompt tokens of this node's other requests that the engine has yet to prefill.
    pub pending_tokens: u32,
}

impl Candidate {
    fn has_free_slot(&self) -> bool {
        !self.excluded && self.online < self.slots as f32
    }

    /// Returns the cost of running a prompt of this length here, in running requests.
    fn cost(&self, prompt_tokens: u32) -> f32 {
        let uncached = prompt_tokens.saturating_sub(self.cached_tokens);
        let to_prefill = uncached.saturating_add(self.pending_tokens) as f32;
        let bonus = if self.batch_owner {
            BATCH_OWNER_BONUS
        } else {
            0.0
        };
        self.load_cost(uncached)
            + to_prefill / PREFILL_TOKENS_PER_REQUEST
            + ZONE_COST * self.zone_rank as f32
            - bonus
    }

    /// Returns the cost caused by the online requests that already run on the engine, for a
    /// request with `uncached` tokens to prefill.
    fn load_cost(&self, uncached: u32) -> f32 {
        if !self.shared_with_batch || uncached > LONG_PREFILL_TOKENS {
            return self.online;
        }
        let packed = self.slots as f32 * PACKED_SHARE;
        match self.online {
            online if online < 1.0 => BATCH_ONLY_COST,
            online if online < packed => {
                let (fullest, emptiest) = PACKED_COST;
                emptiest + (fullest - emptiest) * online / packed
            }
            online => 1.0 + OVER_PACKED_COST * (online - packed),
        }
    }
}

/// The engines that a request can go to, as indices below `count`.
#[derive(Debug, Clone, Copy)]
pub struct CandidateSet<'a> {
    /// Number of engines.
    pub count: usize,
    /// Engines that probably have the longest prefix of the prompt cached.
    pub hinted: &'a [usize],
    /// Engines that run online requests of this node.
    pub active: &'a [usize],
}

/// Returns the index of the cheapest engine with a free slot, or None if no engine has one.
///
/// The cost is compared among the active engines, a random sample of all engines, and a random
/// sample of the hinted ones. If none of these has a free slot, all engines are compared.
/// Sampling is random because load reports lag: without it, all nodes would send their requests
/// to the same engine that looks cheapest. The active engines need no sampling, because this
/// node knows its own requests exactly and they differ from node to node.
///
/// `candidate_at` returns the state of the engine with a given index below `candidates.count`.
pub fn choose(
    candidates: CandidateSet<'_>,
    prompt_tokens: u32,
    random: [usize; RANDOM_NUMBERS],
    candidate_at: impl Fn(usize) -> Candidate,
) -> Option<usize> {
    let CandidateSet {
        count,
        hinted,
        active,
    } = candidates;
    let [first, second, third, fourth] = random;
    let from_all = sample(count, [first, second]);
    let from_hinted = sample(hinted.len(), [third, fourth]).map(|at| hinted[at]);
    let sampled = from_all.chain(from_hinted).chain(active.iter().copied());
    cheapest(sampled, prompt_tokens, &candidate_at)
        .or_else(|| cheapest(0..count, prompt_tokens, &candidate_at))
}

/// Returns up to `SAMPLE_SIZE` distinct indices below `count`.
fn sample(count: usize, random: [usize; SAMPLE_SIZE]) -> impl Iterator<Item = usize> {
    let first = random[0] % count.max(1);
    let offset = 1 + random[1] % count.saturating_sub(1).max(1);
    let samples = [first, (first + offset) % count.max(1)];
    samples.into_iter().take(count)
}

/// Returns the cheapest engine with a free slot among `indices`, or None if there is none.
fn cheapest(
    indices: impl Iterator<Item = usize>,
    prompt_tokens: u32,
    candidate_at: &impl Fn(usize) -> Candidate,
) -> Option<usize> {
    indices
        .map(|index| (index, candidate_at(index)))
        .filter(|(_, candidate)| candidate.has_free_slot())
        .map(|(index, candidate)| (index, candidate.cost(prompt_tokens)))
        .min_by(|left, right| left.1.total_cmp(&right.1))
        .map(|(index, _)| index)
}
