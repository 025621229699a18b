//! Finds the queued items that are leased to a node next. Performs no I/O.

use std::cmp::Reverse;
use std::collections::btree_set::Range;
use std::collections::{BTreeSet, BinaryHeap};
use std::ops::Bound;

use crate::lease_requests::ReturnedItems;
use crate::lease_shares::{first_of_jobs, pick, queued_by_tenant, QueueRange};
use crate::leases::{is_free, LeaseRules, Leases};
use crate::machine::{JobRecord, Jobs, QueuePosition};
use crate::service_capacity::RemainingCapacity;

/// Search for items that can be leased to a node, in a range of the queue.
pub(crate) struct Search<'a> {
    pub(crate) now_ms: u64,
    pub(crate) node: &'a str,
    pub(crate) jobs: &'a Jobs,
    pub(crate) range: QueueRange,
    pub(crate) leases: &'a Leases,
    pub(crate) returned: &'a ReturnedItems,
    /// Number of queued items and jobs that were examined.
    pub(crate) examined: u64,
}

impl Search<'_> {
    /// Picks up to `want` items, the most urgent first. Looks only at the queues of routes whose
    /// services have capacity left, so that the items of others cost nothing.
    pub(crate) fn pick_by_due_time(
        &mut self,
        want: usize,
        capacity: &mut RemainingCapacity<'_>,
        rules: &LeaseRules<'_>,
    ) -> Vec<QueuePosition> {
        let queues = self.jobs.route_queues().iter();
        let queues = queues.filter(|(route, _)| capacity.allows(route));
        let mut queues: Vec<RouteCursor> = queues
            .map(|(route, queue)| RouteCursor::new(route, queue, self.range))
            .collect();
        let mut heads = BinaryHeap::new();
        for (number, queue) in queues.iter_mut().enumerate() {
            heads.extend(
                self.next_free(queue, rules)
                    .map(|head| Reverse((head, number))),
            );
        }
        let mut picked = Vec::new();
        while picked.len() < want {
            let Some(Reverse((position, number))) = heads.pop() else {
                break;
            };
            let queue = &mut queues[number];
            if !capacity.take(queue.route) {
                continue;
            }
            picked.push(position);
            heads.extend(
                self.next_free(queue, rules)
                    .map(|head| Reverse((head, number))),
            );
        }
        picked
    }

    /// Returns the next item of a route that is not leased and may be leased to the node.
    fn next_free(
        &mut self,
        queue: &mut RouteCursor<'_>,
        rules: &LeaseRules<'_>,
    ) -> Option<QueuePosition> {
        loop {
            let position = queue.next(|job| {
                self.examined += 1;
                let record = self.jobs.record(job);
                record.is_some_and(|record| rules.may_run(record))
            })?;
            self.examined += 1;
            if self.is_available(&position) {
                return Some(position);
            }
        }
    }

    fn is_available(&self, position: &QueuePosition) -> bool {
        is_free(self.leases, self.now_ms, position)
            && !self.returned.is_withheld(self.now_ms, self.node, position)
    }

    /// Picks up to `want` items, divided among tenants.
    pub(crate) fn pick_by_tenant(
        &mut self,
        want: usize,
        capacity: &mut RemainingCapacity<'_>,
        rules: &LeaseRules<'_>,
    ) -> Vec<QueuePosition> {
        let is_available = |position: &QueuePosition| self.is_available(position);
        let may_run = |job: &JobRecord| capacity.allows(&job.route) && rules.may_run(job);
        let mut tenants = queued_by_tenant(self.jobs, self.range, want, is_available, may_run);
        for position in self.leases.keys() {
            let record = self.jobs.record(position.job);
            if let Some(tenant) = record.and_then(|record| tenants.get_mut(&record.id.tenant())) {
                tenant.leased += 1;
            }
        }
        let mut picked = pick(&tenants.into_values().collect::<Vec<_>>(), want);
        picked.retain(|position| {
            let record = self.jobs.record(position.job);
            record.is_some_and(|record| capacity.take(&record.route))
        });
        picked
    }
}

/// Passes through the queue of a route in a range, job by job.
struct RouteCursor<'a> {
    route: &'a str,
    queue: &'a BTreeSet<QueuePosition>,
    range: QueueRange,
    jobs: Box<dyn Iterator<Item = QueuePosition> + 'a>,
    /// Rest of the present job.
    items: Option<Range<'a, QueuePosition>>,
}

impl<'a> RouteCursor<'a> {
    fn new(route: &'a str, queue: &'a BTreeSet<QueuePosition>, range: QueueRange) -> Self {
        RouteCursor {
            route,
            queue,
            range,
            jobs: Box::new(first_of_jobs(queue, range)),
            items: None,
        }
    }

    /// Returns the next item; jobs that `may_run` does not accept are skipped as a whole.
    fn next(&mut self, mut may_run: impl FnMut(u64) -> bool) -> Option<QueuePosition> {
        loop {
            if let Some(position) = self.items.as_mut().and_then(Iterator::next) {
                return Some(*position);
            }
            let first = self.jobs.next()?;
            if may_run(first.job) {
                self.items = Some(self.items_from(first));
            }
        }
    }

    /// Returns the items of a job from its first one in the range on.
    fn items_from(&self, first: QueuePosition) -> Range<'a, QueuePosition> {
        let last_of_job = QueuePosition {
            index: u32::MAX,
            ..first
        };
        let (_, to) = self.range;
        let to = match to {
            Bound::Excluded(end) if end <= last_of_job => Bound::Excluded(end),
            _ => Bound::Included(last_of_job),
        };
        self.queue.range((Bound::Included(first), to))
    }
}
