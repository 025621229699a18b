//! Chooses the engine for an online request from the current view of the fleet.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use super::{Dispatcher, SlotRequest};
use crate::clock;
use crate::membership::{Engine, FleetView, ServiceEngines};
use crate::routing::{choose, Candidate, CandidateSet, RANDOM_NUMBERS};

/// Length of a cached block in tokens.
const BLOCK_TOKENS: u32 = 64;

/// An engine chosen for a request.
pub(super) struct EngineChoice {
    /// The chosen engine; none of its slots is taken yet.
    pub engine: Arc<Engine>,
    /// Estimated number of prompt tokens that the engine has to prefill.
    pub uncached_tokens: u32,
}

impl Dispatcher {
    /// Returns the cheapest engine with a free slot for the request, or None if there is none.
    /// Engines that failed the request before are used only if no other compatible engine
    /// exists.
    pub(super) fn choose_engine(
        &self,
        view: &FleetView,
        request: &SlotRequest,
    ) -> Option<EngineChoice> {
        let engines = view.services.get(&request.plan.name)?;
        let (cached_tokens, hinted) = self.prefix_hint(engines, request);
        let active = active_engines(engines);
        let mut compatible = engines
            .decode
            .iter()
            .filter(|one| serves_required_version(one, request));
        let all_excluded = compatible.all(|engine| request.excluded.contains(&engine.id));
        let now_ms = clock::now_ms();
        let candidate = |index: usize| -> Candidate {
            let engine = &engines.decode[index];
            let cached = match hinted.contains(&index) {
                true => cached_tokens,
                false => 0,
            };
            let mut candidate = engine.candidate(now_ms, cached);
            candidate.excluded |= !all_excluded && request.excluded.contains(&engine.id);
            candidate.excluded |= !serves_required_version(engine, request);
            candidate
        };
        let candidates = CandidateSet {
            count: engines.decode.len(),
            hinted: &hinted,
            active: &active,
        };
        let random: [usize; RANDOM_NUMBERS] = rand::random();
        let chosen = choose(candidates, request.prompt_tokens, random, candidate)?;
        let is_hinted = hinted.contains(&chosen);
        if is_hinted {
            self.metrics.prefix_hints.inc();
        }
        let cached = if is_hinted { cached_tokens } else { 0 };
        Some(EngineChoice {
            engine: engines.decode[chosen].clone(),
            uncached_tokens: request.prompt_tokens.saturating_sub(cached),
        })
    }

    /// Returns the length in tokens of the longest prompt prefix that engines probably have
    /// cached, and the indices of these engines; zero and none without a hint.
    fn prefix_hint(&self, engines: &ServiceEngines, request: &SlotRequest) -> (u32, Vec<usize>) {
        if request.blocks.is_empty() {
            return (0, Vec::new());
        }
        let hints = self.fleet.hints.lock();
        let Some((blocks, holders)) = hints.longest_match(&request.blocks) else {
            return (0, Vec::new());
        };
        let indices = holders
            .iter()
            .filter_map(|holder| engines.index.get(holder).copied())
            .collect();
        (blocks as u32 * BLOCK_TOKENS, indices)
    }
}

/// Returns the indices of the engines that run online requests of this node.
fn active_engines(engines: &ServiceEngines) -> Vec<usize> {
    let indexed = engines.decode.iter().enumerate();
    let active = indexed.filter(|(_, engine)| engine.online.load(Ordering::Relaxed) > 0);
    active.map(|(index, _)| index).collect()
}

/// Returns whether an engine serves the version that the request requires. True if the request
/// requires none.
pub(super) fn serves_required_version(engine: &Engine, request: &SlotRequest) -> bool {
    let required = request.required_version.as_ref();
    required.is_none_or(|required| engine.serves(&request.plan).as_ref() == Some(required))
}
