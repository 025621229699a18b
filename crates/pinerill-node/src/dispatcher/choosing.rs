//! Which engine an online request gets.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use super::{Dispatcher, SlotRequest};
use crate::clock;
use crate::membership::{Engine, FleetView, ServiceEngines};
use crate::routing::{choose, Candidate, Choices, RANDOM_NUMBERS};

/// Tokens in one cached block.
const BLOCK_TOKENS: u32 = 64;

/// An engine for a request.
pub(super) struct Choice {
    /// The engine.
    pub engine: Arc<Engine>,
    /// Prompt tokens that it seems not to have cached.
    pub uncached_tokens: u32,
}

impl Dispatcher {
    pub(super) fn choose_engine(&self, view: &FleetView, demand: &SlotRequest) -> Option<Choice> {
        let engines = view.services.get(&demand.plan.name)?;
        let (cached_tokens, hinted) = self.hinted(engines, demand);
        let active = active(engines);
        let mut able = engines.decode.iter().filter(|one| can_go_on(one, demand));
        let all_excluded = able.all(|engine| demand.excluded.contains(&engine.id));
        let now_ms = clock::now_ms();
        let candidate = |index: usize| -> Candidate {
            let engine = &engines.decode[index];
            let cached = match hinted.contains(&index) {
                true => cached_tokens,
                false => 0,
            };
            let mut candidate = engine.candidate(now_ms, cached);
            candidate.suspected |= !all_excluded && demand.excluded.contains(&engine.id);
            candidate.suspected |= !can_go_on(engine, demand);
            candidate
        };
        let choices = Choices {
            count: engines.decode.len(),
            hinted: &hinted,
            active: &active,
        };
        let random: [usize; RANDOM_NUMBERS] = rand::random();
        let chosen = choose(choices, demand.prompt_tokens, random, candidate)?;
        let is_hinted = hinted.contains(&chosen);
        if is_hinted {
            self.metrics.prefix_hints.inc();
        }
        let cached = if is_hinted { cached_tokens } else { 0 };
        Some(Choice {
            engine: engines.decode[chosen].clone(),
            uncached_tokens: demand.prompt_tokens.saturating_sub(cached),
        })
    }

    /// Length of the longest prefix that engines seem to have cached, in
    /// tokens, and these engines.
    fn hinted(&self, engines: &ServiceEngines, demand: &SlotRequest) -> (u32, Vec<usize>) {
        if demand.blocks.is_empty() {
            return (0, Vec::new());
        }
        let hints = self.fleet.hints.lock();
        let Some((blocks, holders)) = hints.longest(&demand.blocks) else {
            return (0, Vec::new());
        };
        let indices = holders
            .iter()
            .filter_map(|holder| engines.index.get(holder).copied())
            .collect();
        (blocks as u32 * BLOCK_TOKENS, indices)
    }
}

/// Engines with online requests of this node.
fn active(engines: &ServiceEngines) -> Vec<usize> {
    let numbered = engines.decode.iter().enumerate();
    let active = numbered.filter(|(_, engine)| engine.online.load(Ordering::Relaxed) > 0);
    active.map(|(index, _)| index).collect()
}

/// Whether an engine has the version that began an answer, if one did.
pub(super) fn can_go_on(engine: &Engine, demand: &SlotRequest) -> bool {
    let begun = demand.required_version.as_ref();
    begun.is_none_or(|begun| engine.serves(&demand.plan).as_ref() == Some(begun))
}
