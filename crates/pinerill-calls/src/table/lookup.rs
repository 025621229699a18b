//! Finds the route of a call.

use std::collections::HashMap;
use std::sync::Arc;

use super::{Route, RouteTable, Target};

/// A table with an index by host; shared by all calls under it.
#[derive(Debug)]
pub struct RouteIndex {
    table: RouteTable,
    routes: Vec<Arc<Route>>,
    /// Positions in `routes` by host, the longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
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
        let name = host.split(':').next().unwrap_or_default();
        let positions = match self.by_host.get(name) {
            Some(positions) => positions,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        positions
            .iter()
            .map(|position| &self.routes[*position])
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }
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
