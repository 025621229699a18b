//! Wakes lease requests when items become available that their nodes can start.

use std::collections::HashMap;
use std::sync::Arc;

use futures::future::select_all;
use parking_lot::Mutex;
use pinerill_calls::message::ServiceCapacity;
use pinerill_calls::table::RouteTable;
use pinerill_process::clock::{sleep_until, timeout_at, BootTime};
use tokio::sync::Notify;

/// Number of services for which waiting requests are kept apart. When a further one appears, those
/// that nobody waits for are forgotten.
const MAX_SERVICES: usize = 1_024;

/// Lease requests that wait for items.
#[derive(Debug, Default)]
pub(super) struct AvailableItems {
    services: Mutex<HashMap<String, Arc<Notify>>>,
    /// Requests that do not state services.
    any: Arc<Notify>,
}

impl AvailableItems {
    /// Wakes one request for each of `count` items of a route. If the services of the route are not
    /// known, wakes requests for any.
    pub(super) fn announce(&self, table: Option<&RouteTable>, route: &str, count: usize) {
        let mut routes = table.iter().flat_map(|table| &table.routes);
        let route = routes.find(|one| one.name == route);
        let mut woken = vec![self.any.clone()];
        let services = self.services.lock();
        match route {
            Some(route) => {
                let targets = route.targets.iter().filter(|target| target.weight > 0);
                woken.extend(targets.filter_map(|target| services.get(&target.service).cloned()));
            }
            None => woken.extend(services.values().cloned()),
        }
        drop(services);
        for _ in 0..count {
            for waiting in &woken {
                waiting.notify_one();
            }
        }
    }

    /// Waits until an item of one of these services becomes available, or until a point in time.
    pub(super) async fn wait(&self, services: Option<&[ServiceCapacity]>, until: BootTime) {
        let waiting: Vec<_> = match services {
            Some(services) => services.iter().map(|one| self.of(&one.service)).collect(),
            None => vec![self.any.clone()],
        };
        let waiting = waiting.into_iter();
        let waiting: Vec<_> = waiting.map(|one| Box::pin(one.notified_owned())).collect();
        if waiting.is_empty() {
            return sleep_until(until).await;
        }
        // Passing of the deadline is for the caller to check.
        let _ = timeout_at(until, select_all(waiting)).await;
    }

    fn of(&self, service: &str) -> Arc<Notify> {
        let mut services = self.services.lock();
        if let Some(known) = services.get(service) {
            return known.clone();
        }
        if services.len() >= MAX_SERVICES {
            services.retain(|_, one| Arc::strong_count(one) > 1);
        }
        let added = Arc::new(Notify::new());
        services.insert(service.to_owned(), added.clone());
        added
    }
}
