//! The merged view, with the revision of each record's last change.

use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;
use std::sync::atomic::{AtomicU64, Ordering};

use pinerill_types::{NodeName, WorkerName, ZoneName};
use pinerill_wire::message::{DirectoryUpdate, GroupRecord, NodeRecord, WorkerRecord};

/// Removals that are remembered; a watcher from before the oldest gets all.
const REMOVALS_LIMIT: usize = 8_192;

/// How many records are listed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Listed {
    /// Workers.
    pub workers: usize,
    /// Nodes.
    pub nodes: usize,
    /// Groups.
    pub groups: usize,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Key {
    Worker(WorkerName),
    Node(NodeName),
    Group(u32),
}

/// Whom a record concerns.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Scope {
    /// Every watcher.
    All,
    /// Watchers of a zone.
    Zone(ZoneName),
}

/// Keys by the revision of their last change.
type Order = BTreeMap<u64, Key>;

/// Records and the order in which they changed.
///
/// Each zone has an order of its own: a watcher looks at each wake, and with
/// one order for all it would look through the records of every zone.
///
/// Invariant: `orders` and `changed_at` are inverse to each other; a key in
/// them without a record was removed at that revision.
#[derive(Debug, Default)]
pub(super) struct Listing {
    revision: u64,
    /// Revision of the last change of a worker.
    workers_revision: u64,
    /// Removals up to this revision are forgotten.
    forgotten: u64,
    orders: BTreeMap<Scope, Order>,
    changed_at: HashMap<Key, (u64, Scope)>,
    /// Revisions of removals, oldest first.
    removals: BTreeMap<u64, Key>,
    workers: BTreeMap<WorkerName, WorkerRecord>,
    nodes: BTreeMap<NodeName, NodeRecord>,
    groups: BTreeMap<u32, GroupRecord>,
    /// Records that watchers' questions have looked at.
    examined: AtomicU64,
}

impl Listing {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn workers_revision(&self) -> u64 {
        self.workers_revision
    }

    pub(super) fn workers(&self) -> impl Iterator<Item = &WorkerRecord> {
        self.workers.values()
    }

    pub(super) fn group(&self, group: u32) -> Option<&GroupRecord> {
        self.groups.get(&group)
    }

    pub(super) fn listed(&self) -> Listed {
        Listed {
            workers: self.workers.len(),
            nodes: self.nodes.len(),
            groups: self.groups.len(),
        }
    }

    pub(super) fn examined(&self) -> u64 {
        self.examined.load(Ordering::Relaxed)
    }

    pub(super) fn set_worker(&mut self, name: WorkerName, record: Option<WorkerRecord>) {
        let known = record.as_ref().or_else(|| self.workers.get(&name));
        let Some(scope) = known.map(|worker| Scope::Zone(worker.zone.clone())) else {
            return;
        };
        let key = Key::Worker(name.clone());
        let changed = replace(&mut self.workers, name, record);
        self.note(key, scope, changed);
    }

    pub(super) fn set_node(&mut self, name: NodeName, record: Option<NodeRecord>) {
        // Versions are not the watchers' business: with them, each new bundle
        // would send every node's record to every node.
        let record = record.map(|node| NodeRecord {
            bundle_version: 0,
            ..node
        });
        let known = record.as_ref().or_else(|| self.nodes.get(&name));
        let Some(scope) = known.map(|node| Scope::Zone(node.zone.clone())) else {
            return;
        };
        let key = Key::Node(name.clone());
        let changed = replace(&mut self.nodes, name, record);
        self.note(key, scope, changed);
    }

    pub(super) fn set_group(&mut self, group: u32, record: Option<GroupRecord>) {
        let changed = replace(&mut self.groups, group, record);
        self.note(Key::Group(group), Scope::All, changed);
    }

