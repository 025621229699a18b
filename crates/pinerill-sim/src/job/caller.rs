//! A caller: submits jobs part by part, sends them again, cancels and reads.

use std::collections::BTreeMap;

use pinerill_control::host::ProposeError;
use pinerill_control::job::{JobCommand, JobReply, Rejection};
use pinerill_types::job::{ItemInput, JobState};
use pinerill_types::{Digest, JobId, ServiceName, TenantName};
use pinerill_wire::message::{CancelJob, SubmitJob};

use super::facts::Floor;
use super::node::only_reply;
use super::service::{JobGroup, JobQuery, JobView, GROUP};
use super::world::{World, START_MS};
use crate::cluster::{CallAnswer, CallId, CallKind, CallResult, ClientId, Cluster, Timer};
use crate::defect::{has_shell_defect, ShellDefect};

/// How long a caller waits for one answer, milliseconds.
const CALL_TIMEOUT_MS: u64 = 700;
/// Pause before an operation is tried elsewhere, milliseconds.
const RETRY_PAUSE_MS: u64 = 60;
/// Pause between two looks at jobs once no new ones are submitted,
/// milliseconds.
const LOOK_PAUSE_MS: u64 = 20;
/// Calls after which an operation is given up.
const MAX_ATTEMPTS: u32 = 12;
/// How many jobs are the latest.
const RECENT_JOBS: usize = 3;
/// Items of the largest job.
const MAX_ITEMS: u64 = 12;
/// Items of the largest part.
const MAX_PART: u64 = 5;
/// Attempts of an item of unknown end before it fails.
const ATTEMPTS_LIMIT: u32 = 4;
const DEADLINE_MS: u64 = 3_600_000;
const RETENTION_MS: u64 = 3_600_000;

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

/// A job as its caller knows it.
struct OwnJob {
    whole: SubmitJob,
    /// Its identifier, once an answer named it.
    id: Option<JobId>,
    /// Its acceptance was acknowledged.
    accepted: bool,
    /// All its results were read at the end.
    done: bool,
}

#[derive(Clone, Copy, Debug)]
enum Work {
    /// Sends the job from this item on.
    Submit {
        from: u32,
    },
    /// Sends the job's key with another body.
    Clash,
    Cancel,
    Status,
    Output,
}

struct Running {
    work: Work,
    /// Place of the job among the caller's own.
    job: usize,
    floor: Floor,
    call: Option<CallId>,
    attempts: u32,
    unsure: bool,
}

/// One caller, a tenant of its own.
pub(super) struct Caller {
    client: ClientId,
    style: CallerStyle,
    tenant: TenantName,
    service: ServiceName,
    jobs: Vec<OwnJob>,
    running: Option<Running>,
    machine: usize,
    stopping: bool,
    pub(super) begun: u64,
    pub(super) unknown: u64,
}

impl Caller {
    pub(super) fn new(client: ClientId, service: ServiceName, style: CallerStyle) -> Self {
        Caller {
            client,
            style,
            tenant: TenantName(format!("tenant-{}", client.0)),
            service,
            jobs: Vec::new(),
            running: None,
            machine: 0,
            stopping: false,
            begun: 0,
            unknown: 0,
        }
    }

    /// No new jobs: sends again what is unsure, and reads every job to its
    /// end.
    pub(super) fn stop(&mut self) {
        self.stopping = true;
    }

    pub(super) fn rests(&self) -> bool {
        self.stopping && self.running.is_none() && self.jobs.iter().all(|job| job.done)
    }

    pub(super) fn woken(&mut self, cluster: &mut Cluster<JobGroup>, world: &mut World) {
        match &self.running {
            Some(running) if running.call.is_some() => {}
            Some(_) => self.attempt(cluster, world),
            None => {
                if let Some((work, job)) = self.choose(cluster) {
                    self.begin(cluster, world, work, job);
                    self.attempt(cluster, world);
                }
            }
        }
    }

    fn choose(&mut self, cluster: &mut Cluster<JobGroup>) -> Option<(Work, usize)> {
        if self.stopping {
            let next = self.jobs.iter().position(|job| !job.done)?;
            let accepted = self.jobs[next].accepted;
            let work = if accepted {
                Work::Status
            } else {
                Work::Submit { from: 0 }
            };
            return Some((work, next));
        }
        let style = self.style;
        let rng = cluster.rng();
        if self.jobs.is_empty() || rng.chance(style.new_share) {
            self.add_job(cluster);
            return Some((Work::Submit { from: 0 }, self.jobs.len() - 1));
        }
        let count = self.jobs.len();
        let job = if rng.chance(style.recent_share) {
            count - 1 - rng.below(count.min(RECENT_JOBS))
        } else {
            rng.below(count)
        };
        let known = self.jobs[job].id.is_some();
        let work = if !known || rng.chance(style.resend_share) {
            Work::Submit { from: 0 }
        } else if rng.chance(style.cancel_share) {
            Work::Cancel
        } else {
            match rng.below(9) {
                0 => Work::Clash,
                1..=4 => Work::Status,
                _ => Work::Output,
            }
        };
        Some((work, job))
    }

