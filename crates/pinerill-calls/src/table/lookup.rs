//! Lookup of the route of a call and of the tenant of a key.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use pinerill_types::KeyHash;

use super::{Route, RouteTable, Target, Tenant};

impl RouteTable {
    /// Returns the same route as [`RouteIndex::route`], by a search of all routes.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split(':').next().unwrap_or_default();
        let of_host = self.routes.iter().filter(|route| {
            route.host.eq_ignore_ascii_case(name) && path.starts_with(route.path_prefix.as_str())
        });
        of_host.max_by_key(|route| route.path_prefix.len())
    }
}

/// A route table with indexes by host and by key. All calls under the table share it.
#[derive(Debug)]
pub struct RouteIndex {
    table: RouteTable,
    routes: Vec<Arc<Route>>,
    /// Positions in `routes` by host, in descending order of the prefix length.
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<KeyHash, Arc<Tenant>>,
}

impl RouteIndex {
    /// Builds the indexes of a table that passed [`RouteTable::check`].
    pub fn new(table: RouteTable) -> Self {
        let routes: Vec<Arc<Route>> = table.routes.iter().cloned().map(Arc::new).collect();
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (position, route) in routes.iter().enumerate() {
            by_host
                .entry(route.host.clone())
                .or_default()
                .push(position);
        }
        for positions in by_host.values_mut() {
            positions
                .sort_by_key(|position| std::cmp::Reverse(routes[*position].path_prefix.len()));
        }
        RouteIndex {
            by_key: tenants_by_key(&table),
            table,
            routes,
            by_host,
        }
    }

    /// Returns the indexed table.
    pub fn table(&self) -> &RouteTable {
        &self.table
    }

    /// Returns the route of the host with the longest prefix that matches the path; `None` if
    /// there is none. `host` may contain a port and upper-case letters.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes_for_host(host)
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Returns the routes of a host in descending order of the prefix length. `host` may contain
    /// a port and upper-case letters.
    pub(super) fn routes_for_host(&self, host: &str) -> impl Iterator<Item = &Arc<Route>> {
        let name = host.split(':').next().unwrap_or_default();
        let positions = self
            .by_host
            .get(name)
            .or_else(|| self.by_host.get(&name.to_ascii_lowercase()));
        positions
            .into_iter()
            .flatten()
            .map(|position| &self.routes[*position])
    }

    /// Returns the services to which all streams of a route go now, though some went to another
    /// service under the earlier table.
    pub fn services_moved_to(&self, earlier: &RouteIndex) -> BTreeSet<&str> {
        let routes = self.routes.iter().chain(&earlier.routes);
        let moved = routes.filter_map(|route| {
            let before = earlier.route(&route.host, &route.path_prefix)?;
            let after = self.route(&route.host, &route.path_prefix)?;
            let service = after.only_service().filter(|_| after.kind.is_stream())?;
            let mut before = before.services_in_use();
            before.any(|other| other != service).then_some(service)
        });
        moved.collect()
    }

    /// Returns the tenant that owns the key; `None` if the key is unknown.
    pub(super) fn tenant_with_key(&self, key: &KeyHash) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }
}

fn tenants_by_key(table: &RouteTable) -> HashMap<KeyHash, Arc<Tenant>> {
    let mut by_key = HashMap::new();
    for tenant in table.tenants.iter().flatten() {
        let shared = Arc::new(tenant.clone());
        by_key.extend(tenant.keys.iter().map(|key| (*key, shared.clone())));
    }
    by_key
}

impl Route {
    /// Returns the services that calls of the route go to, each once per target.
    pub fn services_in_use(&self) -> impl Iterator<Item = &str> {
        let targets = self.targets.iter();
        let in_use = targets.filter(|target| target.weight > 0);
        in_use.map(|target| target.service.as_str())
    }

    /// Returns the service that all calls of the route go to; `None` if there are several.
    pub fn only_service(&self) -> Option<&str> {
        let mut services = self.services_in_use();
        let first = services.next()?;
        services.all(|service| service == first).then_some(first)
    }

    /// Selects a target by weight. `point` is reduced modulo the sum of the weights, so random
    /// numbers select targets in proportion to their weights. Returns `None` if the sum is 0.
    pub fn target_at(&self, point: u64) -> Option<&Target> {
        self.target_among(point, |_| true)
    }

    /// Like [`Self::target_at`], among the targets that `is_eligible` accepts.
    pub fn target_among(
        &self,
        point: u64,
        is_eligible: impl Fn(&Target) -> bool,
    ) -> Option<&Target> {
        let eligible = || self.targets.iter().filter(|target| is_eligible(target));
        let total: u64 = eligible().map(|target| target.weight).sum();
        let mut offset = point.checked_rem(total)?;
        eligible().find(|target| {
            let is_selected = offset < target.weight;
            offset = offset.saturating_sub(target.weight);
            is_selected
        })
    }
}
