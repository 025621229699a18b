//! Assigns queued items to nodes by leases.
//!
//! Leases are soft state of the leader and are not replicated, because an item may run more
//! than once and its first result counts. A new leader learns which items run from the nodes,
//! which list the items they hold in each request; it grants no new leases until the nodes had
//! time to do so.

use std::collections::HashMap;
use std::ops::Bound;

use pinerill_calls::job::ItemRef;

use crate::backlog::{Backlog, ItemDeadline};
use crate::lease_shares::{pick, queued_by_tenant, QueueRange};
use crate::machine::{JobRecord, Jobs, QueuePosition};

/// Durations of leases, and how they are divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time until a lease expires unless it is renewed, milliseconds.
    pub duration_ms: u64,
    /// Whether leases are divided among the tenants whose items wait.
    pub shares_among_tenants: bool,
    /// Time for which a new leader waits for nodes to list the items they hold, milliseconds.
    pub reclaim_ms: u64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        LeaseSettings {
            duration_ms: 3_000,
            reclaim_ms: 1_500,
            shares_among_tenants: false,
        }
    }
}

#[derive(Debug)]
struct Lease {
    node: String,
    expires_ms: u64,
}

/// All leases granted by one leader.
#[derive(Debug)]
pub struct LeaseBook {
    settings: LeaseSettings,
    started_ms: u64,
    leases: HashMap<QueuePosition, Lease>,
    backlog: Backlog,
}

/// Arguments of a node's lease request.
#[derive(Debug, Clone, Copy)]
pub struct LeaseArgs<'a> {
    /// Identity of the node, different for each start of its process.
    pub node: &'a str,
    /// Items that the node holds.
    pub held: &'a [ItemRef],
    /// Number of further items that the node has capacity for.
    pub want: usize,
    /// Time within which nearly all items complete on the node, milliseconds.
    pub run_ms: u64,
}

/// Answer to a node's lease request.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct LeaseDecision {
    /// Items newly leased to the node.
    pub leased: Vec<QueuePosition>,
    /// Items that the node must stop.
    pub stop: Vec<ItemRef>,
    /// Number of items that were leased to the node, are neither held by it nor completed, and
    /// are available to other nodes.
    pub freed: usize,
    /// Slack of the tightest item that is not leased, beyond its reserve, milliseconds; `None`
    /// if no such item can still be on time.
    pub backlog_slack_ms: Option<i64>,
}

impl LeaseBook {
    /// Creates an empty book for a leadership that begins at `now_ms`, milliseconds of any
    /// monotonic clock.
    pub fn new(settings: LeaseSettings, now_ms: u64) -> Self {
        LeaseBook {
            settings,
            started_ms: now_ms,
            leases: HashMap::new(),
            backlog: Backlog::new(now_ms),
        }
    }

    /// Renews the leases of the items that the node holds and grants up to `want` new ones. An
    /// item that is leased to the node but not held by it never arrived there, and becomes
    /// available again.
    pub fn lease(
        &mut self,
        now_ms: u64,
        jobs: &Jobs,
        job_clock_ms: u64,
        request: &LeaseArgs<'_>,
    ) -> LeaseDecision {
        self.lease_where(now_ms, jobs, job_clock_ms, request, |_| true)
    }

    /// Does the same as [`Self::lease`], but grants new leases only for items of jobs that
    /// `may_run` accepts.
    pub fn lease_where(
        &mut self,
        now_ms: u64,
        jobs: &Jobs,
        job_clock_ms: u64,
        request: &LeaseArgs<'_>,
        may_run: impl Fn(&JobRecord) -> bool,
    ) -> LeaseDecision {
        let mut completed = Vec::new();
        let mut previously_leased = 0;
        self.leases.retain(|position, lease| {
            previously_leased += usize::from(lease.node == request.node);
            if lease.node == request.node && !jobs.queue().contains(position) {
                completed.push(*position);
            }
            lease.node != request.node && lease.expires_ms > now_ms
        });
        self.backlog.record_completions(now_ms, completed.len());
        for position in &completed {
            let deadline = item_deadline(jobs, job_clock_ms, position);
            let slack_ms = deadline.allowed_slack_ms(request.run_ms).max(1.0);
            self.backlog
                .record_remaining_slack(now_ms, deadline.remaining_ms as f64 / slack_ms);
        }
        let mut decision = LeaseDecision::default();
        for item in request.held {
            if !self.renew(now_ms, jobs, request.node, item) {
                decision.stop.push(item.clone());
            }
        }
        let renewed = request.held.len() - decision.stop.len();
        decision.freed = previously_leased.saturating_sub(completed.len() + renewed);
        if now_ms >= self.started_ms + self.settings.reclaim_ms {
            decision.leased = self.grant_new(now_ms, jobs, job_clock_ms, request, may_run);
        }
        decision.backlog_slack_ms =
            self.backlog_slack_ms(now_ms, jobs, job_clock_ms, request.run_ms);
        decision
    }