    fn add_job(&mut self, cluster: &mut Cluster<JobGroup>) {
        let number = self.jobs.len();
        let now_ms = START_MS + cluster.now_ms();
        let rng = cluster.rng();
        let total = rng.between(1, MAX_ITEMS);
        let items = (0..total).map(|index| ItemInput {
            custom_id: format!("{}-{number}-{index}", self.tenant),
            url: "/v1/completions".to_owned(),
            body: "{}".to_owned(),
            at_most_once: rng.chance(self.style.once_share),
        });
        let key = format!("key-{number}");
        let whole = SubmitJob {
            group: GROUP,
            tenant: self.tenant.clone(),
            service: self.service.clone(),
            body_digest: Digest::of(key.as_bytes()),
            idempotency_key: key,
            total_items: total as u32,
            deadline_ms: now_ms + DEADLINE_MS,
            first_index: 0,
            items: items.collect(),
            open_items_limit: u32::MAX,
            attempts_limit: ATTEMPTS_LIMIT,
            retention_ms: RETENTION_MS,
        };
        self.jobs.push(OwnJob {
            whole,
            id: None,
            accepted: false,
            done: false,
        });
    }

    fn begin(&mut self, cluster: &mut Cluster<JobGroup>, world: &World, work: Work, job: usize) {
        self.begun += 1;
        let own = &self.jobs[job];
        let floor = own.id.map(|id| world.facts.floor(id)).unwrap_or_default();
        let (client, id) = (self.client.0, own.id);
        cluster.note(|| format!("caller {client} begins {work:?} of {job}, {id:?}"));
        self.running = Some(Running {
            work,
            job,
            floor,
            call: None,
            attempts: 0,
            unsure: false,
        });
    }

    fn attempt(&mut self, cluster: &mut Cluster<JobGroup>, world: &mut World) {
        let Some(running) = &mut self.running else {
            return;
        };
        running.attempts += 1;
        if running.attempts > MAX_ATTEMPTS && !self.stopping {
            self.unknown += u64::from(running.unsure);
            self.running = None;
            self.pause(cluster);
            return;
        }
        let own = &self.jobs[running.job];
        let id = own.id.unwrap_or(JobId {
            group: GROUP,
            sequence: 0,
        });
        let now_ms = cluster.now_ms();
        let tenant = self.tenant.clone();
        let kind = match running.work {
            Work::Submit { from } => {
                let count = cluster.rng().between(1, MAX_PART) as usize;
                let part = part(&own.whole, from, count);
                world.propose(now_ms, self.machine, JobCommand::Submit(part))
            }
            Work::Clash => {
                let mut other = own.whole.clone();
                other.body_digest = Digest::of(b"another body");
                world.propose(now_ms, self.machine, JobCommand::Submit(other))
            }
            Work::Cancel => {
                let cancel = CancelJob { tenant, job: id };
                world.propose(now_ms, self.machine, JobCommand::Cancel(cancel))
            }
            Work::Status => CallKind::Read(JobQuery::Status(tenant, id)),
            Work::Output => CallKind::Read(JobQuery::Output(tenant, id)),
        };
        let timeout_ms = if self.style.impatient && !self.stopping {
            cluster.rng().between(4, CALL_TIMEOUT_MS / 10)
        } else {
            CALL_TIMEOUT_MS
        };
        running.call = Some(cluster.call(self.client, self.machine, kind, timeout_ms));
    }

    pub(super) fn answered(
        &mut self,
        cluster: &mut Cluster<JobGroup>,
        world: &mut World,
        answer: CallAnswer<JobGroup>,
    ) {
        let Some(running) = &mut self.running else {
            return;
        };
        if running.call != Some(answer.call) {
            return;
        }
        running.call = None;
        match answer.result {
            CallResult::Proposed(Ok(reply)) => match only_reply(&reply) {
                Some(reply) => self.replied(cluster, world, reply),
                None => cluster.violate("replies fit", format!("{reply:?}")),
            },
            CallResult::Read(Ok(view)) => self.read(cluster, world, view),
            CallResult::Proposed(Err(ProposeError::NotLeader { leader })) => {
                let place = leader.and_then(|leader| cluster.place_of(leader));
                self.retry(cluster, place);
            }
            CallResult::Proposed(Err(ProposeError::Unknown)) | CallResult::TimedOut => {
                running.unsure = true;
                let early = ShellDefect::CancelBeforeCommit;
                if matches!(running.work, Work::Cancel) && has_shell_defect(cluster.defect(), early)
                {
                    let job = running.job;
                    self.was_cancelled(cluster, world, job);
                    return self.end(cluster);
                }
                self.retry(cluster, None);
            }
            _ => self.retry(cluster, None),
        }
    }

