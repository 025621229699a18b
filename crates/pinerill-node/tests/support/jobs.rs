//! In-memory model of the job groups.

use std::collections::BTreeMap;

use pinerill_types::job::{
    AttemptEnd, ItemCounts, ItemInput, ItemState, JobState, JobStatus, LeasedItem,
};
use pinerill_types::{Digest, JobId, NodeName, ServiceName};
use pinerill_wire::message::{
    AttemptRef, AttemptReport, AttemptVerdict, EndAttemptsResponse, ItemResult, JobOutputResponse,
    LeaseItems, LeaseItemsResponse, ListJobsResponse, Refusal, RefusalCode, RenewLeasesResponse,
    Request, Response, ServiceBacklog, SubmitJob, SubmitJobResponse,
};

/// Maximum number of items per page, small enough that a job has several pages.
const PAGE_LIMIT: usize = 3;

#[derive(Debug)]
pub struct Item {
    pub input: ItemInput,
    pub state: ItemState,
    pub attempt: u32,
    /// Expiry of the lease, on the clock [`FakeJobs::now_ms`].
    pub lease_end_ms: u64,
    /// The answer, or the reason of the failure.
    pub body: String,
    /// Every reported end of an attempt, whether accepted or not.
    pub reports: Vec<AttemptEnd>,
}

#[derive(Debug)]
pub struct Job {
    pub status: JobStatus,
    pub key: String,
    pub digest: Digest,
    pub items: Vec<Item>,
}

/// Jobs of all groups.
#[derive(Debug, Default)]
pub struct FakeJobs {
    pub jobs: BTreeMap<JobId, Job>,
    /// Clock of the groups, in milliseconds.
    pub now_ms: u64,
    /// Answers to lease requests by group, node, incarnation and sequence number.
    leased: BTreeMap<(u32, NodeName, u64, u64), Vec<LeasedItem>>,
}

impl FakeJobs {
    pub fn call(&mut self, group: u32, request: Request) -> Response {
        if let Some(refusal) = self.foreign(&request) {
            return refusal;
        }
        match request {
            Request::SubmitJob(part) => self.submit(group, part),
            Request::JobStatus(ask) => self.status(ask.job),
            Request::CancelJob(ask) => self.cancel(ask.job),
            Request::JobOutput(ask) => self.output(ask.job, ask.first_index as usize),
            Request::ListJobs(ask) => {
                let jobs = self.jobs.values().map(|job| &job.status);
                let own = jobs.filter(|job| job.id.group == group && job.tenant == ask.tenant);
                Response::ListJobs(ListJobsResponse {
                    jobs: own.cloned().collect(),
                })
            }
            Request::LeaseItems(ask) => self.lease(group, &ask),
            Request::EndAttempts(ask) => {
                let verdicts = ask.reports.into_iter().map(|one| self.end(one)).collect();
                Response::EndAttempts(EndAttemptsResponse { verdicts })
            }
            Request::RenewLeases(ask) => {
                let attempts = ask.attempts.into_iter();
                let end = self.now_ms + ask.lease_ms;
                let lost = attempts.filter(|one| !self.renew(*one, end)).collect();
                Response::RenewLeases(RenewLeasesResponse { lost })
            }
            other => panic!("not for a job group: {other:?}"),
        }
    }

    /// Returns a refusal if the call concerns a job of another tenant.
    fn foreign(&self, request: &Request) -> Option<Response> {
        let (id, tenant) = match request {
            Request::JobStatus(ask) => (ask.job, &ask.tenant),
            Request::JobOutput(ask) => (ask.job, &ask.tenant),
            Request::CancelJob(ask) => (ask.job, &ask.tenant),
            _ => return None,
        };
        let job = self.jobs.get(&id)?;
        (job.status.tenant != *tenant).then(|| refused(RefusalCode::NotFound))
    }

