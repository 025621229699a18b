//! What the leader remembers of nodes' lease requests: their numbers, and the items that nodes have
//! returned. Pure.

use std::collections::HashMap;

use crate::machine::QueuePosition;

/// Time for which an item is not leased again to the node that has returned it, milliseconds. The
/// node could not place it; meanwhile it gets the items behind it, and other nodes may get this one.
const RETURN_HOLD_MS: u64 = 500;
/// Time after which the number of a node's last request is forgotten, milliseconds. It exceeds the
/// time for which a request is held open.
const NUMBER_TTL_MS: u64 = 10_000;
/// Interval between two removals of outdated numbers, milliseconds.
const CLEANUP_INTERVAL_MS: u64 = 1_000;

/// Items that nodes have returned within `RETURN_HOLD_MS`.
#[derive(Debug, Default)]
pub(crate) struct ReturnedItems {
    items: HashMap<QueuePosition, Return>,
}

/// The last return of an item.
#[derive(Debug)]
struct Return {
    node: String,
    until_ms: u64,
}

impl ReturnedItems {
    /// Records items that a node has returned.
    pub(crate) fn record(
        &mut self,
        now_ms: u64,
        node: &str,
        items: impl Iterator<Item = QueuePosition>,
    ) {
        self.items.retain(|_, one| one.until_ms > now_ms);
        let until_ms = now_ms + RETURN_HOLD_MS;
        for position in items {
            let node = node.to_owned();
            self.items.insert(position, Return { node, until_ms });
        }
    }

    /// Returns whether the node has returned the item within `RETURN_HOLD_MS`, so that it does not get
    /// it again yet.
    pub(crate) fn is_withheld(&self, now_ms: u64, node: &str, position: &QueuePosition) -> bool {
        let returned = self.items.get(position);
        returned.is_some_and(|one| one.node == node && one.until_ms > now_ms)
    }
}

/// Number of the last request of each node.
#[derive(Debug, Default)]
pub(crate) struct RequestNumbers {
    last: HashMap<String, LastRequest>,
    cleaned_ms: u64,
}

#[derive(Debug)]
struct LastRequest {
    number: u64,
    at_ms: u64,
}

impl RequestNumbers {
    /// Records a request. Returns false if the node has sent a later one, which alone it waits for:
    /// what the earlier one says of the items that the node holds is outdated. Requests without a
    /// number (0) always count.
    pub(crate) fn record(&mut self, now_ms: u64, node: &str, number: u64) -> bool {
        if number == 0 {
            return true;
        }
        if now_ms >= self.cleaned_ms + CLEANUP_INTERVAL_MS {
            self.cleaned_ms = now_ms;
            self.last
                .retain(|_, one| one.at_ms + NUMBER_TTL_MS > now_ms);
        }
        if self.last.get(node).is_some_and(|last| last.number > number) {
            return false;
        }
        let last = LastRequest {
            number,
            at_ms: now_ms,
        };
        self.last.insert(node.to_owned(), last);
        true
    }
}
