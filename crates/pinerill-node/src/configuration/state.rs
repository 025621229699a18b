//! Which bundle is in force here and until when it may be relied on.
//!
//! Pure: the shell says when a watch was sent and what came back.

use std::sync::Arc;

use pinerill_types::bundle::Bundle;
use pinerill_types::Digest;
use pinerill_wire::message::{BundleUpdate, WatchResponse};

use super::catalog::Catalog;

/// What became of a watch's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Taken {
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
    Older(u64),
    /// The update does not fit; the next watch asks for a snapshot.
    Unfit(String),
}

/// The bundle in force and its lease.
#[derive(Debug, Default)]
pub struct ConfigurationState {
    catalog: Option<Arc<Catalog>>,
    lease_until_ms: u64,
    wants_snapshot: bool,
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
            Some(catalog) if !self.wants_snapshot => (catalog.bundle.version, catalog.digest),
            Some(catalog) => (catalog.bundle.version, Digest::default()),
            None => (0, Digest::default()),
        }
    }

    /// When the lease ends, in milliseconds of the shell's clock.
    pub fn lease_until_ms(&self) -> u64 {
        self.lease_until_ms
    }

    /// Takes in the answer to the watch that was sent at `sent_ms`.
    pub fn take(&mut self, sent_ms: u64, response: &WatchResponse) -> Taken {
        let current = self.catalog.as_ref().map(|one| one.bundle.version);
        if current.is_some_and(|version| response.version < version) {
            return Taken::Older(response.version);
        }
        let taken = match &response.bundle {
            None => Taken::Unchanged,
            Some(update) => self.apply(update, response),
        };
        self.renew(sent_ms, response);
        taken
    }

    fn apply(&mut self, update: &BundleUpdate, response: &WatchResponse) -> Taken {
        let current = self.catalog.as_ref().map(|one| one.bundle.version);
        if current.is_none() && !response.confirmed {
            return Taken::Unchanged;
        }
        let next = match self.updated(update) {
            Ok(next) => next,
            Err(message) => {
                self.wants_snapshot = true;
                return Taken::Unfit(message);
            }
        };
        let to = next.version;
        if current.is_some_and(|version| to < version) {
            return Taken::Older(to);
        }
        let digest = next.digest();
        if current == Some(to) {
            return self.same_version(digest);
        }
        self.wants_snapshot = false;
        self.catalog = Some(Arc::new(Catalog::new(next, digest)));
        Taken::Changed { from: current, to }
    }

    /// One version has one content: another content under it is a fault of
    /// the sender and changes nothing here.
    fn same_version(&mut self, digest: Digest) -> Taken {
        let same = self
            .catalog
            .as_ref()
            .is_some_and(|one| one.digest == digest);
        if same {
            self.wants_snapshot = false;
            return Taken::Unchanged;
        }
        Taken::Unfit("another bundle under the version in force".to_owned())
    }

    fn updated(&self, update: &BundleUpdate) -> Result<Bundle, String> {
        match update {
            BundleUpdate::Snapshot(bundle) => Ok((**bundle).clone()),
            BundleUpdate::Changes(changes) => {
                let catalog = self.catalog.as_ref().ok_or("changes without a base")?;
                let mut bundle = catalog.bundle.clone();
                for change in changes {
                    bundle = bundle
                        .with_change(change)
                        .map_err(|error| error.to_string())?;
                }
                Ok(bundle)
            }
        }
    }

    /// The lease counts from when the confirmed watch was sent, and only when
    /// the version it confirmed is the one in force here.
    fn renew(&mut self, sent_ms: u64, response: &WatchResponse) {
        let Some(catalog) = &self.catalog else {
            return;
        };
        if !response.confirmed || catalog.bundle.version != response.version {
            return;
        }
        let until = sent_ms + catalog.bundle.policy.configuration_lease_ms;
        self.lease_until_ms = self.lease_until_ms.max(until);
    }
}