    pub fn backlog(&self, group: u32) -> Vec<ServiceBacklog> {
        let mut pending: BTreeMap<ServiceName, u64> = BTreeMap::new();
        let jobs = self
            .jobs
            .values()
            .filter(|job| job.status.id.group == group);
        for job in jobs.filter(|job| job.status.state == JobState::InProgress) {
            let waiting = job
                .items
                .iter()
                .filter(|item| item.state == ItemState::Pending);
            *pending.entry(job.status.service.clone()).or_default() += waiting.count() as u64;
        }
        let services = pending.into_iter();
        services
            .map(|(service, pending)| ServiceBacklog { service, pending })
            .collect()
    }

    fn submit(&mut self, group: u32, part: SubmitJob) -> Response {
        let known = self
            .jobs
            .values_mut()
            .find(|job| job.key == part.idempotency_key && job.status.tenant == part.tenant);
        if known
            .as_ref()
            .is_some_and(|job| job.digest != part.body_digest)
        {
            return refused(RefusalCode::Conflict);
        }
        let job = match known {
            Some(job) => job,
            None => self.add(group, &part),
        };
        for (at, input) in part.items.into_iter().enumerate() {
            if part.first_index as usize + at == job.items.len() {
                job.items.push(Item {
                    input,
                    state: ItemState::Pending,
                    attempt: 0,
                    lease_end_ms: 0,
                    body: String::new(),
                    reports: Vec::new(),
                });
            }
        }
        let whole = job.items.len() == part.total_items as usize;
        if whole && job.status.state == JobState::Receiving {
            job.status.state = JobState::InProgress;
        }
        Response::SubmitJob(SubmitJobResponse {
            job: job.status.id,
            received: job.items.len() as u32,
            state: job.status.state,
        })
    }

    fn add(&mut self, group: u32, part: &SubmitJob) -> &mut Job {
        let sequence = self.jobs.len() as u64 + 1;
        let id = JobId { group, sequence };
        let status = JobStatus {
            id,
            tenant: part.tenant.clone(),
            service: part.service.clone(),
            state: JobState::Receiving,
            counts: ItemCounts::default(),
            created_ms: sequence,
            deadline_ms: part.deadline_ms,
            expires_ms: 0,
        };
        self.jobs.entry(id).or_insert(Job {
            status,
            key: part.idempotency_key.clone(),
            digest: part.body_digest,
            items: Vec::new(),
        })
    }

    fn status(&mut self, id: JobId) -> Response {
        let Some(job) = self.jobs.get_mut(&id) else {
            return refused(RefusalCode::NotFound);
        };
        job.status.counts = counts(&job.items);
        Response::JobStatus(job.status.clone())
    }