    /// Returns the slack of the items that are not leased and can still be on time.
    fn backlog_slack_ms(
        &mut self,
        now_ms: u64,
        jobs: &Jobs,
        job_clock_ms: u64,
        run_ms: u64,
    ) -> Option<i64> {
        if self.backlog.is_stale(now_ms) {
            let on_time = jobs.queue().range(first_on_time(job_clock_ms, run_ms)..);
            let leases = &self.leases;
            let free = on_time.filter(|position| is_free(leases, now_ms, position));
            let queued = free.map(|position| item_deadline(jobs, job_clock_ms, position));
            self.backlog.set_leased(leases.len());
            self.backlog.refresh(now_ms, queued, run_ms);
        }
        self.backlog.slack_ms()
    }

    fn renew(&mut self, now_ms: u64, jobs: &Jobs, node: &str, item: &ItemRef) -> bool {
        let Some(position) = jobs.position(&item.job, item.index) else {
            return false;
        };
        if !is_free(&self.leases, now_ms, &position) {
            return false;
        }
        self.grant(now_ms, position, node);
        true
    }

    /// Grants leases, first for items that can be on time if they start now, then for items that
    /// are late or will be. Within each of the two the most urgent items go first or, if leases are
    /// divided among tenants, those of each tenant do.
    fn grant_new(
        &mut self,
        now_ms: u64,
        jobs: &Jobs,
        job_clock_ms: u64,
        request: &LeaseArgs<'_>,
        may_run: impl Fn(&JobRecord) -> bool,
    ) -> Vec<QueuePosition> {
        let first_on_time = first_on_time(job_clock_ms, request.run_ms);
        let on_time = (Bound::Included(first_on_time), Bound::Unbounded);
        let late = (Bound::Unbounded, Bound::Excluded(first_on_time));
        let mut granted = Vec::new();
        for range in [on_time, late] {
            let want = request.want - granted.len();
            let picked = self.pick_free(now_ms, jobs, range, want, &may_run);
            for position in &picked {
                self.grant(now_ms, *position, request.node);
            }
            granted.extend(picked);
        }
        granted
    }

    /// Picks up to `want` items of a range of the queue that are not leased.
    fn pick_free(
        &self,
        now_ms: u64,
        jobs: &Jobs,
        range: QueueRange,
        want: usize,
        may_run: impl Fn(&JobRecord) -> bool,
    ) -> Vec<QueuePosition> {
        if want == 0 {
            return Vec::new();
        }
        let is_free = |position: &QueuePosition| is_free(&self.leases, now_ms, position);
        if !self.settings.shares_among_tenants {
            let free = jobs
                .queue()
                .range(range)
                .filter(|position| is_free(position));
            let runnable = free.filter(|position| jobs.record(position.job).is_some_and(&may_run));
            return runnable.take(want).copied().collect();
        }
        let mut tenants = queued_by_tenant(jobs, range, want, is_free, may_run);
        for position in self.leases.keys() {
            let record = jobs.record(position.job);
            if let Some(tenant) = record.and_then(|record| tenants.get_mut(&record.id.tenant())) {
                tenant.leased += 1;
            }
        }
        pick(&tenants.into_values().collect::<Vec<_>>(), want)
    }

    fn grant(&mut self, now_ms: u64, position: QueuePosition, node: &str) {
        let lease = Lease {
            node: node.to_owned(),
            expires_ms: now_ms + self.settings.duration_ms,
        };
        self.leases.insert(position, lease);
    }
}

/// Returns the deadline of an item. The acceptance time of an item whose job was deleted counts
/// as 0.
fn item_deadline(jobs: &Jobs, job_clock_ms: u64, position: &QueuePosition) -> ItemDeadline {
    let accepted_ms = jobs.record(position.job).map(|record| record.accepted_ms);
    ItemDeadline {
        remaining_ms: position.due_ms.saturating_sub(job_clock_ms),
        allowed_ms: position.due_ms.saturating_sub(accepted_ms.unwrap_or(0)),
    }
}

/// Returns whether no unexpired lease covers the item.
fn is_free(leases: &HashMap<QueuePosition, Lease>, now_ms: u64, position: &QueuePosition) -> bool {
    let lease = leases.get(position);
    lease.is_none_or(|lease| lease.expires_ms <= now_ms)
}

/// Returns the lowest queue position of an item that is on time if it starts now.
fn first_on_time(job_clock_ms: u64, run_ms: u64) -> QueuePosition {
    QueuePosition {
        due_ms: job_clock_ms + run_ms,
        job: 0,
        index: 0,
    }
}
