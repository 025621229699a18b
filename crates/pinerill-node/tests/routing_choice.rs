//! Tests of the choice of an engine for an online request.

use pinerill_node::routing::{choose, Candidate, CandidateSet, RANDOM_NUMBERS};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const SLOTS: u32 = 16;
const PROMPT_TOKENS: u32 = 64;
const LONG_PROMPT_TOKENS: u32 = 6_000;

fn candidate(online: u32, shared_with_batch: bool) -> Candidate {
    Candidate {
        online: online as f32,
        slots: SLOTS,
        excluded: false,
        zone_rank: 0,
        batch_owner: true,
        shared_with_batch,
        cached_tokens: 0,
        pending_tokens: 0,
    }
}

/// Engines on which requests never end.
struct Engines {
    random: Pcg64,
    candidates: Vec<Candidate>,
}

impl Engines {
    fn new(candidates: Vec<Candidate>) -> Self {
        Self {
            random: Pcg64::seed_from_u64(1),
            candidates,
        }
    }

    fn choose(&mut self, hinted: &[usize], prompt_tokens: u32) -> Option<usize> {
        let engines = self.candidates.iter().enumerate();
        let active = engines.filter(|(_, engine)| engine.online > 0.0);
        let active: Vec<usize> = active.map(|(index, _)| index).collect();
        let candidate_set = CandidateSet {
            count: self.candidates.len(),
            hinted,
            active: &active,
        };
        let random: [usize; RANDOM_NUMBERS] = self.random.gen();
        choose(candidate_set, prompt_tokens, random, |index| {
            self.candidates[index]
        })
    }

    /// Assigns requests that never end. Returns the number of engines that have any.
    fn fill(&mut self, requests: usize) -> usize {
        for _ in 0..requests {
            let index = self.choose(&[], PROMPT_TOKENS).expect("room");
            self.candidates[index].online += 1.0;
        }
        let engines = self.candidates.iter();
        engines.filter(|engine| engine.online > 0.0).count()
    }
}

#[test]
fn requests_are_packed_on_few_engines_with_batch_work_and_spread_without() {
    let mut shared = Engines::new(vec![candidate(0, true); 20]);
    assert!(
        shared.fill(36) <= 4,
        "36 requests fit on 3 engines with 12 of 16 slots each"
    );
    let most = shared.candidates.iter().map(|one| one.online as u32).max();
    assert!(most <= Some(13), "{most:?} requests on one engine");
    let mut alone = Engines::new(vec![candidate(0, false); 20]);
    assert!(alone.fill(24) >= 14);
}

#[test]
fn a_burst_fills_all_slots_of_engines_with_batch_work() {
    let mut engines = Engines::new(vec![candidate(0, true); 4]);
    assert_eq!(engines.fill(64), 4);
    assert_eq!(engines.choose(&[], PROMPT_TOKENS), None);
}

#[test]
fn an_engine_without_the_prefix_is_used_before_one_with_it_is_full() {
    let mut engines = Engines::new(vec![candidate(0, true); 4]);
    engines.candidates[0].cached_tokens = 512;
    for _ in 0..20 {
        let index = engines.choose(&[0], 576).expect("room");
        engines.candidates[index].online += 1.0;
    }
    let first = engines.candidates[0].online;
    assert!(
        (12.0..=14.0).contains(&first),
        "{first} of 16 slots are in use"
    );
}

#[test]
fn a_long_prompt_goes_to_an_engine_without_online_requests() {
    let mut engines = Engines::new(vec![candidate(4, true); 8]);
    engines.candidates[5] = candidate(0, true);
    let chosen = (0..50).map(|_| engines.choose(&[], LONG_PROMPT_TOKENS));
    let alone = chosen.filter(|one| *one == Some(5)).count();
    assert!(alone > 0);
    let two = vec![candidate(4, true), candidate(0, true)];
    let mut engines = Engines::new(two);
    assert_eq!(engines.choose(&[], LONG_PROMPT_TOKENS), Some(1));
    assert_eq!(engines.choose(&[], PROMPT_TOKENS), Some(0));
}

#[test]
fn a_request_avoids_an_engine_that_prefills_another_prompt() {
    for (shared, pending) in [
        (false, LONG_PROMPT_TOKENS),
        (true, LONG_PROMPT_TOKENS),
        (true, PROMPT_TOKENS),
    ] {
        let mut engines = Engines::new(vec![candidate(8, shared); 2]);
        engines.candidates[0].pending_tokens = pending;
        engines.candidates[1].online = 2.0;
        for _ in 0..20 {
            assert_eq!(engines.choose(&[], PROMPT_TOKENS), Some(1));
        }
    }
}

#[test]
fn requests_with_a_widely_cached_prefix_spread_over_all_engines_that_have_it() {
    let mut engines = Engines::new(vec![candidate(0, false); 40]);
    let hinted: Vec<usize> = (0..32).collect();
    for index in 0..32 {
        engines.candidates[index].cached_tokens = 512;
    }
    let mut seen = [0; 40];
    for _ in 0..640 {
        let index = engines.choose(&hinted, 576).expect("room");
        seen[index] += 1;
    }
    assert!(seen[..32].iter().all(|count| *count > 0));
    assert!(seen.iter().all(|count| *count < 60), "{seen:?}");
    assert_eq!(
        seen[32..].iter().sum::<u32>(),
        0,
        "requests on engines without the prefix"
    );
}

#[test]
fn idle_engines_of_the_local_zone_are_used_before_other_zones() {
    let mut engines = Engines::new(vec![candidate(0, true); 4]);
    engines.candidates[2].zone_rank = 1;
    engines.candidates[3].zone_rank = 2;
    engines.candidates[2].online = 4.0;
    for _ in 0..24 {
        let index = engines.choose(&[], PROMPT_TOKENS).expect("room");
        assert!(index < 2, "{index}");
        engines.candidates[index].online += 1.0;
    }
}

#[test]
fn an_excluded_or_full_engine_is_never_chosen() {
    let mut engines = Engines::new(vec![candidate(0, false); 3]);
    engines.candidates[0].excluded = true;
    engines.candidates[1].online = SLOTS as f32;
    for _ in 0..20 {
        assert_eq!(engines.choose(&[0, 1], PROMPT_TOKENS), Some(2));
    }
    engines.candidates[2].excluded = true;
    assert_eq!(engines.choose(&[0, 1], PROMPT_TOKENS), None);
}
