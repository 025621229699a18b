//! Chooses among engines that serve a request. Pure: the random numbers are
//! given.

/// Uncached prompt tokens that cost as much as one request that runs.
const PREFILL_TOKENS_PER_REQUEST: f32 = 256.0;
/// What one zone further away costs, in requests that run.
const ZONE_COST: f32 = 1.0;
/// What it saves that this node drives the engine's batch and so sees an
/// arrival first, in requests that run.
const DRIVEN_GAIN: f32 = 0.5;

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
    /// Prompt tokens that it seems to have cached.
    pub cached_tokens: u32,
}

impl Candidate {
    fn has_room(&self) -> bool {
        !self.suspected && self.online < self.slots as f32
    }

    fn cost(&self, prompt_tokens: u32) -> f32 {
        let uncached = prompt_tokens.saturating_sub(self.cached_tokens) as f32;
        let driven = if self.driven { DRIVEN_GAIN } else { 0.0 };
        self.online + uncached / PREFILL_TOKENS_PER_REQUEST + ZONE_COST * self.zone_rank as f32
            - driven
    }
}

/// The better of two engines taken at random and those with a cached prefix;
/// when none of them has room, the best of all. None when none has room.
///
/// `view` gives the engine with a number below `count`; `random` are two
/// random numbers; `hinted` are engines that seem to have a cached prefix.
pub fn choose(
    count: usize,
    hinted: &[usize],
    prompt_tokens: u32,
    random: [usize; 2],
    view: impl Fn(usize) -> Candidate,
) -> Option<usize> {
    if count == 0 {
        return None;
    }
    let first = random[0] % count;
    let second = (first + 1 + random[1] % count.max(2).saturating_sub(1)) % count;
    let sampled = [first, second].into_iter().chain(hinted.iter().copied());
    best(sampled, prompt_tokens, &view).or_else(|| best(0..count, prompt_tokens, &view))
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
