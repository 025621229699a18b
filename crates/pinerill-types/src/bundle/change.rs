//! The difference between a bundle and its base.

use serde::{Deserialize, Serialize};

use super::check::Problem;
use super::document::Bundle;
use super::entry::{Entry, EntryKey};
use crate::id::Digest;

/// What turns the bundle with digest `base` into the one with `digest`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleChange {
    /// Version after the change.
    pub version: u64,
    /// Digest of the bundle that it applies to.
    pub base: Digest,
    /// Digest of the bundle that it yields.
    pub digest: Digest,
    /// Entries that are new or have another value.
    pub set: Vec<Entry>,
    /// Entries that are gone.
    pub removed: Vec<EntryKey>,
}

/// Why a change does not apply.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// It is based on another bundle.
    #[error("the change is based on {wanted}, here is {found}")]
    OtherBase {
        /// The base it names.
        wanted: Digest,
        /// The digest of the bundle it was applied to.
        found: Digest,
    },
    /// A value is not of its section's type.
    #[error("entry `{name}`: {message}")]
    Entry {
        /// Name of the entry.
        name: String,
        /// The parser's message.
        message: String,
    },
    /// The result is not what the change says it yields.
    #[error("the change should yield {wanted} but yields {found}")]
    OtherResult {
        /// The digest it names.
        wanted: Digest,
        /// The digest of the result.
        found: Digest,
    },
    /// The result has problems.
    #[error("the bundle is wrong: {}", list(.problems))]
    Wrong {
        /// All problems.
        problems: Vec<Problem>,
    },
}

fn list(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("; ")
}

impl Bundle {
    /// The change that turns `base` into this bundle.
    pub fn change_from(&self, base: &Bundle) -> BundleChange {
        let old = base.entries();
        let new = self.entries();
        let set = new
            .iter()
            .filter(|(key, value)| old.get(*key) != Some(*value))
            .map(|(key, value)| Entry {
                key: key.clone(),
                value: value.clone(),
            })
            .collect();
        let removed = old
            .keys()
            .filter(|key| !new.contains_key(*key))
            .cloned()
            .collect();
        BundleChange {
            version: self.version,
            base: base.digest(),
            digest: self.digest(),
            set,
            removed,
        }
    }

    /// This bundle with `change` applied, whose digest was verified.
    ///
    /// # Errors
    /// When the base, an entry or the result is not what the change says.
    pub fn with_change(&self, change: &BundleChange) -> Result<Bundle, ChangeError> {
        let found = self.digest();
        if found != change.base {
            return Err(ChangeError::OtherBase {
                wanted: change.base,
                found,
            });
        }
        let mut next = self.clone();
        next.version = change.version;
        for key in &change.removed {
            next.remove_entry(key);
        }
        for entry in &change.set {
            next.set_entry(entry).map_err(|error| ChangeError::Entry {
                name: entry.key.name.clone(),
                message: error.to_string(),
            })?;
        }
        let found = next.digest();
        if found != change.digest {
            return Err(ChangeError::OtherResult {
                wanted: change.digest,
                found,
            });
        }
        Ok(next)
    }
}
