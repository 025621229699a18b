//! The meta group as its clients see it.

use pinerill_control::machine::TableReader;
use pinerill_control::meta::{read_history, MetaMachine, PastVersion, UpdateSince};
use pinerill_storage::GroupReader;
use pinerill_types::bundle::Bundle;
use pinerill_types::Digest;
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
    InForce(Option<Box<Bundle>>),
    /// Which bundle took the version; none if the history can't be read.
    Past(Option<PastVersion>),
    /// The answer to a watch, not marked as confirmed; none if this machine
    /// is behind the watcher or knows no bundle.
    Watch(Option<WatchResponse>),
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
                BundleView::InForce(bundle.map(|one| Box::new(one.bundle().clone())))
            }
            BundleQuery::Past { version } => {
                BundleView::Past(read_history(&StoredTable(table), *version).ok())
            }
            BundleQuery::Watch { version, digest } => {
                BundleView::Watch(watch(machine, *version, *digest))
            }
        }
    }
}

fn watch(machine: &MetaMachine, version: u64, digest: Digest) -> Option<WatchResponse> {
    let bundle = machine.bundle()?;
    let update = match machine.update_since(version, digest)? {
        UpdateSince::Same => None,
        UpdateSince::Changes(changes) => Some(BundleUpdate::Changes(changes)),
        UpdateSince::Snapshot => Some(BundleUpdate::Snapshot(Box::new(bundle.bundle().clone()))),
        UpdateSince::Ahead => return None,
    };
    Some(WatchResponse {
        confirmed: false,
        version: bundle.version(),
        bundle: update,
        directory: None,
    })
}
