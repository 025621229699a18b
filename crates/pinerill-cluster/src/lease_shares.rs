//! Divides new leases among the tenants whose items are queued, if the settings ask for it. Pure.
//!
//! Each lease goes to the tenant with the fewest leased items among those with queued ones, so that
//! no tenant gets an item beyond its max-min share of all leased items while items of another wait.
//! A tenant's own items are leased in the order of the queue, and so are those of tenants that have
//! equally many.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::ops::Bound;

use crate::machine::{JobRecord, Jobs, QueuePosition};

/// Items of one tenant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TenantItems<P> {
    /// Number of its items that are leased.
    pub leased: usize,
    /// Its queued items that may be leased, first to run first, each with its place in the queue of
    /// all tenants.
    pub queued: Vec<(usize, P)>,
}

impl<P> Default for TenantItems<P> {
    fn default() -> Self {
        TenantItems {
            leased: 0,
            queued: Vec::new(),
        }
    }
}

/// Returns up to `want` items to lease, in the order in which they are picked.
pub fn pick<P: Copy>(tenants: &[TenantItems<P>], want: usize) -> Vec<P> {
    let mut next = vec![0; tenants.len()];
    let mut waiting: BinaryHeap<Reverse<(usize, usize, usize)>> = tenants
        .iter()
        .enumerate()
        .filter_map(|(number, tenant)| {
            let (place, _) = tenant.queued.first()?;
            Some(Reverse((tenant.leased, *place, number)))
        })
        .collect();
    let mut picked = Vec::new();
    while picked.len() < want {
        let Some(Reverse((leased, _, number))) = waiting.pop() else {
            break;
        };
        let queued = &tenants[number].queued;
        picked.push(queued[next[number]].1);
        next[number] += 1;
        if let Some((place, _)) = queued.get(next[number]) {
            waiting.push(Reverse((leased + 1, *place, number)));
        }
    }
    picked
}

/// Range of the queue.
pub type QueueRange = (Bound<QueuePosition>, Bound<QueuePosition>);

/// Returns up to `want` items of each tenant in a range of the queue that may be leased, in the order
/// of the queue. All items of a job have the same due time, so a job's rest is skipped once its
/// tenant has enough. `is_free` says of an item that it is not leased, and `may_run` of a job that
/// its items may run at the node.
pub fn queued_by_tenant(
    jobs: &Jobs,
    range: QueueRange,
    want: usize,
    is_free: impl Fn(&QueuePosition) -> bool,
    may_run: impl Fn(&JobRecord) -> bool,
) -> HashMap<Option<&str>, TenantItems<QueuePosition>> {
    let mut tenants: HashMap<Option<&str>, TenantItems<QueuePosition>> = HashMap::new();
    let mut place = 0;
    for first in first_of_jobs(jobs.queue(), range) {
        let Some(record) = jobs.record(first.job).filter(|record| may_run(record)) else {
            continue;
        };
        let items = tenants.entry(record.id.tenant()).or_default();
        let missing = want - items.queued.len();
        if missing == 0 {
            continue;
        }
        let of_job = jobs.queue().range((Bound::Included(first), range.1));
        let of_job = of_job.take_while(|position| position.job == first.job);
        for position in of_job.filter(|position| is_free(position)).take(missing) {
            items.queued.push((place, *position));
            place += 1;
        }
    }
    tenants
}

/// Returns the first queued item of each job in a range of a queue.
pub fn first_of_jobs(
    queue: &BTreeSet<QueuePosition>,
    (from, to): QueueRange,
) -> impl Iterator<Item = QueuePosition> + '_ {
    let mut queued = queue.range((from, to)).peekable();
    std::iter::from_fn(move || {
        let first = *queued.next()?;
        if queued.peek().is_some_and(|next| next.job == first.job) {
            let last_of_job = QueuePosition {
                index: u32::MAX,
                ..first
            };
            let rest = (Bound::Excluded(last_of_job), to);
            queued = queue.range(rest).peekable();
        }
        Some(first)
    })
}
