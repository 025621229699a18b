//! Chooses among engines that serve a request. Pure: the random numbers are
//! given.
//!
//! Without batch work, online requests spread. Beside batch work they keep to
//! engines that have some already: a step there is shorter than at an engine
//! that prefills batch, and batch keeps the others for itself. Only up to a
//! share of the slots, so that prefills rarely meet and a lost engine takes
//! few requests with it.

/// Prompt tokens to prefill that cost as much as one request that runs: a
/// prefill lengthens the step that a first token waits for, a request that
/// decodes hardly does.
const PREFILL_TOKENS_PER_REQUEST: f32 = 64.0;
/// A prompt with more tokens to prefill holds others up, so it is not packed.
const LONG_PREFILL_TOKENS: u32 = 1_024;
/// Share of the slots up to which online requests are packed beside batch.
const PACKED_SHARE: f32 = 0.75;
/// What each request beyond that share costs: more than a shared prompt that
/// another engine would have to prefill, since an engine that runs full makes
/// requests wait for a slot.
const CROWDED_COST: f32 = 8.0;
/// Cost of the fullest and of the emptiest engine that requests are packed
/// to, and of one that batch has for itself, in requests that run.
const PACKED_COST: (f32, f32) = (0.0, 0.5);
const UNDISTURBED_BATCH_COST: f32 = 0.75;
/// What one zone further away costs, in requests that run.
const ZONE_COST: f32 = 2.0;
/// What it saves that this node drives the engine's batch and so sees an
/// arrival first, in requests that run.
const DRIVEN_GAIN: f32 = 0.5;
/// Engines that are looked at of all, and of those with a cached prefix.
const SAMPLES: usize = 2;
/// Random numbers that a choice takes.
pub const RANDOM_NUMBERS: usize = 2 * SAMPLES;

/// One engine as the choice sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Online requests there, own ones exact, others estimated.
    pub online: f32,
    /// Requests that run at once.
    pub slots: u32,
    /// Its worker is suspected to be gone.
    pub suspected: bool,
    /// 0 for the own zone, 1 for the nearest neighbour, ….
    pub zone_rank: u32,
    /// This node drives its batch.
    pub driven: bool,
    /// Batch work waits for it or runs there.
    pub shared_with_batch: bool,
    /// Prompt tokens that it seems to have cached.
    pub cached_tokens: u32,
    /// Prompt tokens of requests from here that it has still to prefill.
    pub pending_tokens: u32,
}

impl Candidate {
    fn has_room(&self) -> bool {
        !self.suspected && self.online < self.slots as f32
    }

    fn cost(&self, prompt_tokens: u32) -> f32 {
        let uncached = prompt_tokens.saturating_sub(self.cached_tokens);
        let to_prefill = uncached.saturating_add(self.pending_tokens) as f32;
        let driven = if self.driven { DRIVEN_GAIN } else { 0.0 };
        self.crowding(uncached)
            + to_prefill / PREFILL_TOKENS_PER_REQUEST
            + ZONE_COST * self.zone_rank as f32
            - driven
    }

    /// What the requests there cost one that joins them.
    fn crowding(&self, uncached: u32) -> f32 {
        if !self.shared_with_batch || uncached > LONG_PREFILL_TOKENS {
            return self.online;
        }
        let packed = self.slots as f32 * PACKED_SHARE;
        match self.online {
            online if online < 1.0 => UNDISTURBED_BATCH_COST,
            online if online < packed => {
                let (fullest, emptiest) = PACKED_COST;
                emptiest + (fullest - emptiest) * online / packed
            }
            online => 1.0 + CROWDED_COST * (online - packed),
        }
    }
}

/// The engines among which a request may choose, by their numbers.
#[derive(Debug, Clone, Copy)]
pub struct Choices<'a> {
    /// How many there are.
    pub count: usize,
    /// Those that seem to have the longest cached prefix.
    pub hinted: &'a [usize],
    /// Those that have online requests of this node.
    pub active: &'a [usize],
}

/// The best of the engines in use and of some taken at random, of all and of
/// those with a cached prefix; when none of them has room, the best of all.
/// None when none has room. At random, because reports lag: all nodes would
/// run to the engine that seems the best. What this node has in use is known
/// exactly, and differs from node to node.
///
/// `view` gives the engine with a number below `choices.count`.
pub fn choose(
    choices: Choices<'_>,
    prompt_tokens: u32,
    random: [usize; RANDOM_NUMBERS],
    view: impl Fn(usize) -> Candidate,
) -> Option<usize> {
    let Choices {
        count,
        hinted,
        active,
    } = choices;
    let [first, second, third, fourth] = random;
    let of_all = sample(count, [first, second]);
    let of_hinted = sample(hinted.len(), [third, fourth]).map(|at| hinted[at]);
    let sampled = of_all.chain(of_hinted).chain(active.iter().copied());
    best(sampled, prompt_tokens, &view).or_else(|| best(0..count, prompt_tokens, &view))
}

/// Numbers below `count`, different ones where there are enough.
fn sample(count: usize, random: [usize; SAMPLES]) -> impl Iterator<Item = usize> {
    let first = random[0] % count.max(1);
    let offset = 1 + random[1] % count.saturating_sub(1).max(1);
    let samples = [first, (first + offset) % count.max(1)];
    samples.into_iter().take(count)
}

fn best(
    indices: impl Iterator<Item = usize>,
    prompt_tokens: u32,
    view: &impl Fn(usize) -> Candidate,
) -> Option<usize> {
    indices
        .map(|index| (index, view(index)))
        .filter(|(_, candidate)| candidate.has_room())
        .map(|(index, candidate)| (index, candidate.cost(prompt_tokens)))
        .min_by(|left, right| left.1.total_cmp(&right.1))
        .map(|(index, _)| index)
}
