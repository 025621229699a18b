//! Run times of calls at workers, by route, as observed by this node.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;
use pinerill_process::clock::BootTime;

use crate::call::Call;
use crate::run_time::RunTime;

/// Number of routes for which times are kept. When a further route appears, all times are
/// discarded.
const MAX_ROUTES: usize = 1_024;

#[derive(Default)]
struct RouteTimes {
    first_event: RunTime,
    completion: RunTime,
}

/// Estimates of the times from the assignment of a slot to the first and to the last event, by
/// route name.
#[derive(Default)]
pub(crate) struct CallTimes {
    routes: Mutex<HashMap<String, RouteTimes>>,
}

impl CallTimes {
    /// Records one answered call: the times from the assignment of its slot to its first and to its
    /// last event.
    pub(crate) fn record(&self, route: &str, first_event: Duration, completion: Duration) {
        let mut routes = self.routes.lock();
        if !routes.contains_key(route) {
            if routes.len() >= MAX_ROUTES {
                routes.clear();
            }
            routes.insert(route.to_owned(), RouteTimes::default());
        }
        if let Some(times) = routes.get_mut(route) {
            times.first_event.record(first_event);
            times.completion.record(completion);
        }
    }

    /// Returns the time to the first event that calls of a route seldom exceed, in milliseconds; 0
    /// while it is unknown.
    pub(super) fn first_event_ms(&self, route: &str) -> f64 {
        let routes = self.routes.lock();
        let times = routes.get(route);
        times
            .and_then(|times| times.first_event.longest_ms())
            .unwrap_or(0.0)
    }

    /// Returns the latest time at which a call may get its slot and still be answered in time: its
    /// first event must come before the caller gives up, and its last one before the deadline, here
    /// the caller's or an earlier one. The estimate uses times that calls of the route seldom fall
    /// below, or 0 while these are unknown.
    pub(super) fn latest_slot_time(&self, call: &Call, deadline: BootTime) -> BootTime {
        let routes = self.routes.lock();
        let times = routes.get(&call.route.name);
        let lower_bound = |time: fn(&RouteTimes) -> &RunTime| {
            let lower_bound_ms = times.and_then(|times| time(times).shortest_ms());
            Duration::from_secs_f64(lower_bound_ms.unwrap_or(0.0) / 1_000.0)
        };
        let first_event_limit = call
            .first_event_deadline()
            .min(deadline)
            .checked_sub(lower_bound(|times| &times.first_event));
        let completion_limit = deadline.checked_sub(lower_bound(|times| &times.completion));
        let first_event_limit = first_event_limit.unwrap_or(call.arrived);
        first_event_limit.min(completion_limit.unwrap_or(call.arrived))
    }
}
