//! A token bucket for rate limits with bursts. Rate and burst are passed to each call, so
//! that a changed limit takes effect without a new bucket.

const MS_PER_SECOND: f64 = 1_000.0;

/// A token bucket with fractional tokens. Times are milliseconds of any monotonic clock.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    tokens: f64,
    filled_ms: u64,
}

impl TokenBucket {
    /// Creates a bucket that contains `tokens` at `now_ms`.
    pub fn with_tokens(now_ms: u64, tokens: f64) -> Self {
        Self {
            tokens,
            filled_ms: now_ms,
        }
    }

    /// Refills the bucket and takes one token.
    ///
    /// # Errors
    /// Returns the time until a token is available, in milliseconds, if there is none.
    pub fn take(&mut self, now_ms: u64, per_second: f64, burst: f64) -> Result<(), u64> {
        self.fill(now_ms, per_second, burst);
        if self.take_one() {
            return Ok(());
        }
        Err(self.next_ms(per_second))
    }

    /// Adds the tokens for the time since the last refill; the bucket then contains at most
    /// `burst`.
    pub fn fill(&mut self, now_ms: u64, per_second: f64, burst: f64) {
        let elapsed_ms = now_ms.saturating_sub(self.filled_ms) as f64;
        self.tokens = (self.tokens + elapsed_ms * per_second / MS_PER_SECOND).min(burst);
        self.filled_ms = self.filled_ms.max(now_ms);
    }

    /// Returns the time until the bucket contains a whole token, in milliseconds; zero if it
    /// contains one.
    pub fn next_ms(&self, per_second: f64) -> u64 {
        let missing = (1.0 - self.tokens).max(0.0);
        (missing * MS_PER_SECOND / per_second).ceil() as u64
    }

    /// Returns the number of whole tokens in the bucket; zero if it is overdrawn.
    pub fn whole_tokens(&self) -> u32 {
        self.tokens.max(0.0) as u32
    }

    /// Adds tokens; the bucket then contains at most `limit`.
    pub fn add(&mut self, tokens: f64, limit: f64) {
        self.tokens = (self.tokens + tokens).min(limit);
    }

    /// Removes tokens. The bucket is overdrawn if it contains fewer.
    pub fn remove(&mut self, tokens: u32) {
        self.tokens -= f64::from(tokens);
    }

    /// Takes one token without refilling the bucket first. Returns whether there was one.
    pub fn take_one(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
