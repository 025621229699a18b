//! What the group's log says of jobs: each command with its reply is held
//! against the rules, item by item, in the order of the log.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use pinerill_control::job::{JobCommand, JobEntry, JobReply, LEASE_STEP_LIMIT_MS};
use pinerill_types::job::{AttemptEnd, JobState};
use pinerill_types::{Digest, JobId, NodeName, TenantName};
use pinerill_wire::message::{
    AttemptRef, AttemptReport, AttemptVerdict, CancelJob, LeaseItems, RenewLeases, SubmitJob,
    SubmitJobResponse,
};

const ONE_JOB: &str = "one job for one key and body";
const LEASED_IN_TURN: &str = "an item is leased to one node at a time";
const AT_MOST_ONCE_LEASED: &str = "an item not to be repeated is leased once";
const SAME_ANSWER: &str = "a question sent again gets the same items";
const CANCEL_STOPS: &str = "nothing of a cancelled job is leased or ends";
const FIRST_END: &str = "the first end of the newest attempt counts, and no other";
const LEASE_HOLDS: &str = "a lease in force holds";

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// The rule.
    pub rule: &'static str,
    /// What was seen.
    pub detail: String,
}

/// The log's jobs.
#[derive(Clone, Debug, Default)]
pub struct JobTruth {
    now_ms: u64,
    lease_clock_ms: u64,
    keys: BTreeMap<(TenantName, String), JobId>,
    jobs: BTreeMap<JobId, Job>,
    askers: BTreeMap<NodeName, Asker>,
    broken: Vec<Broken>,
}

#[derive(Clone, Debug)]
struct Job {
    digest: Digest,
    cancelled: bool,
    items: Vec<Item>,
}

#[derive(Clone, Debug)]
struct Item {
    once: bool,
    /// Newest attempt; 0 before the first.
    attempt: u32,
    holder: Option<(NodeName, u64)>,
    /// On the clock of leases; 0 when the lease is over.
    lease_end_ms: u64,
    /// The newest attempt was given back.
    released: bool,
    /// The end that counted last, a release among them.
    end: Option<AttemptEnd>,
}

/// A node as the group knows it.
#[derive(Clone, Debug, Default)]
struct Asker {
    incarnation: u64,
    retired: BTreeSet<u64>,
    sequence: u64,
    answer: Vec<AttemptRef>,
}

/// What a question is, by its numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QuestionKind {
    New,
    Again,
    Overtaken,
}

impl Asker {
    fn ask(&mut self, ask: &LeaseItems) -> QuestionKind {
        if self.retired.contains(&ask.incarnation) {
            return QuestionKind::Overtaken;
        }
        if self.incarnation != ask.incarnation {
            self.retired.insert(self.incarnation);
            self.incarnation = ask.incarnation;
            self.sequence = 0;
        }
        match ask.sequence.cmp(&self.sequence) {
            Ordering::Less => QuestionKind::Overtaken,
            Ordering::Equal => QuestionKind::Again,
            Ordering::Greater => {
                self.sequence = ask.sequence;
                QuestionKind::New
            }
        }
    }
}

impl Item {
    fn has_ended(&self) -> bool {
        match &self.end {
            Some(AttemptEnd::Completed(_) | AttemptEnd::Failed(_)) => true,
            Some(AttemptEnd::Indeterminate(_)) => self.once,
            Some(AttemptEnd::Released) | None => false,
        }
    }
}

impl JobTruth {
    /// Takes in an entry with its replies.
    pub fn apply(&mut self, entry: &JobEntry, replies: &[JobReply]) {
        let elapsed = entry.now_ms.saturating_sub(self.now_ms);
        self.now_ms += elapsed;
        self.lease_clock_ms += elapsed.min(LEASE_STEP_LIMIT_MS);
        for (command, reply) in entry.commands.iter().zip(replies) {
            self.apply_command(command, reply);
        }
    }

