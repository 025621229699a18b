//! Waiting items by the route of their job, so that items of one route are found without those of
//! others. Derived from the jobs and not stored.

use std::collections::{BTreeMap, BTreeSet};

use super::QueuePosition;

/// Queues of waiting items by route name. Routes without waiting items are missing.
#[derive(Debug, Default)]
pub struct RouteQueues {
    queues: BTreeMap<String, BTreeSet<QueuePosition>>,
}

impl RouteQueues {
    /// Adds a waiting item of a route.
    pub(super) fn insert(&mut self, route: &str, position: QueuePosition) {
        match self.queues.get_mut(route) {
            Some(queue) => drop(queue.insert(position)),
            None => drop(
                self.queues
                    .insert(route.to_owned(), BTreeSet::from([position])),
            ),
        }
    }

    /// Removes an item; does nothing if it is not in the route's queue.
    pub(super) fn remove(&mut self, route: &str, position: &QueuePosition) {
        let Some(queue) = self.queues.get_mut(route) else {
            return;
        };
        queue.remove(position);
        if queue.is_empty() {
            self.queues.remove(route);
        }
    }

    /// Returns the routes with waiting items, each with its queue, first to run first.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &BTreeSet<QueuePosition>)> {
        let queues = self.queues.iter();
        queues.map(|(route, queue)| (route.as_str(), queue))
    }
}
