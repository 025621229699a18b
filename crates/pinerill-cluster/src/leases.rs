//! Assigns queued items to nodes by leases.
//!
//! Leases are soft state of the leader and are not replicated, because an item may run more
//! than once and its first result counts. A new leader learns which items run from the nodes,
//! which list the items they hold in each request; it grants no new leases until the nodes had
//! time to do so.

use std::collections::HashMap;
use std::ops::Bound;

use pinerill_calls::job::ItemRef;
use pinerill_calls::message::ServiceCapacity;
use pinerill_calls::table::RouteTable;

use crate::backlog::{Backlog, ItemDeadline};
use crate::lease_requests::{RequestNumbers, ReturnedItems};
use crate::lease_search::Search;
use crate::machine::{JobRecord, Jobs, QueuePosition};
use crate::service_capacity::RemainingCapacity;

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
pub(crate) struct Lease {
    node: String,
    expires_ms: u64,
}

/// Unexpired and expired leases by item.
pub(crate) type Leases = HashMap<QueuePosition, Lease>;

/// All leases granted by one leader.
#[derive(Debug)]
pub struct LeaseBook {
    settings: LeaseSettings,
    started_ms: u64,
    leases: Leases,
    backlog: Backlog,
    returned: ReturnedItems,
    numbers: RequestNumbers,
    examined: u64,
}

/// Arguments of a node's lease request.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeaseArgs<'a> {
    /// Identity of the node, different for each start of its process.
    pub node: &'a str,
    /// Items that the node holds.
    pub held: &'a [ItemRef],
    /// Number of further items that the node has capacity for.
    pub want: usize,
    /// Time within which nearly all items complete on the node, milliseconds.
    pub run_ms: u64,
    /// Items that the node can start, by service; `None` if it does not state them.
    pub services: Option<&'a [ServiceCapacity]>,
    /// Items that the node has returned, because no worker took them.
    pub returned: &'a [ItemRef],
    /// Number of the request; 0 if the node does not number its requests.
    pub number: u64,
}

/// What decides where items may run.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeaseRules<'a> {
    /// Route table in force, which names the services and regions of routes; `None` if there is none.
    pub table: Option<&'a RouteTable>,
    /// Region of the node, if it is known.
    pub region: Option<&'a str>,
}

impl LeaseRules<'_> {
    /// Returns whether items of a job may run in the node's region. If the job's route no longer
    /// exists or no table is in force, they may run in any region, because no restriction is known.
    pub(crate) fn may_run(&self, job: &JobRecord) -> bool {
        let Some(table) = self.table else {
            return true;
        };
        let mut routes = table.routes.iter();
        let route = routes.find(|route| route.name == job.route);
        route.is_none_or(|route| {
            let regions = table.allowed_regions(route, job.id.tenant());
            regions.allows(self.region)
        })
    }
}

