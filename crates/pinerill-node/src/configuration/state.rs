//! Which bundle is in force here and until when it may be relied on.
//!
//! Pure: the shell says when a watch was sent and what came back.

use std::sync::Arc;

use pinerill_types::bundle::{BundleChange, EntryIndex};
use pinerill_types::Digest;
use pinerill_wire::codec::EncodedBundle;
use pinerill_wire::message::{BundleUpdate, WatchResponse};

use super::catalog::Catalog;

/// What became of a watch's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// A new version is in force.
    Changed {
        /// The version before; none at the first one.
        from: Option<u64>,
        /// The version now.
        to: u64,
    },
    /// Nothing new.
    Unchanged,
    /// The answer is older than what is in force, and was ignored.
    Outdated(u64),
    /// The update does not fit; the next watch asks for a snapshot.
    Invalid(String),
}

/// The bundle in force and its lease.
#[derive(Debug, Default)]
pub struct ConfigurationState {
    catalog: Option<Arc<Catalog>>,
    /// Verifies changes; of the same bundle as the catalog. None after a
    /// change that did not fit: the next watch asks for a snapshot.
    index: Option<EntryIndex>,
    lease_until_ms: u64,
}

impl ConfigurationState {
    /// The bundle in force, if any version was ever confirmed.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// What the next watch names as the bundle's version and digest. A node
    /// without a usable base names the zero digest and gets a snapshot.
    pub fn watch_base(&self) -> (u64, Digest) {
        match &self.catalog {
            Some(catalog) if self.index.is_some() => (catalog.version, catalog.digest),
            Some(catalog) => (catalog.version, Digest::default()),
            None => (0, Digest::default()),
        }
    }

    /// When the lease ends, in milliseconds of the shell's clock.
    pub fn lease_until_ms(&self) -> u64 {
        self.lease_until_ms
    }

    /// Takes in the answer to the watch that was sent at `sent_ms`.
    pub fn apply_response(&mut self, sent_ms: u64, response: &WatchResponse) -> WatchOutcome {
        let current = self.catalog.as_ref().map(|one| one.version);
        if current.is_some_and(|version| response.version < version) {
            return WatchOutcome::Outdated(response.version);
        }
        let taken = match &response.bundle {
            None => WatchOutcome::Unchanged,
            Some(update) => self.apply_update(update, response),
        };
        self.renew_lease(sent_ms, response);
        taken
    }

    fn apply_update(&mut self, update: &BundleUpdate, response: &WatchResponse) -> WatchOutcome {
        let current = self.catalog.as_ref().map(|one| one.version);
        if current.is_none() && !response.confirmed {
            return WatchOutcome::Unchanged;
        }
        match update {
            BundleUpdate::Snapshot(bundle) => self.apply_snapshot(current, bundle),
            BundleUpdate::Changes(changes) => self.apply_changes(current, changes),
        }
    }

    fn apply_snapshot(&mut self, current: Option<u64>, bundle: &EncodedBundle) -> WatchOutcome {
        let to = bundle.version();
        if current.is_some_and(|version| to < version) {
            return WatchOutcome::Outdated(to);
        }
        let (catalog, index) = match Catalog::decode(bundle) {
            Ok(read) => read,
            Err(error) => return WatchOutcome::Invalid(error.to_string()),
        };
        let held = self.catalog.as_ref();
        if current == Some(to) && held.is_some_and(|held| held.digest != catalog.digest) {
            // One version has one content: another content under it is a
            // fault of the sender and changes nothing here.
            return WatchOutcome::Invalid("another bundle under the version in force".to_owned());
        }
        self.index = Some(index);
        if current == Some(to) {
            return WatchOutcome::Unchanged;
        }
        self.catalog = Some(Arc::new(catalog));
        WatchOutcome::Changed { from: current, to }
    }

    fn apply_changes(&mut self, current: Option<u64>, changes: &[BundleChange]) -> WatchOutcome {
        match self.catalog_with_changes(changes) {
            Ok(next) if current == Some(next.version) => WatchOutcome::Unchanged,
            Ok(next) => {
                let to = next.version;
                self.catalog = Some(next);
                WatchOutcome::Changed { from: current, to }
            }
            Err(message) => {
                self.index = None;
                WatchOutcome::Invalid(message)
            }
        }
    }

    /// Only changes whose result has the digest that they name are taken.
    fn catalog_with_changes(&mut self, changes: &[BundleChange]) -> Result<Arc<Catalog>, String> {
        let mut catalog = self.catalog.clone().ok_or("changes without a base")?;
        let index = self.index.as_mut().ok_or("changes without a base")?;
        for change in changes {
            index.apply(change).map_err(|error| error.to_string())?;
            let next = catalog.with_change(change);
            catalog = Arc::new(next.map_err(|error| error.to_string())?);
        }
        Ok(catalog)
    }

    /// The lease counts from when the confirmed watch was sent, and only when
    /// the version it confirmed is the one in force here.
    fn renew_lease(&mut self, sent_ms: u64, response: &WatchResponse) {
        let Some(catalog) = &self.catalog else {
            return;
        };
        if !response.confirmed || catalog.version != response.version {
            return;
        }
        let until = sent_ms + catalog.policy().configuration_lease_ms;
        self.lease_until_ms = self.lease_until_ms.max(until);
    }
}
