//! A caller: submits jobs part by part, sends them again, cancels and reads.

mod answers;
mod own_job;
mod style;

pub use style::CallerStyle;

use std::collections::BTreeMap;

use own_job::{new_job, part, OwnJob};
use pinerill_control::job::JobCommand;
use pinerill_types::{Digest, JobId, ServiceName, TenantName};
use pinerill_wire::message::{CancelJob, SubmitJob};

use super::facts::Floor;
use super::service::{JobGroup, JobQuery, GROUP};
use super::world::{World, START_MS};
use crate::cluster::{CallKind, ClientId, ClientStub, Cluster, Timer};

/// Pause between two looks at jobs once no new ones are submitted,
/// milliseconds.
const LOOK_PAUSE_MS: u64 = 20;
/// How many jobs are the latest.
const RECENT_JOBS: usize = 3;
/// Items of the largest part.
const MAX_PART: u64 = 5;

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
    attempts: u32,
    unsure: bool,
}

/// One caller, a tenant of its own.
pub(super) struct Caller {
    stub: ClientStub,
    style: CallerStyle,
    tenant: TenantName,
    service: ServiceName,
    jobs: Vec<OwnJob>,
    running: Option<Running>,
    stopping: bool,
    pub(super) begun: u64,
    pub(super) unknown: u64,
}

impl Caller {
    pub(super) fn new(client: ClientId, service: ServiceName, style: CallerStyle) -> Self {
        Caller {
            stub: ClientStub::new(client),
            style,
            tenant: TenantName(format!("tenant-{}", client.0)),
            service,
            jobs: Vec::new(),
            running: None,
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
        if self.stub.is_waiting() {
            return;
        }
        if self.running.is_none() {
            let Some((work, job)) = self.choose(cluster) else {
                return;
            };
            self.begin(cluster, world, work, job);
        }
        self.attempt(cluster, world);
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
        let whole = new_job(
            cluster.rng(),
            now_ms,
            number,
            (&self.tenant, &self.service),
            self.style.once_share,
        );
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
        let (client, id) = (self.stub.client().0, own.id);
        cluster.note(|| format!("caller {client} begins {work:?} of {job}, {id:?}"));
        self.running = Some(Running {
            work,
            job,
            floor,
            attempts: 0,
            unsure: false,
        });
    }

    fn attempt(&mut self, cluster: &mut Cluster<JobGroup>, world: &mut World) {
        let Some(running) = &mut self.running else {
            return;
        };
        running.attempts += 1;
        if running.attempts > ClientStub::MAX_ATTEMPTS && !self.stopping {
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
        let machine = self.stub.machine();
        let kind = match running.work {
            Work::Submit { from } => {
                let count = cluster.rng().between(1, MAX_PART) as usize;
                let part = part(&own.whole, from, count);
                world.propose(now_ms, machine, JobCommand::Submit(part))
            }
            Work::Clash => {
                let mut other = own.whole.clone();
                other.body_digest = Digest::of(b"another body");
                world.propose(now_ms, machine, JobCommand::Submit(other))
            }
            Work::Cancel => {
                let cancel = CancelJob { tenant, job: id };
                world.propose(now_ms, machine, JobCommand::Cancel(cancel))
            }
            Work::Status => CallKind::Read(JobQuery::Status(tenant, id)),
            Work::Output => CallKind::Read(JobQuery::Output(tenant, id)),
        };
        let impatient = self.style.impatient && !self.stopping;
        self.stub.call(cluster, kind, impatient);
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
        cluster.wake(self.stub.client(), pause_ms, Timer::Next);
    }

    /// Every job with its number of items, by identifier.
    pub(super) fn own_jobs(&self) -> BTreeMap<JobId, &SubmitJob> {
        let jobs = self.jobs.iter();
        jobs.filter_map(|job| Some((job.id?, &job.whole))).collect()
    }
}
