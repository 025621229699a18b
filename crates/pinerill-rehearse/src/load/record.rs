//! What came of each online request.

use serde::Serialize;

use super::schedule::OnlineKind;
use super::sse::ErrorBody;

/// How an online request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OnlineEnd {
    /// The whole answer came, and it is the right one.
    Completed,
    /// Refused: the answer promises that it did not run.
    NotRun(Box<ErrorBody>),
    /// Failed, and it may have run.
    Failed(String),
    /// The answer is not the request's: a broken promise.
    WrongAnswer(String),
}

/// One online request and what came of it.
#[derive(Clone, Debug)]
pub struct OnlineRecord {
    /// Number in the schedule.
    pub number: u64,
    /// Identifier, unique in the run.
    pub request_id: String,
    /// Kind.
    pub kind: OnlineKind,
    /// Whether it arrived in a burst.
    pub in_burst: bool,
    /// Whether it must not be repeated.
    pub at_most_once: bool,
    /// Name of its content.
    pub content: String,
    /// When it was due, Unix time in microseconds.
    pub due_us: u64,
    /// Time from then to the first token, in microseconds.
    pub first_token_us: Option<u64>,
    /// Times between deliveries of tokens, in microseconds.
    pub gaps_us: Vec<u32>,
    /// Tokens delivered.
    pub tokens: u32,
    /// How it ended.
    pub end: OnlineEnd,
}

impl OnlineRecord {
    /// Whether its whole and right answer came.
    pub fn is_completed(&self) -> bool {
        self.end == OnlineEnd::Completed
    }
}

/// Counts of ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EndCounts {
    /// All requests.
    pub sent: u64,
    /// Completed.
    pub completed: u64,
    /// Refused before they ran.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Wrong answers.
    pub wrong: u64,
    /// Completed, but the first token came late.
    pub late: u64,
}

impl EndCounts {
    /// Counts the ends of `records`; `late_us` bounds the first token's time.
    pub fn of<'a>(records: impl Iterator<Item = &'a OnlineRecord>, late_us: u64) -> Self {
        let mut counts = Self::default();
        for record in records {
            counts.sent += 1;
            match &record.end {
                OnlineEnd::Completed => counts.completed += 1,
                OnlineEnd::NotRun(_) => counts.refused += 1,
                OnlineEnd::Failed(_) => counts.failed += 1,
                OnlineEnd::WrongAnswer(_) => counts.wrong += 1,
            }
            let late = record.first_token_us.is_some_and(|time| time > late_us);
            if late && record.end == OnlineEnd::Completed {
                counts.late += 1;
            }
        }
        counts
    }
}