    fn note(&mut self, key: Key, scope: Scope, change: Change) {
        if change == Change::None {
            return;
        }
        self.revision += 1;
        if matches!(key, Key::Worker(_)) {
            self.workers_revision = self.revision;
        }
        let now = (self.revision, scope.clone());
        if let Some((before, old_scope)) = self.changed_at.insert(key.clone(), now) {
            self.forget_change(before, &old_scope);
            self.removals.remove(&before);
        }
        if change == Change::Removed {
            self.removals.insert(self.revision, key.clone());
        }
        let order = self.orders.entry(scope).or_default();
        order.insert(self.revision, key);
        self.forget_old_removals();
    }

    fn forget_change(&mut self, revision: u64, scope: &Scope) {
        if let Some(order) = self.orders.get_mut(scope) {
            order.remove(&revision);
        }
    }

    fn forget_old_removals(&mut self) {
        while self.removals.len() > REMOVALS_LIMIT {
            let Some((revision, key)) = self.removals.pop_first() else {
                return;
            };
            if let Some((_, scope)) = self.changed_at.remove(&key) {
                self.forget_change(revision, &scope);
            }
            self.forgotten = revision;
        }
    }

    /// Changes since a revision; everything without one, or with one from
    /// before what is remembered. The epoch is left to the caller.
    pub(super) fn update_since(
        &self,
        known: Option<u64>,
        zones: &[ZoneName],
    ) -> Option<DirectoryUpdate> {
        let usable = known.filter(|revision| *revision >= self.forgotten);
        let mut update = DirectoryUpdate {
            epoch: 0,
            revision: self.revision,
            full: usable.is_none(),
            workers: Vec::new(),
            removed_workers: Vec::new(),
            nodes: Vec::new(),
            removed_nodes: Vec::new(),
            groups: Vec::new(),
        };
        let after = usable.unwrap_or(0);
        for order in self.orders_of(zones) {
            let changed = order.range((Bound::Excluded(after), Bound::Unbounded));
            for (_, key) in changed {
                self.examined.fetch_add(1, Ordering::Relaxed);
                self.add(&mut update, key);
            }
        }
        let has_news = update.full || !is_empty(&update);
        has_news.then_some(update)
    }

    /// The orders that concern a watcher of `zones`; all when there are none.
    fn orders_of<'a>(&'a self, zones: &'a [ZoneName]) -> impl Iterator<Item = &'a Order> {
        let wanted = |scope: &Scope| match scope {
            Scope::All => true,
            Scope::Zone(zone) => zones.is_empty() || zones.contains(zone),
        };
        let orders = self.orders.iter();
        orders
            .filter(move |(scope, _)| wanted(scope))
            .map(|(_, order)| order)
    }

    fn add(&self, update: &mut DirectoryUpdate, key: &Key) {
        match key {
            Key::Worker(name) => match self.workers.get(name) {
                Some(worker) => update.workers.push(worker.clone()),
                None if update.full => {}
                None => update.removed_workers.push(name.clone()),
            },
            Key::Node(name) => match self.nodes.get(name) {
                Some(node) => update.nodes.push(node.clone()),
                None if update.full => {}
                None => update.removed_nodes.push(name.clone()),
            },
            Key::Group(group) => update.groups.extend(self.groups.get(group).cloned()),
        }
    }
}

fn is_empty(update: &DirectoryUpdate) -> bool {
    update.workers.is_empty()
        && update.removed_workers.is_empty()
        && update.nodes.is_empty()
        && update.removed_nodes.is_empty()
        && update.groups.is_empty()
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    None,
    Set,
    Removed,
}

fn replace<K: Ord, V: PartialEq>(map: &mut BTreeMap<K, V>, key: K, value: Option<V>) -> Change {
    match value {
        Some(value) if map.get(&key) == Some(&value) => Change::None,
        Some(value) => {
            map.insert(key, value);
            Change::Set
        }
        None if map.remove(&key).is_some() => Change::Removed,
        None => Change::None,
    }
}