/// Answer to a node's lease request.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct LeaseDecision {
    /// Items newly leased to the node.
    pub leased: Vec<QueuePosition>,
    /// Items that the node must stop.
    pub stop: Vec<ItemRef>,
    /// Items that were leased to the node, are neither held by it nor completed, and are available
    /// to other nodes.
    pub freed: Vec<QueuePosition>,
    /// Whether the node has sent a later request, so that it ignores this answer. Nothing was
    /// decided.
    pub is_superseded: bool,
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
            returned: ReturnedItems::default(),
            numbers: RequestNumbers::default(),
            examined: 0,
        }
    }

    /// Returns the number of queued items and jobs that were examined in granting leases so far.
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// Does the same as [`Self::lease_by_rules`] where items may run anywhere.
    pub fn lease(
        &mut self,
        now_ms: u64,
        jobs: &Jobs,
        job_clock_ms: u64,
        request: &LeaseArgs<'_>,
    ) -> LeaseDecision {
        let rules = LeaseRules::default();
        self.lease_by_rules(now_ms, jobs, job_clock_ms, request, &rules)
    }

    /// Renews the leases of the items that the node holds and grants up to `want` new ones, of each
    /// service as many as the node can start. An item that is leased to the node but not held by it
    /// never arrived there, or was returned, and becomes available again.
    pub fn lease_by_rules(
        &mut self,
        now_ms: u64,
        jobs: &Jobs,
        job_clock_ms: u64,
        request: &LeaseArgs<'_>,
        rules: &LeaseRules<'_>,
    ) -> LeaseDecision {
        let mut decision = LeaseDecision::default();
        if !self.numbers.record(now_ms, request.node, request.number) {
            decision.is_superseded = true;
            return decision;
        }
        let returned = request.returned.iter();
        let returned = returned.filter_map(|item| jobs.position(&item.job, item.index));
        self.returned.record(now_ms, request.node, returned);
        let (completed, previous) = self.take_previous(now_ms, jobs, request.node);
        self.record_completions(now_ms, jobs, job_clock_ms, request.run_ms, &completed);
        for item in request.held {
            if !self.renew(now_ms, jobs, request.node, item) {
                decision.stop.push(item.clone());
            }
        }
        let previous = previous.into_iter();
        decision.freed = previous
            .filter(|position| is_free(&self.leases, now_ms, position))
            .collect();
        if now_ms >= self.started_ms + self.settings.reclaim_ms {
            decision.leased = self.grant_new(now_ms, jobs, job_clock_ms, request, rules);
        }
        decision.backlog_slack_ms =
            self.backlog_slack_ms(now_ms, jobs, job_clock_ms, request.run_ms);
        decision
    }

    /// Removes the node's leases and those that have expired. Returns the node's items that have
    /// completed, and those that have not.
    fn take_previous(
        &mut self,
        now_ms: u64,
        jobs: &Jobs,
        node: &str,
    ) -> (Vec<QueuePosition>, Vec<QueuePosition>) {
        let (mut completed, mut previous) = (Vec::new(), Vec::new());
        self.leases.retain(|position, lease| {
            if lease.node == node {
                match jobs.queue().contains(position) {
                    true => previous.push(*position),
                    false => completed.push(*position),
                }
            }
            lease.node != node && lease.expires_ms > now_ms
        });
        (completed, previous)
    }

    fn record_completions(
        &mut self,
        now_ms: u64,
        jobs: &Jobs,
        job_clock_ms: u64,
        run_ms: u64,
        completed: &[QueuePosition],
    ) {
        self.backlog.record_completions(now_ms, completed.len());
        for position in completed {
            let deadline = item_deadline(jobs, job_clock_ms, position);
            let slack_ms = deadline.allowed_slack_ms(run_ms).max(1.0);
            self.backlog
                .record_remaining_slack(now_ms, deadline.remaining_ms as f64 / slack_ms);
        }
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
    /// divided among tenants, those of each tenant do. Items whose services have no capacity left at
    /// the node are passed over.
    fn grant_new(
        &mut self,
        now_ms: u64,
        jobs: &Jobs,
        job_clock_ms: u64,
        request: &LeaseArgs<'_>,
        rules: &LeaseRules<'_>,
    ) -> Vec<QueuePosition> {
        let first_on_time = first_on_time(job_clock_ms, request.run_ms);
        let on_time = (Bound::Included(first_on_time), Bound::Unbounded);
        let late = (Bound::Unbounded, Bound::Excluded(first_on_time));
        let mut capacity = RemainingCapacity::new(request.services, rules.table);
        let mut granted = Vec::new();
        for range in [on_time, late] {
            let want = request.want - granted.len();
            if want == 0 {
                break;
            }
            let mut search = Search {
                now_ms,
                node: request.node,
                jobs,
                range,
                leases: &self.leases,
                returned: &self.returned,
                examined: 0,
            };
            let picked = match self.settings.shares_among_tenants {
                true => search.pick_by_tenant(want, &mut capacity, rules),
                false => search.pick_by_due_time(want, &mut capacity, rules),
            };
            self.examined += search.examined;
            for position in &picked {
                self.grant(now_ms, *position, request.node);
            }
            granted.extend(picked);
        }
        granted
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
pub(crate) fn is_free(leases: &Leases, now_ms: u64, position: &QueuePosition) -> bool {
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
