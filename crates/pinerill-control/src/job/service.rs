//! Answers requests about a group's jobs.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::anyhow;
use pinerill_replica::ReplicaId;
use pinerill_types::job::{JobStatus, LeasedItem};
use pinerill_wire::message::{
    AttemptRef, EndAttemptsResponse, JobOutputRequest, JobStatusRequest, LeaseItemsResponse,
    ListJobs, ListJobsResponse, Refusal, RefusalCode, RenewLeasesResponse, Request, Response,
    ServiceBacklog,
};

use super::command::{JobCommand, JobReply, Rejection};
use super::machine::JobMachine;
use super::maintenance;
use super::proposer::JobProposer;
use super::read::{read_leased, read_page, LeasePlan};
use crate::host::{GroupHandle, ProposeError, ReadError, TableReader};

/// When to come back to a group that is busy or has no leader, milliseconds.
const RETRY_AFTER_MS: u64 = 100;

/// Where the replicas of a group listen.
pub trait ReplicaAddresses: Send + Sync + 'static {
    /// The internal address of a replica, if known.
    fn address(&self, replica: ReplicaId) -> Option<SocketAddr>;
}

impl<F> ReplicaAddresses for F
where
    F: Fn(ReplicaId) -> Option<SocketAddr> + Send + Sync + 'static,
{
    fn address(&self, replica: ReplicaId) -> Option<SocketAddr> {
        self(replica)
    }
}

/// Answers for one job group. Clones share its tasks, which end with the
/// last clone.
#[derive(Clone)]
pub struct JobService {
    parts: Arc<ServiceParts>,
}

/// What the clones of a service share.
pub(super) struct ServiceParts {
    pub(super) group: GroupHandle<JobMachine>,
    pub(super) proposer: JobProposer,
    addresses: Box<dyn ReplicaAddresses>,
}

impl JobService {
    /// Starts proposing and upkeep for a group. Must be called within a tokio
    /// runtime.
    pub fn start(group: GroupHandle<JobMachine>, addresses: impl ReplicaAddresses) -> Self {
        let parts = Arc::new(ServiceParts {
            proposer: JobProposer::start(group.clone()),
            group,
            addresses: Box::new(addresses),
        });
        maintenance::start(Arc::downgrade(&parts));
        Self { parts }
    }

    /// Answers a request about jobs.
    pub async fn call(&self, request: Request) -> Response {
        let step = step_of(&request);
        let answer = match request {
            Request::SubmitJob(part) => self.propose(JobCommand::Submit(part)).await,
            Request::LeaseItems(ask) => self.propose(JobCommand::Lease(ask)).await,
            Request::EndAttempts(ends) => self.propose(JobCommand::End(ends)).await,
            Request::RenewLeases(renewal) => self.propose(JobCommand::Renew(renewal)).await,
            Request::CancelJob(cancel) => self.propose(JobCommand::Cancel(cancel)).await,
            Request::JobStatus(ask) => self.status(&ask).await,
            Request::JobOutput(ask) => self.output(&ask).await,
            Request::ListJobs(ask) => self.list(&ask).await,
            _ => Err(Failure::NotAJobRequest),
        };
        answer.unwrap_or_else(|failure| Response::Refused(self.refusal(step, failure)))
    }

    /// Items that wait for a lease, by service, as known here now. Only the
    /// leader's are up to date.
    pub fn backlog(&self) -> Vec<ServiceBacklog> {
        self.parts.group.with_machine(JobMachine::backlog)
    }

    async fn propose(&self, command: JobCommand) -> Result<Response, Failure> {
        let reply = self.parts.proposer.propose(command).await?;
        match reply {
            JobReply::Submitted(response) => Ok(Response::SubmitJob(response)),
            JobReply::Leased(attempts) => self.leased(&attempts).await,
            JobReply::Ended(verdicts) => {
                Ok(Response::EndAttempts(EndAttemptsResponse { verdicts }))
            }
            JobReply::Renewed { lost } => Ok(Response::RenewLeases(RenewLeasesResponse { lost })),
            JobReply::Cancelled(status) => Ok(Response::JobStatus(status)),
            JobReply::Maintained { .. } => Ok(Response::Done),
            JobReply::Rejected(rejection) => Err(Failure::Rejected(rejection)),
        }
    }

    /// Adds the inputs to leased items. Inputs are never changed, so a view
    /// of the table that has them is as good as any; only one that lags needs
    /// a barrier.
    async fn leased(&self, attempts: &[AttemptRef]) -> Result<Response, Failure> {
        let plans = self
            .parts
            .group
            .with_machine(|machine| machine.plan_lease(attempts));
        let plans = Arc::new(plans);
        if let Some(items) = self.read_leased(&plans).await? {
            return Ok(Response::LeaseItems(LeaseItemsResponse { items }));
        }
        let barrier = self.parts.group.read_barrier().await;
        barrier.map_err(|error| Failure::AfterCommit(error.into()))?;
        let items = self.read_leased(&plans).await?;
        let items = items.ok_or_else(|| Failure::AfterCommit(anyhow!("an input is missing")))?;
        Ok(Response::LeaseItems(LeaseItemsResponse { items }))
    }

