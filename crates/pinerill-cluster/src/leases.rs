//! Which node runs which waiting item.
//!
//! Soft state of the leader: nothing of it is replicated, since an item may run
//! more than once and its first end counts. A new leader learns what runs from
//! the nodes, which name what they hold with each request; until they had the
//! time to, it hands nothing out.

use std::collections::HashMap;

use pinerill_calls::job::ItemRef;

use crate::backlog::{Backlog, WaitingTime};
use crate::machine::{JobRecord, Jobs, QueuePosition};

/// Times of leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// How long a lease lasts unless it is renewed, milliseconds.
    pub duration_ms: u64,
    /// How long a new leader waits for nodes to name what they hold,
    /// milliseconds.
    pub reclaim_ms: u64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        LeaseSettings {
            duration_ms: 3_000,
            reclaim_ms: 1_500,
        }
    }
}

#[derive(Debug)]
struct Lease {
    node: String,
    expires_ms: u64,
}

/// All leases of one leadership.
#[derive(Debug)]
pub struct LeaseBook {
    settings: LeaseSettings,
    started_ms: u64,
    leases: HashMap<QueuePosition, Lease>,
    backlog: Backlog,
}

/// What a node asks for.
#[derive(Debug, Clone, Copy)]
pub struct LeaseArgs<'a> {
    /// The node, in this start of its process.
    pub node: &'a str,
    /// Items that it holds.
    pub held: &'a [ItemRef],
    /// Items that it would take besides.
    pub want: usize,
    /// Time that an item seldom exceeds there, milliseconds.
    pub run_ms: u64,
}

/// What a node is told.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct LeaseDecision {
    /// Items that it is to run.
    pub leased: Vec<QueuePosition>,
    /// Items that it must stop.
    pub stop: Vec<ItemRef>,
    /// Items that it had, does not hold any more, and that wait for others.
    pub freed: usize,
    /// Slack of the tightest item that no node has, beyond what it is to keep,
    /// milliseconds; none if there is no item that could still be on time.
    pub backlog_slack_ms: Option<i64>,
}

impl LeaseBook {
    /// The leases of a leadership that begins now, in milliseconds of any
    /// steady clock.
    pub fn new(settings: LeaseSettings, now_ms: u64) -> Self {
        LeaseBook {
            settings,
            started_ms: now_ms,
            leases: HashMap::new(),
            backlog: Backlog::new(now_ms),
        }
    }

    /// Renews what the node holds and hands out up to as many as it wants. What was
    /// handed to it and isn't held never arrived there and is free again.
    pub fn lease(
        &mut self,
        now_ms: u64,
        jobs: &Jobs,
        job_clock_ms: u64,
        ask: &LeaseArgs<'_>,
    ) -> LeaseDecision {
        self.lease_where(now_ms, jobs, job_clock_ms, ask, |_| true)
    }

    /// The same, but hands out items of those jobs alone that may run at the node.
    pub fn lease_where(
        &mut self,
        now_ms: u64,
        jobs: &Jobs,
        job_clock_ms: u64,
        ask: &LeaseArgs<'_>,
        may_run: impl Fn(&JobRecord) -> bool,
    ) -> LeaseDecision {
        let mut ended = Vec::new();
        let mut had = 0;
        self.leases.retain(|place, lease| {
            had += usize::from(lease.node == ask.node);
            if lease.node == ask.node && !jobs.queue().contains(place) {
                ended.push(*place);
            }
            lease.node != ask.node && lease.expires_ms > now_ms
        });
        self.backlog.ended(now_ms, ended.len());
        for place in &ended {
            let time = waiting_time(jobs, job_clock_ms, place);
            let slack_ms = time.allowed_slack_ms(ask.run_ms).max(1.0);
            self.backlog
                .ended_with(now_ms, time.left_ms as f64 / slack_ms);
        }
        let mut decision = LeaseDecision::default();
        for item in ask.held {
            if !self.renew(now_ms, jobs, ask.node, item) {
                decision.stop.push(item.clone());
            }
        }
        let renewed = ask.held.len() - decision.stop.len();
        decision.freed = had.saturating_sub(ended.len() + renewed);
        if now_ms >= self.started_ms + self.settings.reclaim_ms {
            decision.leased = self.hand_out(now_ms, jobs, job_clock_ms, ask, may_run);
        }
        decision.backlog_slack_ms = self.backlog_slack_ms(now_ms, jobs, job_clock_ms, ask.run_ms);
        decision
    }

