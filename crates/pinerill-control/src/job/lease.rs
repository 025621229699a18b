//! Leases on items and the nodes that hold them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pinerill_types::NodeName;
use serde::{Deserialize, Serialize};

/// Former starts of a node that are remembered, so that a question of theirs
/// that arrives late is not taken for a new start.
const RETIRED_LIMIT: usize = 16;
/// A holder without leases is forgotten after so long, milliseconds.
const HOLDER_IDLE_LIMIT_MS: u64 = 3_600_000;

/// One item of the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct ItemKey {
    /// Sequence of its job.
    pub(super) job: u64,
    /// Its index within the job.
    pub(super) index: u32,
}

/// The lease on one item.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Lease {
    holder: u64,
    /// On the clock of leases.
    expires_ms: u64,
}

/// All leases in force.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct Leases {
    items: BTreeMap<ItemKey, Lease>,
    due: BTreeSet<(u64, ItemKey)>,
    by_holder: BTreeSet<(u64, ItemKey)>,
    holders: BTreeMap<NodeName, Holder>,
    last_holder: u64,
}

/// One start of a node.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Holder {
    /// Stands for node and incarnation in leases.
    number: u64,
    incarnation: u64,
    retired: VecDeque<u64>,
    sequence: u64,
    /// Items of the latest answer with their attempts.
    answer: Vec<(ItemKey, u32)>,
    seen_ms: u64,
}

/// What a node's question is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Question {
    /// A new one of this holder.
    New {
        /// The holder.
        holder: u64,
        /// Leases of the node's former start, which lapse.
        lapsed: Vec<ItemKey>,
    },
    /// The latest one again.
    Repeated {
        /// Items of the first answer with their attempts.
        answer: Vec<(ItemKey, u32)>,
    },
    /// One that was overtaken by a newer one.
    Overtaken,
}

impl Leases {
    /// Sorts a node's question and notes it.
    pub(super) fn ask(
        &mut self,
        node: &NodeName,
        incarnation: u64,
        sequence: u64,
        now_ms: u64,
    ) -> Question {
        let mut retired = VecDeque::new();
        let mut lapsed = Vec::new();
        if let Some(former) = self.holders.get_mut(node) {
            if former.incarnation == incarnation {
                return former.ask_again(sequence, now_ms);
            }
            if former.retired.contains(&incarnation) {
                return Question::Overtaken;
            }
            retired = former.retire();
            let number = former.number;
            lapsed = self.held_by(number);
        }
        self.last_holder += 1;
        let holder = self.last_holder;
        let started = Holder {
            number: holder,
            incarnation,
            retired,
            sequence,
            answer: Vec::new(),
            seen_ms: now_ms,
        };
        self.holders.insert(node.clone(), started);
        Question::New { holder, lapsed }
    }

    /// Notes what a node was answered, for when it asks again.
    pub(super) fn note_answer(&mut self, node: &NodeName, answer: Vec<(ItemKey, u32)>) {
        if let Some(holder) = self.holders.get_mut(node) {
            holder.answer = answer;
        }
    }

    /// Starts the lease on an item, or moves its end.
    pub(super) fn set(&mut self, key: ItemKey, holder: u64, expires_ms: u64) {
        self.remove(key);
        self.items.insert(key, Lease { holder, expires_ms });
        self.due.insert((expires_ms, key));
        self.by_holder.insert((holder, key));
    }

    /// Moves the end of a lease in force.
    pub(super) fn renew(&mut self, key: ItemKey, expires_ms: u64) {
        if let Some(lease) = self.items.get(&key) {
            self.set(key, lease.holder, expires_ms);
        }
    }

    /// Ends the lease on an item.
    pub(super) fn remove(&mut self, key: ItemKey) {
        if let Some(lease) = self.items.remove(&key) {
            self.due.remove(&(lease.expires_ms, key));
            self.by_holder.remove(&(lease.holder, key));
        }
    }

    fn held_by(&self, holder: u64) -> Vec<ItemKey> {
        let first = ItemKey { job: 0, index: 0 };
        let held = self.by_holder.range((holder, first)..);
        let held = held.take_while(|(number, _)| *number == holder);
        held.map(|(_, key)| *key).collect()
    }

    /// At most `limit` leases that end at `lease_ms` or before.
    pub(super) fn due(&self, lease_ms: u64, limit: usize) -> Vec<ItemKey> {
        let due = self.due.iter().take_while(|(end, _)| *end <= lease_ms);
        due.map(|(_, key)| *key).take(limit).collect()
    }

    /// When the next lease ends, on the clock of leases.
    pub(super) fn next_due_ms(&self) -> Option<u64> {
        self.due.first().map(|(end, _)| *end)
    }

    /// How many leases are in force.
    pub(super) fn len(&self) -> usize {
        self.items.len()
    }

    /// Forgets holders that have no lease and have not asked for long.
    pub(super) fn forget_idle(&mut self, now_ms: u64) {
        let oldest = now_ms.saturating_sub(HOLDER_IDLE_LIMIT_MS);
        let first = ItemKey { job: 0, index: 0 };
        let by_holder = &self.by_holder;
        let holds = |number| {
            let next = by_holder.range((number, first)..).next();
            next.is_some_and(|(holder, _)| *holder == number)
        };
        self.holders
            .retain(|_, holder| holder.seen_ms >= oldest || holds(holder.number));
    }
}

impl Holder {
    /// Former incarnations, its own the latest.
    fn retire(&mut self) -> VecDeque<u64> {
        let mut retired = std::mem::take(&mut self.retired);
        retired.push_back(self.incarnation);
        if retired.len() > RETIRED_LIMIT {
            retired.pop_front();
        }
        retired
    }

    fn ask_again(&mut self, sequence: u64, now_ms: u64) -> Question {
        self.seen_ms = now_ms;
        if sequence < self.sequence {
            return Question::Overtaken;
        }
        if sequence == self.sequence {
            let answer = self.answer.clone();
            return Question::Repeated { answer };
        }
        self.sequence = sequence;
        self.answer.clear();
        Question::New {
            holder: self.number,
            lapsed: Vec::new(),
        }
    }
}
