//! Text of an answer, derived from its request, so that a crossed, cut or
//! doubled answer shows.

use sha2::{Digest, Sha256};

/// Bytes of one answer token: six hexadecimal digits and a space.
pub const TOKEN_TEXT_BYTES: usize = 7;
/// Bytes of prompt text that count as one prompt token.
pub const PROMPT_BYTES_PER_TOKEN: usize = 4;
/// Answer tokens of a request that names no `max_tokens`.
pub const DEFAULT_MAX_TOKENS: u32 = 16;

/// The answer to one request: every token can be computed by its number.
#[derive(Clone, Debug)]
pub struct Answer {
    prefix: Sha256,
}

impl Answer {
    /// The answer to `prompt` by `model` (a trailing `@version` is left out)
    /// with `adapter` (empty for none).
    pub fn new(model: &str, adapter: &str, prompt: &str) -> Self {
        let mut prefix = content_prefix(model, adapter);
        prefix.update(prompt.as_bytes());
        prefix.update([0]);
        Self { prefix }
    }

    /// Appends the text of tokens `from..to` to `text`.
    pub fn append_text(&self, from: u32, to: u32, text: &mut String) {
        for index in from..to {
            let mut hasher = self.prefix.clone();
            hasher.update(index.to_string().as_bytes());
            let hash = hasher.finalize();
            text.push_str(&hex::encode(&hash[..3]));
            text.push(' ');
        }
    }

    /// Text of tokens `from..to`.
    pub fn text(&self, from: u32, to: u32) -> String {
        let tokens = to.saturating_sub(from) as usize;
        let mut text = String::with_capacity(tokens * TOKEN_TEXT_BYTES);
        self.append_text(from, to, &mut text);
        text
    }

    /// Hexadecimal SHA-256 of the text of the first `tokens` tokens.
    pub fn digest(&self, tokens: u32) -> String {
        text_digest(&self.text(0, tokens))
    }
}

/// Hexadecimal SHA-256 of a whole answer text.
pub fn text_digest(text: &str) -> String {
    hex::encode(Sha256::digest(text.as_bytes()))
}

/// A short name of a request's content, the same at every engine: the first 16
/// hexadecimal digits of SHA-256 over model, adapter and prompt.
pub fn content_name(model: &str, adapter: &str, prompt: &str) -> String {
    let mut hasher = content_prefix(model, adapter);
    hasher.update(prompt.as_bytes());
    hex::encode(&hasher.finalize()[..8])
}

/// Names of the prompt's whole cache blocks of `block_tokens` tokens each: the
/// name of a block covers the prompt from its start to the block's end.
pub fn block_names(model: &str, adapter: &str, prompt: &str, block_tokens: u32) -> Vec<u64> {
    let block_bytes = block_tokens as usize * PROMPT_BYTES_PER_TOKEN;
    let mut hasher = content_prefix(model, adapter);
    let mut names = Vec::with_capacity(prompt.len() / block_bytes.max(1));
    for block in prompt.as_bytes().chunks_exact(block_bytes.max(1)) {
        hasher.update(block);
        names.push(first_word(&hasher.clone().finalize()));
    }
    names
}

/// Number of prompt tokens of a prompt text.
pub fn prompt_tokens(prompt: &str) -> u32 {
    let tokens = prompt.len().div_ceil(PROMPT_BYTES_PER_TOKEN).max(1);
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// A model or adapter name without its trailing `@version`.
pub fn without_version(name: &str) -> &str {
    name.split_once('@').map_or(name, |(base, _)| base)
}

fn content_prefix(model: &str, adapter: &str) -> Sha256 {
    let mut hasher = Sha256::new();
    hasher.update(without_version(model).as_bytes());
    hasher.update([0]);
    hasher.update(without_version(adapter).as_bytes());
    hasher.update([0]);
    hasher
}

fn first_word(hash: &[u8]) -> u64 {
    hash.iter()
        .take(8)
        .fold(0, |word, byte| (word << 8) | u64::from(*byte))
}
