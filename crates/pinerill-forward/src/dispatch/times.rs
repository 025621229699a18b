//! How long calls take at workers, by route, as this node saw it.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;
use pinerill_process::clock::BootTime;

use crate::call::Call;
use crate::run_time::RunTime;

/// Routes that are remembered; beyond that all are forgotten.
const REMEMBERED_ROUTES: usize = 1_024;

#[derive(Default)]
struct RouteTimes {
    first_event: RunTime,
    whole: RunTime,
}

/// Times of calls from when they have a place, by name of their route.
#[derive(Default)]
pub(crate) struct CallTimes {
    routes: Mutex<HashMap<String, RouteTimes>>,
}

impl CallTimes {
    /// A call had its first event, and its last one, so long after it had a place.
    pub(crate) fn record(&self, route: &str, first_event: Duration, whole: Duration) {
        let mut routes = self.routes.lock();
        if !routes.contains_key(route) {
            if routes.len() >= REMEMBERED_ROUTES {
                routes.clear();
            }
            routes.insert(route.to_owned(), RouteTimes::default());
        }
        if let Some(times) = routes.get_mut(route) {
            times.first_event.record(first_event);
            times.whole.record(whole);
        }
    }

    /// Time to the first event that is seldom exceeded, milliseconds; 0 while not
    /// known.
    pub(super) fn first_event_ms(&self, route: &str) -> f64 {
        let routes = self.routes.lock();
        let times = routes.get(route);
        times
            .and_then(|times| times.first_event.longest_ms())
            .unwrap_or(0.0)
    }

    /// When a call must have a place to be answered in time for its caller: for the
    /// first event before the caller gives up, and for the last one before the
    /// deadline. Times that calls seldom stay below are counted, none while they are
    /// not known.
    pub(super) fn latest_place(&self, call: &Call) -> BootTime {
        let routes = self.routes.lock();
        let times = routes.get(&call.route.name);
        let least = |time: fn(&RouteTimes) -> &RunTime| {
            let least_ms = times.and_then(|times| time(times).shortest_ms());
            Duration::from_secs_f64(least_ms.unwrap_or(0.0) / 1_000.0)
        };
        let for_first = call
            .first_event_deadline()
            .checked_sub(least(|times| &times.first_event));
        let for_last = call.deadline.checked_sub(least(|times| &times.whole));
        let for_first = for_first.unwrap_or(call.arrived);
        for_first.min(for_last.unwrap_or(call.arrived))
    }
}
