//! The meta group as its clients see it.

use pinerill_control::machine::TableReader;
use pinerill_control::meta::{read_history, MetaMachine, PastVersion, UpdateSince};
use pinerill_storage::GroupReader;
use pinerill_types::bundle::IndexedBundle;
use pinerill_types::Digest;
use pinerill_wire::codec::EncodedBundle;
use pinerill_wire::message::{BundleUpdate, WatchResponse};

use crate::cluster::GroupService;

/// The meta group.
pub struct BundleService;

/// What clients ask of it.
#[derive(Clone, Debug)]
pub enum BundleQuery {
    /// The bundle in force.
    InForce,
    /// Which bundle took a version.
    Past {
        /// The version.
        version: u64,
    },
    /// What a watcher with this bundle gets.
    Watch {
        /// Its version.
        version: u64,
        /// Its digest.
        digest: Digest,
    },
}

/// What clients are answered.
#[derive(Clone, Debug)]
pub enum BundleView {
    /// The bundle in force; none before the cluster is founded.
    InForce(Option<Box<IndexedBundle>>),
    /// Which bundle took the version; none if the history can't be read.
    Past(Option<PastVersion>),
    /// The answer to a watch, not marked as confirmed.
    Watch(WatchView),
}

/// What a control machine has for a watcher.
#[derive(Clone, Debug)]
pub enum WatchView {
    /// An answer.
    Answer(WatchResponse),
    /// The watcher has a newer bundle than this one, so it is refused.
    Behind(WatchResponse),
    /// There is no bundle yet.
    NotFounded,
}

/// The group's table as the meta machine's functions read it.
struct StoredTable<'a>(&'a dyn GroupReader);

impl TableReader for StoredTable<'_> {
    fn get(&self, key: &[u8]) -> anyhow::Result<Option<Vec<u8>>> {
        Ok(self.0.get(key)?)
    }
}

impl GroupService for BundleService {
    type Machine = MetaMachine;
    type Query = BundleQuery;
    type View = BundleView;

    fn read(query: &BundleQuery, machine: &MetaMachine, table: &dyn GroupReader) -> BundleView {
        match query {
            BundleQuery::InForce => {
                let bundle = machine.bundle();
                BundleView::InForce(bundle.map(|one| Box::new(one.clone())))
            }
            BundleQuery::Past { version } => {
                BundleView::Past(read_history(&StoredTable(table), *version).ok())
            }
            BundleQuery::Watch { version, digest } => {
                let view = watch(machine, *version, *digest);
                BundleView::Watch(view.unwrap_or(WatchView::NotFounded))
            }
        }
    }
}

fn watch(machine: &MetaMachine, version: u64, digest: Digest) -> Option<WatchView> {
    let bundle = machine.bundle()?;
    let whole = || BundleUpdate::Snapshot(EncodedBundle::from(bundle.bundle()));
    let since = machine.update_since(version, digest)?;
    let behind = since == UpdateSince::Ahead;
    let update = match since {
        UpdateSince::Same => None,
        UpdateSince::Changes(changes) => Some(BundleUpdate::Changes(changes)),
        UpdateSince::Snapshot | UpdateSince::Ahead => Some(whole()),
    };
    let response = WatchResponse {
        confirmed: false,
        version: bundle.version(),
        bundle: update,
        directory: None,
    };
    Some(if behind {
        WatchView::Behind(response)
    } else {
        WatchView::Answer(response)
    })
}
