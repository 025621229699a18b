//! Contents of requests and items: each is unique, and its answer is known
//! beforehand.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::profile::{BatchProfile, OnlineProfile};
use super::schedule::{Arrival, OnlineKind};
use crate::answer::{content_name, Answer, PROMPT_BYTES_PER_TOKEN};

/// Adapter of a request without one.
const NO_ADAPTER: &str = "";

/// Who may answer the requests of a load. An old script knows no adapters, so
/// its answers are those of the model alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnsweredBy {
    /// Engines only.
    #[default]
    Engines,
    /// The old script only.
    Script,
    /// Either: the bundle gives each a share.
    Either,
}

/// What all contents of a load have in common.
#[derive(Clone, Debug)]
pub struct ContentContext {
    /// Makes contents of one phase and run different from any other's.
    pub tag: String,
    /// What callers name: a service at a node, a model at an engine.
    pub service: String,
    /// The model that answers.
    pub model: String,
    /// The adapter that answers, empty for none.
    pub adapter: String,
    /// Who may answer.
    pub answered_by: AnsweredBy,
}

/// One online request.
#[derive(Clone, Debug)]
pub struct OnlineRequest {
    /// When and how it arrives.
    pub arrival: Arrival,
    /// Identifier, unique in the run.
    pub request_id: String,
    /// Prompt text.
    pub prompt: String,
    /// Length of the answer, in tokens.
    pub max_tokens: u32,
    /// Name of its content, as ledgers have it.
    pub content: String,
    /// Its right answers: more than one when either engines or the old script
    /// may answer.
    pub answers: Vec<Answer>,
}

/// One item of a batch job.
#[derive(Clone, Debug)]
pub struct BatchItem {
    /// The caller's identifier, unique in the job.
    pub custom_id: String,
    /// Prompt text.
    pub prompt: String,
    /// Length of the answer, in tokens.
    pub max_tokens: u32,
    /// Whether it must not be repeated.
    pub at_most_once: bool,
    /// Name of its content, as ledgers have it.
    pub content: String,
    /// Its answer.
    pub answer: Answer,
}

impl ContentContext {
    /// The request of an arrival.
    pub fn online_request(&self, profile: &OnlineProfile, arrival: &Arrival) -> OnlineRequest {
        let identifier = format!("{}-online-{}", self.tag, arrival.number);
        let (prompt, max_tokens) = match arrival.kind {
            OnlineKind::Short => {
                let shared = filler(&self.service, profile.shared_prompt_tokens);
                let own = own_text(&identifier, profile.own_prompt_tokens);
                (shared + &own, profile.answer_tokens)
            }
            OnlineKind::Long => {
                let own = own_text(&identifier, profile.long_prompt_tokens);
                (own, profile.long_answer_tokens)
            }
        };
        OnlineRequest {
            arrival: arrival.clone(),
            content: content_name(&self.model, &self.adapter, &prompt),
            answers: self.right_answers(&prompt),
            request_id: identifier,
            prompt,
            max_tokens,
        }
    }

    fn right_answers(&self, prompt: &str) -> Vec<Answer> {
        let at_engines = Answer::new(&self.model, &self.adapter, prompt);
        let at_script = Answer::new(&self.model, NO_ADAPTER, prompt);
        match self.answered_by {
            AnsweredBy::Engines => vec![at_engines],
            AnsweredBy::Script => vec![at_script],
            AnsweredBy::Either => vec![at_engines, at_script],
        }
    }

    /// Item `number` of job `job`.
    pub fn batch_item(&self, profile: &BatchProfile, job: &str, number: usize) -> BatchItem {
        let identifier = format!("{}-{job}-{number}", self.tag);
        let shared = filler(
            &format!("{}-batch", self.service),
            profile.shared_prompt_tokens,
        );
        let prompt = shared + &own_text(&identifier, profile.own_prompt_tokens);
        let percent = profile.at_most_once_percent as usize;
        BatchItem {
            custom_id: format!("item-{number}"),
            content: content_name(&self.model, &self.adapter, &prompt),
            answer: Answer::new(&self.model, &self.adapter, &prompt),
            prompt,
            max_tokens: profile.answer_tokens,
            at_most_once: number % 100 < percent,
        }
    }
}

/// A text of `tokens` prompt tokens that starts with `identifier`.
fn own_text(identifier: &str, tokens: u32) -> String {
    let mut text = format!("[{identifier}] ");
    let missing = (tokens as usize * PROMPT_BYTES_PER_TOKEN).saturating_sub(text.len());
    let rest = filler(identifier, missing.div_ceil(PROMPT_BYTES_PER_TOKEN) as u32);
    text.push_str(&rest[..missing]);
    text
}

/// A text of `tokens` prompt tokens that follows from `seed`.
fn filler(seed: &str, tokens: u32) -> String {
    let seed = seed.bytes().fold(0_u64, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(u64::from(byte))
    });
    let mut random = Pcg64::seed_from_u64(seed);
    let bytes = tokens as usize * PROMPT_BYTES_PER_TOKEN;
    let letters = (0..bytes).map(|position| match position % 6 {
        5 => ' ',
        _ => char::from(random.gen_range(b'a'..=b'z')),
    });
    letters.collect()
}
