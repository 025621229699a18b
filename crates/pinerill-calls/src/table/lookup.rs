//! Finds the route of a call.

use std::collections::HashMap;
use std::sync::Arc;

use pinerill_types::KeyHash;

use super::{Route, RouteTable, Target, Tenant};

/// A table with an index by host; shared by all calls under it.
#[derive(Debug)]
pub struct RouteIndex {
    table: RouteTable,
    routes: Vec<Arc<Route>>,
    /// Positions in `routes` by host, the longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<KeyHash, Arc<Tenant>>,
}

impl RouteIndex {
    /// Indexes a table that was checked.
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
            by_key: by_key(&table),
            table,
            routes,
            by_host,
        }
    }

    /// The table.
    pub fn table(&self) -> &RouteTable {
        &self.table
    }

    /// Of the host's routes, the one with the longest prefix that begins the
    /// path. `host` may hold a port and capitals.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes_of(host)
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// The host's routes, the longest prefix first.
    pub(super) fn routes_of(&self, host: &str) -> impl Iterator<Item = &Arc<Route>> {
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

    /// The tenant that has a key.
    pub(super) fn tenant_of(&self, key: &KeyHash) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }
}

fn by_key(table: &RouteTable) -> HashMap<KeyHash, Arc<Tenant>> {
    let mut by_key = HashMap::new();
    for tenant in table.tenants.iter().flatten() {
        let shared = Arc::new(tenant.clone());
        by_key.extend(tenant.keys.iter().map(|key| (*key, shared.clone())));
    }
    by_key
}

impl Route {
    /// The target at a point of the summed weights; `point` may be any number.
    pub fn target_at(&self, point: u64) -> Option<&Target> {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = point.checked_rem(total)?;
        self.targets.iter().find(|target| {
            let here = left < target.weight;
            left = left.saturating_sub(target.weight);
            here
        })
    }
}
