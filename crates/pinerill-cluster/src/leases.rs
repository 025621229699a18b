//! Which node runs which waiting item.
//!
//! Soft state of the leader: nothing of it is replicated, since an item may run
//! more than once and its first end counts. A new leader learns what runs from
//! the nodes, which name what they hold with each request; until they had the
//! time to, it hands nothing out.

use std::collections::HashMap;

use pinerill_calls::job::ItemRef;

use crate::machine::{Jobs, QueuePosition};

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
}

/// What a node asks for.
#[derive(Debug, Clone, Copy)]
pub struct LeaseAsk<'a> {
    /// The node, in this start of its process.
    pub node: &'a str,
    /// Items that it holds.
    pub held: &'a [ItemRef],
    /// Items that it would take besides.
    pub want: usize,
    /// Time that an item usually runs there, milliseconds.
    pub run_ms: u64,
}

/// What a node is told.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct LeaseDecision {
    /// Items that it is to run.
    pub leased: Vec<QueuePosition>,
    /// Items that it must stop.
    pub stop: Vec<ItemRef>,
}

impl LeaseBook {
    /// The leases of a leadership that begins now, in milliseconds of any
    /// steady clock.
    pub fn new(settings: LeaseSettings, now_ms: u64) -> Self {
        LeaseBook {
            settings,
            started_ms: now_ms,
            leases: HashMap::new(),
        }
    }

    /// Renews what the node holds and hands out up to as many as it wants. What was
    /// handed to it and isn't held never arrived there and is free again.
    pub fn lease(
        &mut self,
        now_ms: u64,
        jobs: &Jobs,
        job_clock_ms: u64,
        ask: &LeaseAsk<'_>,
    ) -> LeaseDecision {
        self.leases
            .retain(|_, lease| lease.node != ask.node && lease.expires_ms > now_ms);
        let mut decision = LeaseDecision::default();
        for item in ask.held {
            if !self.renew(now_ms, jobs, ask.node, item) {
                decision.stop.push(item.clone());
            }
        }
        if now_ms >= self.started_ms + self.settings.reclaim_ms {
            decision.leased = self.hand_out(now_ms, jobs, job_clock_ms, ask);
        }
        decision
    }

    fn renew(&mut self, now_ms: u64, jobs: &Jobs, node: &str, item: &ItemRef) -> bool {
        let Some(place) = jobs.position(&item.job, item.index) else {
            return false;
        };
        if !self.is_free(now_ms, &place) {
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
        ask: &LeaseAsk<'_>,
    ) -> Vec<QueuePosition> {
        let first_on_time = QueuePosition {
            due_ms: job_clock_ms + ask.run_ms,
            job: 0,
            index: 0,
        };
        let on_time = jobs.queue().range(first_on_time..);
        let late = jobs.queue().range(..first_on_time);
        let free: Vec<QueuePosition> = on_time
            .chain(late)
            .filter(|place| self.is_free(now_ms, place))
            .take(ask.want)
            .copied()
            .collect();
        for place in &free {
            self.grant(now_ms, *place, ask.node);
        }
        free
    }

    fn is_free(&self, now_ms: u64, place: &QueuePosition) -> bool {
        let lease = self.leases.get(place);
        lease.is_none_or(|lease| lease.expires_ms <= now_ms)
    }

    fn grant(&mut self, now_ms: u64, place: QueuePosition, node: &str) {
        let lease = Lease {
            node: node.to_owned(),
            expires_ms: now_ms + self.settings.duration_ms,
        };
        self.leases.insert(place, lease);
    }
}