    /// Slack of the items that wait and could still be on time.
    fn backlog_slack_ms(
        &mut self,
        now_ms: u64,
        jobs: &Jobs,
        job_clock_ms: u64,
        run_ms: u64,
    ) -> Option<i64> {
        if self.backlog.is_old(now_ms) {
            let on_time = jobs.queue().range(first_on_time(job_clock_ms, run_ms)..);
            let leases = &self.leases;
            let free = on_time.filter(|place| is_free(leases, now_ms, place));
            let waiting = free.map(|place| waiting_time(jobs, job_clock_ms, place));
            self.backlog.holds(leases.len());
            self.backlog.look(now_ms, waiting, run_ms);
        }
        self.backlog.slack_ms()
    }

    fn renew(&mut self, now_ms: u64, jobs: &Jobs, node: &str, item: &ItemRef) -> bool {
        let Some(place) = jobs.position(&item.job, item.index) else {
            return false;
        };
        if !is_free(&self.leases, now_ms, &place) {
            return false;
        }
        self.grant(now_ms, place, node);
        true
    }

    /// Items that can still be on time if they begin now go first, the most
    /// urgent one first; after them those that are late or will be.
    fn hand_out(
        &mut self,
        now_ms: u64,
        jobs: &Jobs,
        job_clock_ms: u64,
        ask: &LeaseArgs<'_>,
        may_run: impl Fn(&JobRecord) -> bool,
    ) -> Vec<QueuePosition> {
        let first_on_time = first_on_time(job_clock_ms, ask.run_ms);
        let on_time = jobs.queue().range(first_on_time..);
        let late = jobs.queue().range(..first_on_time);
        let free: Vec<QueuePosition> = on_time
            .chain(late)
            .filter(|place| is_free(&self.leases, now_ms, place))
            .filter(|place| jobs.record(place.job).is_some_and(&may_run))
            .take(ask.want)
            .copied()
            .collect();
        for place in &free {
            self.grant(now_ms, *place, ask.node);
        }
        free
    }

    fn grant(&mut self, now_ms: u64, place: QueuePosition, node: &str) {
        let lease = Lease {
            node: node.to_owned(),
            expires_ms: now_ms + self.settings.duration_ms,
        };
        self.leases.insert(place, lease);
    }
}

/// Times of an item. That of a job that is gone by now counts from the beginning.
fn waiting_time(jobs: &Jobs, job_clock_ms: u64, place: &QueuePosition) -> WaitingTime {
    let accepted_ms = jobs.record(place.job).map(|record| record.accepted_ms);
    WaitingTime {
        left_ms: place.due_ms.saturating_sub(job_clock_ms),
        allowed_ms: place.due_ms.saturating_sub(accepted_ms.unwrap_or(0)),
    }
}

/// Whether no node has the item.
fn is_free(leases: &HashMap<QueuePosition, Lease>, now_ms: u64, place: &QueuePosition) -> bool {
    let lease = leases.get(place);
    lease.is_none_or(|lease| lease.expires_ms <= now_ms)
}

/// The first place of an item that is on time if it begins now.
fn first_on_time(job_clock_ms: u64, run_ms: u64) -> QueuePosition {
    QueuePosition {
        due_ms: job_clock_ms + run_ms,
        job: 0,
        index: 0,
    }
}