    /// Tries again at the given machine, or at any.
    fn retry(&mut self, cluster: &mut Cluster<JobGroup>, place: Option<usize>) {
        let count = cluster.machine_count();
        self.machine = place.unwrap_or_else(|| cluster.rng().below(count));
        cluster.wake(self.client, RETRY_PAUSE_MS, Timer::Next);
    }

    fn replied(&mut self, cluster: &mut Cluster<JobGroup>, world: &mut World, reply: JobReply) {
        let Some(running) = &mut self.running else {
            return;
        };
        let own = &mut self.jobs[running.job];
        let client = self.client.0;
        cluster.note(|| format!("caller {client} hears {reply:?}"));
        match reply {
            JobReply::Submitted(response) => {
                let id = *own.id.get_or_insert(response.job);
                if id != response.job {
                    let detail = format!("{id} and then {} for one key", response.job);
                    cluster.violate("a job sent again is the same job", detail);
                }
                let early = has_shell_defect(cluster.defect(), ShellDefect::AcceptEarly);
                if response.state == JobState::Receiving && !early {
                    running.work = Work::Submit {
                        from: response.received,
                    };
                    running.attempts = 0;
                    return self.attempt(cluster, world);
                }
                own.accepted = true;
                world.facts.accepted(id);
            }
            JobReply::Cancelled(status) => {
                if status.state == JobState::Cancelled {
                    let job = running.job;
                    self.was_cancelled(cluster, world, job);
                }
            }
            JobReply::Rejected(Rejection::Conflict(_)) => {
                if !matches!(running.work, Work::Clash) {
                    let detail = format!("{:?} of {:?}", running.work, own.id);
                    cluster.violate("the same body is no conflict", detail);
                }
            }
            other => cluster.violate("replies fit", format!("{other:?}")),
        }
        self.end(cluster);
    }

    fn was_cancelled(&mut self, cluster: &mut Cluster<JobGroup>, world: &mut World, job: usize) {
        if let Some(id) = self.jobs[job].id {
            world.facts.cancelled(cluster.now_ms(), id);
        }
    }

    fn read(&mut self, cluster: &mut Cluster<JobGroup>, world: &mut World, view: JobView) {
        let Some(running) = &self.running else {
            return;
        };
        let (place, floor) = (running.job, running.floor);
        let own = &mut self.jobs[place];
        let Some(id) = own.id else {
            return;
        };
        let now_ms = cluster.now_ms();
        match view {
            JobView::Status(status) => {
                world.facts.status_read(now_ms, id, floor, status.as_ref());
                let ended = |state| matches!(state, JobState::Completed | JobState::Cancelled);
                let has_ended = status.is_some_and(|status| ended(status.state));
                if self.stopping && has_ended {
                    self.running = None;
                    self.begin(cluster, world, Work::Output, place);
                    return self.attempt(cluster, world);
                }
            }
            JobView::Output(Some(results)) => {
                world.facts.output_read(now_ms, id, floor, &results);
                own.done = self.stopping && results.len() == own.whole.items.len();
            }
            JobView::Output(None) => world.facts.status_read(now_ms, id, floor, None),
            other => cluster.violate("replies fit", format!("{other:?}")),
        }
        self.end(cluster);
    }

    fn end(&mut self, cluster: &mut Cluster<JobGroup>) {
        self.running = None;
        self.pause(cluster);
    }

    fn pause(&self, cluster: &mut Cluster<JobGroup>) {
        let style = self.style;
        let pause_ms = if self.stopping {
            LOOK_PAUSE_MS
        } else {
            cluster
                .rng()
                .between(style.min_pause_ms, style.max_pause_ms)
        };
        cluster.wake(self.client, pause_ms, Timer::Next);
    }

    /// Every job with its number of items, by identifier.
    pub(super) fn own_jobs(&self) -> BTreeMap<JobId, &SubmitJob> {
        let jobs = self.jobs.iter();
        jobs.filter_map(|job| Some((job.id?, &job.whole))).collect()
    }
}

/// At most `count` items of a job from `from` on.
fn part(whole: &SubmitJob, from: u32, count: usize) -> SubmitJob {
    let items = whole.items.iter().skip(from as usize).take(count);
    SubmitJob {
        first_index: from,
        items: items.cloned().collect(),
        ..whole.clone()
    }
}
