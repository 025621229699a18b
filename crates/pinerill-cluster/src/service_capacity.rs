//! The items that a node can still start while it is granted leases, by service. Pure.
//!
//! The leader knows which services the items of a route may run at. If it went by due time alone,
//! the first items of the queue would take all leases of a node, also where their service has no
//! free slot and another one has.

use std::collections::HashMap;

use pinerill_calls::message::ServiceCapacity;
use pinerill_calls::table::{Route, RouteTable};

/// Remaining capacity of one node during one decision.
#[derive(Debug)]
pub struct RemainingCapacity<'a> {
    /// Number of items by service, and the table that names the services of routes; `None` if items
    /// of any service may be leased.
    limits: Option<(HashMap<&'a str, u32>, &'a RouteTable)>,
}

impl<'a> RemainingCapacity<'a> {
    /// Starts with what the node has stated. Everything may be leased if it states nothing, as older
    /// builds do, or if no table names the services of routes.
    pub fn new(stated: Option<&'a [ServiceCapacity]>, table: Option<&'a RouteTable>) -> Self {
        let services = stated.map(|stated| {
            let services = stated.iter();
            let services = services.map(|one| (one.service.as_str(), one.items));
            services.collect()
        });
        RemainingCapacity {
            limits: services.zip(table),
        }
    }

    /// Returns whether an item of the route can be started at one of its services. Items of a route
    /// that the table does not contain can't.
    pub fn allows(&self, route: &str) -> bool {
        self.limits.is_none() || self.roomiest_service(route).is_some()
    }

    /// Counts an item of the route at the service with the most capacity left, which is where the
    /// node is likely to start it. Returns false if there is none.
    pub fn take(&mut self, route: &str) -> bool {
        let service = self.roomiest_service(route);
        let Some((services, _)) = &mut self.limits else {
            return true;
        };
        let items = service.and_then(|service| services.get_mut(service));
        items.map(|items| *items -= 1).is_some()
    }

    fn roomiest_service(&self, route: &str) -> Option<&'a str> {
        let (services, table) = self.limits.as_ref()?;
        let mut routes = table.routes.iter();
        let route: &'a Route = routes.find(|one| one.name == route)?;
        let targets = route.targets.iter().filter(|target| target.weight > 0);
        let left = targets.filter_map(|target| {
            let items = *services.get(target.service.as_str())?;
            (items > 0).then_some((items, target.service.as_str()))
        });
        left.max_by_key(|(items, _)| *items)
            .map(|(_, service)| service)
    }
}