    async fn read_leased(
        &self,
        plans: &Arc<Vec<LeasePlan>>,
    ) -> Result<Option<Vec<LeasedItem>>, Failure> {
        let plans = plans.clone();
        let read = self.read_table(move |table| read_leased(&plans, table));
        read.await.map_err(Failure::AfterCommit)
    }

    /// Reads the table on a thread that may wait for the disk.
    async fn read_table<T: Send + 'static>(
        &self,
        read: impl FnOnce(&TableReader) -> anyhow::Result<T> + Send + 'static,
    ) -> anyhow::Result<T> {
        let group = self.parts.group.clone();
        let task = tokio::task::spawn_blocking(move || read(&group.table()?));
        task.await?
    }

    async fn status(&self, ask: &JobStatusRequest) -> Result<Response, Failure> {
        self.parts.group.read_barrier().await?;
        let status: Option<JobStatus> = self
            .parts
            .group
            .with_machine(|machine| machine.status(&ask.tenant, ask.job));
        let status = status.ok_or(Rejection::NotFound(ask.job))?;
        Ok(Response::JobStatus(status))
    }

    async fn list(&self, ask: &ListJobs) -> Result<Response, Failure> {
        self.parts.group.read_barrier().await?;
        let jobs = self.parts.group.with_machine(|machine| machine.list(ask));
        Ok(Response::ListJobs(ListJobsResponse { jobs }))
    }

    async fn output(&self, ask: &JobOutputRequest) -> Result<Response, Failure> {
        self.parts.group.read_barrier().await?;
        let plan = || {
            self.parts
                .group
                .with_machine(|machine| machine.plan_page(ask))
        };
        let planned = plan().ok_or(Rejection::NotFound(ask.job))?;
        let page = self.read_table(move |table| read_page(planned, table));
        let page = page.await?;
        // The table is never ahead of the machine: a job that the machine
        // still has was whole in the table.
        plan().ok_or(Rejection::NotFound(ask.job))?;
        Ok(Response::JobOutput(page))
    }

    fn refusal(&self, step: &str, failure: Failure) -> Refusal {
        let status = self.parts.group.status();
        let peer = format!("group {} at replica {}", status.group, status.replica);
        let mut refusal = Refusal::new(failure.code(), step, peer, &failure);
        let leader = failure.leader();
        refusal.leader = leader.and_then(|leader| self.parts.addresses.address(leader));
        if refusal.code == RefusalCode::Unavailable {
            refusal.retry_after_ms = Some(RETRY_AFTER_MS);
        }
        refusal
    }
}

/// Why a request was not carried out.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("{0}")]
    Rejected(#[from] Rejection),
    #[error("{0}")]
    Propose(#[from] ProposeError),
    #[error("{0}")]
    Read(#[from] ReadError),
    #[error("read: {0:#}")]
    Table(#[from] anyhow::Error),
    /// The command is committed, but its answer could not be put together:
    /// the same question again gets it.
    #[error("committed, but: {0:#}")]
    AfterCommit(anyhow::Error),
    #[error("not a request about jobs")]
    NotAJobRequest,
}

impl Failure {
    fn code(&self) -> RefusalCode {
        match self {
            Self::Rejected(Rejection::Invalid(_)) | Self::NotAJobRequest => RefusalCode::Invalid,
            Self::Rejected(Rejection::NotFound(_)) => RefusalCode::NotFound,
            Self::Rejected(Rejection::Conflict(_)) => RefusalCode::Conflict,
            Self::Rejected(Rejection::OverLimit { .. }) => RefusalCode::OverLimit,
            Self::Propose(ProposeError::NotLeader { .. }) => RefusalCode::NotLeader,
            Self::Propose(ProposeError::Unknown) | Self::AfterCommit(_) => {
                RefusalCode::OutcomeUnknown
            }
            Self::Propose(ProposeError::Busy | ProposeError::Stopped)
            | Self::Read(_)
            | Self::Table(_) => RefusalCode::Unavailable,
        }
    }

    fn leader(&self) -> Option<ReplicaId> {
        match self {
            Self::Propose(ProposeError::NotLeader { leader }) => *leader,
            Self::Read(ReadError::NoLeader { leader }) => *leader,
            _ => None,
        }
    }
}

fn step_of(request: &Request) -> &'static str {
    match request {
        Request::SubmitJob(_) => "submit job",
        Request::LeaseItems(_) => "lease items",
        Request::EndAttempts(_) => "end attempts",
        Request::RenewLeases(_) => "renew leases",
        Request::CancelJob(_) => "cancel job",
        Request::JobStatus(_) => "read job status",
        Request::JobOutput(_) => "read job output",
        Request::ListJobs(_) => "list jobs",
        _ => "find the service for a request",
    }
}