    fn cancel(&mut self, id: JobId) -> Response {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.status.state = JobState::Cancelled;
            for item in job.items.iter_mut().filter(|item| !item.state.is_final()) {
                item.state = ItemState::Cancelled;
            }
        }
        self.status(id)
    }

    fn output(&self, id: JobId, first: usize) -> Response {
        let Some(job) = self.jobs.get(&id) else {
            return refused(RefusalCode::NotFound);
        };
        let page = job.items.iter().enumerate().skip(first).take(PAGE_LIMIT);
        let ended = page.filter(|(_, item)| item.state.is_final());
        let results = ended.map(|(index, item)| ItemResult {
            index: index as u32,
            custom_id: item.input.custom_id.clone(),
            state: item.state,
            body: item.body.clone(),
        });
        Response::JobOutput(JobOutputResponse {
            results: results.collect(),
            next_index: (first + PAGE_LIMIT).min(job.items.len()) as u32,
        })
    }

    fn lease(&mut self, group: u32, ask: &LeaseItems) -> Response {
        let question = (group, ask.node.clone(), ask.incarnation, ask.sequence);
        if let Some(items) = self.leased.get(&question) {
            let items = items.clone();
            return Response::LeaseItems(LeaseItemsResponse { items });
        }
        let mut items = Vec::new();
        let end_ms = self.now_ms + ask.lease_ms;
        for want in &ask.wants {
            let before = items.len();
            let jobs = self.jobs.values_mut().filter(|job| {
                job.status.id.group == group
                    && job.status.service == want.service
                    && job.status.state == JobState::InProgress
            });
            for job in jobs {
                lease_of_job(job, end_ms, before + want.limit as usize, &mut items);
            }
        }
        self.leased.insert(question, items.clone());
        Response::LeaseItems(LeaseItemsResponse { items })
    }

    fn holds(&self, attempt: AttemptRef) -> bool {
        self.item(attempt)
            .is_some_and(|item| item.state == ItemState::Leased && item.attempt == attempt.attempt)
    }

    fn renew(&mut self, attempt: AttemptRef, end_ms: u64) -> bool {
        let holds = self.holds(attempt);
        let job = self.jobs.get_mut(&attempt.job);
        let item = job.and_then(|job| job.items.get_mut(attempt.index as usize));
        if let Some(item) = item.filter(|_| holds) {
            item.lease_end_ms = end_ms;
        }
        holds
    }

    /// Ends the leases that have expired.
    pub fn expire(&mut self) {
        let now_ms = self.now_ms;
        let items = self.jobs.values_mut().flat_map(|job| &mut job.items);
        let held = items.filter(|item| item.state == ItemState::Leased);
        for item in held.filter(|item| item.lease_end_ms <= now_ms) {
            item.state = match item.input.at_most_once {
                true => ItemState::Indeterminate,
                false => ItemState::Pending,
            };
        }
    }

    pub fn item(&self, attempt: AttemptRef) -> Option<&Item> {
        self.jobs
            .get(&attempt.job)?
            .items
            .get(attempt.index as usize)
    }

    fn end(&mut self, report: AttemptReport) -> AttemptVerdict {
        let counts = self.holds(report.attempt);
        let job = self.jobs.get_mut(&report.attempt.job);
        let Some(item) = job.and_then(|job| job.items.get_mut(report.attempt.index as usize))
        else {
            return AttemptVerdict::Unknown;
        };
        item.reports.push(report.end.clone());
        if !counts {
            return AttemptVerdict::Late;
        }
        (item.state, item.body) = match report.end {
            AttemptEnd::Completed(body) => (ItemState::Completed, body),
            AttemptEnd::Failed(body) => (ItemState::Failed, body),
            AttemptEnd::Released => (ItemState::Pending, String::new()),
            AttemptEnd::Indeterminate(body) if item.input.at_most_once => {
                (ItemState::Indeterminate, body)
            }
            AttemptEnd::Indeterminate(_) => (ItemState::Pending, String::new()),
        };
        AttemptVerdict::Counted
    }

    /// Returns the number of items in this state across all jobs.
    pub fn count(&self, state: ItemState) -> usize {
        let items = self.jobs.values().flat_map(|job| &job.items);
        items.filter(|item| item.state == state).count()
    }
}

fn lease_of_job(job: &mut Job, end_ms: u64, limit: usize, leased: &mut Vec<LeasedItem>) {
    let status = &job.status;
    for (index, item) in job.items.iter_mut().enumerate() {
        if item.state != ItemState::Pending || leased.len() >= limit {
            continue;
        }
        item.state = ItemState::Leased;
        item.attempt += 1;
        item.lease_end_ms = end_ms;
        leased.push(LeasedItem {
            job: status.id,
            index: index as u32,
            attempt: item.attempt,
            tenant: status.tenant.clone(),
            service: status.service.clone(),
            deadline_ms: status.deadline_ms,
            input: item.input.clone(),
        });
    }
}

fn counts(items: &[Item]) -> ItemCounts {
    let count = |state| items.iter().filter(|item| item.state == state).count() as u32;
    ItemCounts {
        total: items.len() as u32,
        pending: count(ItemState::Pending),
        leased: count(ItemState::Leased),
        completed: count(ItemState::Completed),
        failed: count(ItemState::Failed),
        cancelled: count(ItemState::Cancelled),
        indeterminate: count(ItemState::Indeterminate),
    }
}

fn refused(code: RefusalCode) -> Response {
    Response::Refused(Refusal::new(code, "test", "control-1", "refused"))
}
