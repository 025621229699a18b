//! How callers behave.

/// How callers behave.
#[derive(Clone, Copy, Debug)]
pub struct CallerStyle {
    /// Shortest pause between two operations, milliseconds.
    pub min_pause_ms: u64,
    /// Longest pause, milliseconds.
    pub max_pause_ms: u64,
    /// Share of operations that submit a new job.
    pub new_share: f64,
    /// Share of operations that send an earlier job again.
    pub resend_share: f64,
    /// Share of operations that cancel a job.
    pub cancel_share: f64,
    /// Share of items that are not to be repeated.
    pub once_share: f64,
    /// Share of operations on earlier jobs that concern one of the latest.
    pub recent_share: f64,
    /// Whether answers that take long are waited for in vain.
    pub impatient: bool,
}

impl Default for CallerStyle {
    fn default() -> Self {
        CallerStyle {
            min_pause_ms: 50,
            max_pause_ms: 900,
            new_share: 0.35,
            resend_share: 0.15,
            cancel_share: 0.07,
            once_share: 0.3,
            recent_share: 0.5,
            impatient: false,
        }
    }
}
