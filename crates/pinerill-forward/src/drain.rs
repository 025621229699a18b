//! The stages of a planned stop, and the bound that they set for requests.
//!
//! | share of the stop time | stage |
//! |---|---|
//! | from 0 | new calls are admitted, because callers learn of the stop only after some seconds |
//! | from 0.35 | new calls are refused; those in progress may end |
//! | from 0.9 | each request that has no response yet is refused |
//! | from 0.93 | connections are closed and running items are given back |
//!
//! [`run`](crate::run()) passes through the stages. Whatever a request waits for, its wait ends when
//! [`Drain::until_answers_due`] does, so that its caller gets a response before the connection is
//! closed. The dispatcher refuses calls earlier if they would get a slot too late ([`Drain::bound`]).

use std::future::Future;
use std::sync::OnceLock;
use std::time::Duration;

use pinerill_calls::protocol::Refusal;
use pinerill_process::clock::{sleep_until, BootTime};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Share of the stop time in which new calls are admitted.
const ADMISSION_SHARE: f64 = 0.35;
/// Share of the stop time after which requests without a response are refused.
const ANSWER_SHARE: f64 = 0.9;
/// Share of the stop time in which callers may then receive these responses.
const DELIVERY_SHARE: f64 = 0.03;
/// Longest time for which responses are delivered if the node is asked to stop at once.
const MAX_FORCED_DELIVERY_TIME: Duration = Duration::from_millis(100);
/// Retry delay given to callers while the node stops; they retry at another node.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// The node has to respond to all requests now, because its connections will be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the node stops")]
pub struct AnswersDue;

/// Returns the refusal for a request that certainly has not run and does not run at this node,
/// because the node stops.
pub fn not_run() -> Refusal {
    Refusal::NotRun {
        reason: "the node stops",
        retry_after: Some(RETRY_AFTER),
    }
}

/// Progress of a planned stop.
#[derive(Debug)]
pub struct Drain {
    /// Time from the signal until the process must have ended.
    stop_time: Duration,
    begun_at: OnceLock<BootTime>,
    begun: CancellationToken,
    answers_due: CancellationToken,
}

impl Drain {
    /// Creates the state of a node that serves. Its process must end within `stop_time` of a signal.
    pub fn new(stop_time: Duration) -> Self {
        Drain {
            stop_time,
            begun_at: OnceLock::new(),
            begun: CancellationToken::new(),
            answers_due: CancellationToken::new(),
        }
    }

    /// Records that the node begins to stop. Later calls have no effect.
    pub fn begin(&self) {
        self.begun_at.get_or_init(BootTime::now);
        self.begun.cancel();
    }

    /// Returns whether the node stops.
    pub fn has_begun(&self) -> bool {
        self.begun.is_cancelled()
    }

    /// Waits until the node begins to stop.
    pub async fn begun(&self) {
        self.begun.cancelled().await;
    }

    /// Returns whether the node stops and a call that arrives now could not end in time.
    pub fn is_admission_over(&self) -> bool {
        let admission_end = self.moment(ADMISSION_SHARE);
        admission_end.is_some_and(|end| BootTime::now() > end)
    }

    /// Returns the time by which a request with this deadline must be answered: its deadline, or
    /// the time at which answers fall due if the node stops and that is earlier.
    pub fn bound(&self, deadline: BootTime) -> BootTime {
        let due = self.moment(ANSWER_SHARE);
        due.map_or(deadline, |due| due.min(deadline))
    }

    /// Awaits a step of a request for as long as there is time to respond to it. Once responses are
    /// due, the step makes no more progress: a slot that a dropped call releases would otherwise go
    /// to a call that is about to be refused.
    ///
    /// # Errors
    /// Returns [`AnswersDue`] if responses fall due before the step has ended. The step is dropped.
    pub async fn until_answers_due<F: Future>(&self, step: F) -> Result<F::Output, AnswersDue> {
        tokio::select! {
            biased;
            () = self.answers_due.cancelled() => Err(AnswersDue),
            output = step => Ok(output),
        }
    }

    /// Lets requests end, then has them answered. Returns when connections are to be closed.
    /// The time for the delivery of responses counts from the moment at which they fell due, so that
    /// a process that was paused until after that moment still delivers them.
    pub async fn finish(&self) {
        self.begin();
        if let Some(due) = self.moment(ANSWER_SHARE) {
            sleep_until(due).await;
        }
        self.answers_due.cancel();
        sleep(self.stop_time.mul_f64(DELIVERY_SHARE)).await;
    }

    /// Has all requests answered now. Returns when connections are to be closed.
    pub async fn finish_at_once(&self) {
        self.begin();
        self.answers_due.cancel();
        let delivery_time = self.stop_time.mul_f64(DELIVERY_SHARE);
        sleep(delivery_time.min(MAX_FORCED_DELIVERY_TIME)).await;
    }

    /// Returns the moment at which this share of the stop time has passed; `None` if the node does
    /// not stop.
    fn moment(&self, share: f64) -> Option<BootTime> {
        let begun_at = *self.begun_at.get()?;
        Some(begun_at + self.stop_time.mul_f64(share))
    }
}
