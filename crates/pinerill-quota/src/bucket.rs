//! A bucket that fills at a rate and lets one pass for each token.

const MS_PER_SECOND: f64 = 1_000.0;

/// A bucket that fills at a rate and lets one pass for each token.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    tokens: f64,
    filled_ms: u64,
}

impl TokenBucket {
    /// A bucket that holds these tokens.
    pub fn with_tokens(now_ms: u64, tokens: f64) -> Self {
        Self {
            tokens,
            filled_ms: now_ms,
        }
    }

    /// Takes one token, or says how long until there is one, milliseconds.
    ///
    /// # Errors
    /// The wait in milliseconds.
    pub fn take(&mut self, now_ms: u64, per_second: f64, burst: f64) -> Result<(), u64> {
        self.fill(now_ms, per_second, burst);
        if self.take_one() {
            return Ok(());
        }
        Err(self.next_ms(per_second))
    }

    /// Lets the time since the last filling bring its tokens, up to `burst`.
    pub fn fill(&mut self, now_ms: u64, per_second: f64, burst: f64) {
        let elapsed_ms = now_ms.saturating_sub(self.filled_ms) as f64;
        self.tokens = (self.tokens + elapsed_ms * per_second / MS_PER_SECOND).min(burst);
        self.filled_ms = self.filled_ms.max(now_ms);
    }

    /// Time until there is a whole token, milliseconds.
    pub fn next_ms(&self, per_second: f64) -> u64 {
        let missing = (1.0 - self.tokens).max(0.0);
        (missing * MS_PER_SECOND / per_second).ceil() as u64
    }

    /// Whole tokens that it holds.
    pub fn whole_tokens(&self) -> u32 {
        self.tokens.max(0.0) as u32
    }

    /// Adds tokens, up to a limit.
    pub fn add(&mut self, tokens: f64, limit: f64) {
        self.tokens = (self.tokens + tokens).min(limit);
    }

    /// Takes tokens that it holds.
    pub fn remove(&mut self, tokens: u32) {
        self.tokens -= f64::from(tokens);
    }

    /// Takes one token if there is one; nothing fills the bucket by itself.
    pub fn take_one(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