    fn apply_command(&mut self, command: &JobCommand, reply: &JobReply) {
        match (command, reply) {
            (JobCommand::Submit(part), JobReply::Submitted(response)) => {
                self.submitted(part, *response);
            }
            (JobCommand::Lease(ask), JobReply::Leased(answer)) => self.leased(ask, answer),
            (JobCommand::End(ends), JobReply::Ended(verdicts)) => {
                for (report, verdict) in ends.reports.iter().zip(verdicts) {
                    self.reported(report, *verdict);
                }
            }
            (JobCommand::Renew(renewal), JobReply::Renewed { lost }) => self.renewed(renewal, lost),
            (JobCommand::Cancel(CancelJob { job, .. }), JobReply::Cancelled(status)) => {
                if let Some(job) = self.jobs.get_mut(job) {
                    job.cancelled |= status.state == JobState::Cancelled;
                }
            }
            _ => {}
        }
    }

    fn submitted(&mut self, part: &SubmitJob, response: SubmitJobResponse) {
        let key = (part.tenant.clone(), part.idempotency_key.clone());
        let known = *self.keys.entry(key).or_insert(response.job);
        if known != response.job {
            let detail = format!("{known} and {} have one key", response.job);
            self.violate(ONE_JOB, detail);
        }
        let job = self.jobs.entry(response.job).or_insert_with(|| Job {
            digest: part.body_digest,
            cancelled: false,
            items: Vec::new(),
        });
        let same_body = job.digest == part.body_digest;
        let skip = job.items.len().saturating_sub(part.first_index as usize);
        let items = part.items.iter().skip(skip);
        let free = (response.received as usize).saturating_sub(job.items.len());
        job.items.extend(items.take(free).map(|item| Item {
            once: item.at_most_once,
            attempt: 0,
            holder: None,
            lease_end_ms: 0,
            released: false,
            end: None,
        }));
        if !same_body {
            self.violate(ONE_JOB, format!("{} took another body", response.job));
        }
    }

    fn leased(&mut self, ask: &LeaseItems, answer: &[AttemptRef]) {
        let asker = self.askers.entry(ask.node.clone()).or_default();
        let kind = asker.ask(ask);
        let first = asker.answer.clone();
        if kind == QuestionKind::New {
            asker.answer = answer.to_vec();
        }
        let fits = match kind {
            QuestionKind::New => true,
            QuestionKind::Again => answer.iter().all(|one| first.contains(one)),
            QuestionKind::Overtaken => answer.is_empty(),
        };
        if !fits {
            let detail = format!("{ask:?}, {kind:?}, got {answer:?}, first {first:?}");
            self.violate(SAME_ANSWER, detail);
        }
        if kind == QuestionKind::New {
            self.lapse_former(&ask.node, ask.incarnation);
            for attempt in answer {
                self.leased_anew(ask, *attempt);
            }
        }
        let end_ms = self.lease_clock_ms + ask.lease_ms;
        for attempt in answer {
            self.check_not_cancelled(*attempt, "is leased");
            if let Some(item) = self.item(*attempt) {
                item.lease_end_ms = end_ms;
            }
        }
    }

    /// Leases of a node's former starts are over.
    fn lapse_former(&mut self, node: &NodeName, incarnation: u64) {
        let items = self.jobs.values_mut().flat_map(|job| &mut job.items);
        for item in items {
            let holder = item.holder.as_ref();
            if holder.is_some_and(|(name, start)| name == node && *start != incarnation) {
                item.lease_end_ms = 0;
            }
        }
    }

    fn leased_anew(&mut self, ask: &LeaseItems, attempt: AttemptRef) {
        let clock_ms = self.lease_clock_ms;
        let Some(item) = self.item(attempt) else {
            self.violate(LEASED_IN_TURN, format!("{attempt:?} of an unknown item"));
            return;
        };
        let gave_up = matches!(item.end, Some(AttemptEnd::Indeterminate(_)));
        let over = item.attempt == 0 || item.released || gave_up || item.lease_end_ms <= clock_ms;
        let in_turn = attempt.attempt == item.attempt + 1 && over && !item.has_ended();
        let repeated = item.once && item.attempt > 0 && !item.released;
        let before = format!("{item:?}");
        item.attempt = attempt.attempt;
        item.holder = Some((ask.node.clone(), ask.incarnation));
        item.released = false;
        item.end = None;
        if !in_turn {
            self.violate(LEASED_IN_TURN, format!("{attempt:?} after {before}"));
        }
        if repeated {
            self.violate(AT_MOST_ONCE_LEASED, format!("{attempt:?} after {before}"));
        }
    }

