//! The configuration bundle in force at this node and the lease that says until
//! when it counts as confirmed.
//!
//! Performs no I/O: the caller passes in each watch response and the time at
//! which the watch was sent.

use std::sync::Arc;

use pinerill_types::bundle::{BundleChange, EntryIndex};
use pinerill_types::Digest;
use pinerill_wire::codec::EncodedBundle;
use pinerill_wire::message::{BundleUpdate, WatchResponse};

use super::catalog::Catalog;

/// Result of applying a watch response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// A new version is in force.
    Changed {
        /// Previous version; None if this is the first one.
        from: Option<u64>,
        /// Version that is now in force.
        to: u64,
    },
    /// The response leaves the bundle as it was.
    Unchanged,
    /// The response was ignored because its version, given here, is lower than
    /// the one in force.
    Outdated(u64),
    /// The bundle of the response was rejected for the reason given here. The
    /// bundle in force stays. After an invalid change the next watch requests a
    /// snapshot.
    Invalid(String),
}

/// The configuration bundle in force and its lease.
#[derive(Debug, Default)]
pub struct ConfigurationState {
    catalog: Option<Arc<Catalog>>,
    /// Index of the bundle in the catalog, which verifies changes. None after a
    /// change failed verification, so that the next watch requests a snapshot.
    index: Option<EntryIndex>,
    lease_until_ms: u64,
}

impl ConfigurationState {
    /// Returns the bundle in force, or None until a version is confirmed.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns the bundle version and digest to send in the next watch. The
    /// digest is zero if there is no base for changes, which makes control send a
    /// snapshot.
    pub fn watch_base(&self) -> (u64, Digest) {
        match &self.catalog {
            Some(catalog) if self.index.is_some() => (catalog.version, catalog.digest),
            Some(catalog) => (catalog.version, Digest::default()),
            None => (0, Digest::default()),
        }
    }

    /// Returns the end of the lease in milliseconds of the caller's clock; 0
    /// before the first lease.
    pub fn lease_until_ms(&self) -> u64 {
        self.lease_until_ms
    }

    /// Applies the response to the watch that was sent at `sent_ms`, and renews
    /// the lease if the response confirms the version in force. A response with
    /// a lower version than that is ignored.
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
            // A version never changes its content, so different content under
            // the same version is an error of the sender and is rejected.
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

    /// Returns the catalog after the given changes. Each change must lead to the
    /// digest that it names.
    ///
    /// # Errors
    /// When there is no base, or a change fails verification or can't be
    /// parsed. The index may then include some of the changes.
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

    /// Extends the lease if the response confirms the version in force here. The
    /// lease counts from when the watch was sent, not from the response.
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
