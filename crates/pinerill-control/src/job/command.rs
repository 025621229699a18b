//! Commands of a job group and their replies.

use pinerill_types::job::JobStatus;
use pinerill_types::JobId;
use pinerill_wire::message::{
    AttemptRef, AttemptVerdict, CancelJob, EndAttempts, LeaseItems, RenewLeases, SubmitJob,
    SubmitJobResponse,
};
use serde::{Deserialize, Serialize};

/// One log entry: commands that are applied together, in order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobEntry {
    /// The leader's time when it proposed the entry, Unix milliseconds.
    pub now_ms: u64,
    /// The commands.
    pub commands: Vec<JobCommand>,
}

/// Replies to the commands of one entry, in their order. Empty when the
/// entry was not understood.
pub type JobReplies = Vec<JobReply>;

/// A change of a job group's state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JobCommand {
    /// A part of a job.
    Submit(SubmitJob),
    /// Leases items to a node.
    Lease(LeaseItems),
    /// Reports ends of attempts.
    End(EndAttempts),
    /// Renews leases.
    Renew(RenewLeases),
    /// Cancels a job.
    Cancel(CancelJob),
    /// Does what is due: lets leases lapse, drops jobs that never arrived
    /// whole, deletes expired results.
    Maintain,
}

impl JobCommand {
    /// Approximate size in the log, bytes.
    pub fn size(&self) -> usize {
        const FIXED: usize = 64;
        const ATTEMPT: usize = 12;
        FIXED
            + match self {
                Self::Submit(part) => part.items.iter().map(super::item::input_bytes).sum(),
                Self::Lease(ask) => ask.wants.len() * FIXED,
                Self::End(ends) => {
                    let reports = ends.reports.iter();
                    let bodies = reports.map(|report| super::item::end_text(&report.end).len());
                    bodies.map(|body| ATTEMPT + body).sum()
                }
                Self::Renew(renewal) => renewal.attempts.len() * ATTEMPT,
                Self::Cancel(_) | Self::Maintain => 0,
            }
    }
}

/// What became of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobReply {
    /// How far the job has arrived.
    Submitted(SubmitJobResponse),
    /// Items leased to the node that asked; their inputs are in the table.
    Leased(Vec<AttemptRef>),
    /// Verdicts in the order of the reports.
    Ended(Vec<AttemptVerdict>),
    /// Attempts whose lease is no more.
    Renewed {
        /// The attempts to stop.
        lost: Vec<AttemptRef>,
    },
    /// The job after the cancellation.
    Cancelled(JobStatus),
    /// What was due is done.
    Maintained {
        /// More is due: the step was bounded.
        more: bool,
    },
    /// The command changed nothing.
    Rejected(Rejection),
}

/// Why a command changed nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    /// It can't be right.
    #[error("{0}")]
    Invalid(String),
    /// No such job, or not the asker's.
    #[error("there is no job {0}")]
    NotFound(JobId),
    /// The idempotency key belongs to a job with another content.
    #[error("the idempotency key belongs to {0}, which has another body")]
    Conflict(JobId),
    /// The tenant would have too many items open.
    #[error("{open} items are open and {added} were to be added, {limit} are allowed")]
    OverLimit {
        /// Open items of the tenant in this group.
        open: u64,
        /// Items of the refused job.
        added: u32,
        /// Most items the tenant may have open in this group.
        limit: u32,
    },
}