    fn reported(&mut self, report: &AttemptReport, verdict: AttemptVerdict) {
        let attempt = report.attempt;
        let clock_ms = self.lease_clock_ms;
        let cancelled = self.is_cancelled(attempt.job);
        let Some(item) = self.item(attempt) else {
            return;
        };
        let newest = item.attempt == attempt.attempt;
        let again = newest && item.end.as_ref() == Some(&report.end);
        let first = newest && item.end.is_none() && !cancelled;
        let in_force = first && clock_ms < item.lease_end_ms;
        let before = format!("{item:?}");
        if verdict == AttemptVerdict::Counted && !again {
            item.released = report.end == AttemptEnd::Released;
            item.end = Some(report.end.clone());
            if cancelled {
                let detail = format!("{attempt:?} counts after {before}");
                self.violate(CANCEL_STOPS, detail);
            } else if !first {
                let detail = format!("{report:?} counts after {before}");
                self.violate(FIRST_END, detail);
            }
        }
        if verdict != AttemptVerdict::Counted && in_force {
            let detail = format!("{report:?} is {verdict:?} at {clock_ms} after {before}");
            self.violate(LEASE_HOLDS, detail);
        }
    }

    fn renewed(&mut self, renewal: &RenewLeases, lost: &[AttemptRef]) {
        let clock_ms = self.lease_clock_ms;
        for attempt in &renewal.attempts {
            let cancelled = self.is_cancelled(attempt.job);
            let Some(item) = self.item(*attempt) else {
                continue;
            };
            let open = item.attempt == attempt.attempt && item.end.is_none() && !cancelled;
            let was_lost = lost.contains(attempt);
            let before = format!("{item:?}");
            if !was_lost {
                item.lease_end_ms = clock_ms + renewal.lease_ms;
            }
            if was_lost && open && clock_ms < item.lease_end_ms {
                let detail = format!("{attempt:?} is lost at {clock_ms}, {before}");
                self.violate(LEASE_HOLDS, detail);
            }
            if !was_lost && !open {
                let detail = format!("{attempt:?} is renewed, {before}");
                self.violate(LEASED_IN_TURN, detail);
            }
        }
    }

    fn check_not_cancelled(&mut self, attempt: AttemptRef, what: &str) {
        if self.is_cancelled(attempt.job) {
            self.violate(CANCEL_STOPS, format!("{attempt:?} {what}"));
        }
    }

    fn is_cancelled(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|job| job.cancelled)
    }

    fn item(&mut self, attempt: AttemptRef) -> Option<&mut Item> {
        let job = self.jobs.get_mut(&attempt.job)?;
        job.items.get_mut(attempt.index as usize)
    }

    fn violate(&mut self, rule: &'static str, detail: String) {
        self.broken.push(Broken { rule, detail });
    }

    /// Rules broken since the last call.
    pub fn take_broken(&mut self) -> Vec<Broken> {
        std::mem::take(&mut self.broken)
    }

    /// The group's time.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Whether the attempt's lease is committed.
    pub fn was_leased(&self, attempt: AttemptRef) -> bool {
        let job = self.jobs.get(&attempt.job);
        let item = job.and_then(|job| job.items.get(attempt.index as usize));
        item.is_some_and(|item| attempt.attempt <= item.attempt)
    }

    /// Items of a job, and the answer of each that completed.
    pub fn answers(&self, job: JobId) -> Vec<Option<String>> {
        let items = self.jobs.get(&job).map(|job| job.items.iter());
        let answer = |item: &Item| match &item.end {
            Some(AttemptEnd::Completed(answer)) => Some(answer.clone()),
            _ => None,
        };
        items.into_iter().flatten().map(answer).collect()
    }
}
