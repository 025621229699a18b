//! The hash tree of a bundle without the bundle, for whoever keeps what it
//! needs of the entries in another shape.

use super::change::{BundleChange, ChangeError};
use super::document::Bundle;
use super::entry::{Entry, EntryKey};
use super::indexed::check_key;
use super::tree::EntryTree;
use crate::id::Digest;

/// An index that takes in a whole bundle entry after entry.
#[derive(Debug)]
pub struct EntryIndexBuilder {
    version: u64,
    tree: EntryTree,
}

impl EntryIndexBuilder {
    /// Adds an entry.
    ///
    /// # Errors
    /// When its value is not of its section's type.
    pub fn add(&mut self, entry: &Entry) -> Result<(), ChangeError> {
        check_key(&entry.key)?;
        let value = canonical_value(entry)?;
        self.tree.set(&entry.key, &value);
        Ok(())
    }

    /// The index over all entries.
    pub fn finish(mut self) -> EntryIndex {
        let digest = self.tree.root(self.version);
        EntryIndex {
            version: self.version,
            tree: self.tree,
            digest,
        }
    }
}

/// Version, digest and hash tree of a bundle.
#[derive(Debug, Clone)]
pub struct EntryIndex {
    version: u64,
    tree: EntryTree,
    digest: Digest,
}

impl EntryIndex {
    /// Begins the index of a bundle that comes entry after entry.
    pub fn build(version: u64) -> EntryIndexBuilder {
        EntryIndexBuilder {
            version,
            tree: EntryTree::new(std::iter::empty()),
        }
    }

    /// The index of a bundle.
    pub fn new(bundle: &Bundle) -> Self {
        let mut tree = EntryTree::new(bundle.iter_entries());
        let digest = tree.root(bundle.version);
        Self {
            version: bundle.version,
            tree,
            digest,
        }
    }

    /// Version of the bundle.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Its digest.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Takes in a change that was accepted before, and verifies its digest.
    ///
    /// # Errors
    /// When the base, an entry or the result is not what the change says; the
    /// index is then as it was.
    pub fn apply(&mut self, change: &BundleChange) -> Result<(), ChangeError> {
        if self.digest != change.base {
            return Err(ChangeError::OtherBase {
                wanted: change.base,
                found: self.digest,
            });
        }
        let mut undo = Vec::new();
        let result = self.edit(change, &mut undo).and_then(|()| {
            let found = self.tree.root(change.version);
            let wanted = change.digest;
            if found == wanted {
                return Ok(());
            }
            Err(ChangeError::OtherResult { wanted, found })
        });
        if result.is_ok() {
            self.version = change.version;
            self.digest = change.digest;
            return result;
        }
        // From the last edit to the first: a key may have been edited twice.
        for (key, leaf) in undo.into_iter().rev() {
            self.tree.restore(&key, leaf);
        }
        result
    }

    fn edit(
        &mut self,
        change: &BundleChange,
        undo: &mut Vec<(EntryKey, Option<Digest>)>,
    ) -> Result<(), ChangeError> {
        for key in &change.removed {
            check_key(key)?;
            undo.push((key.clone(), self.tree.leaf(key)));
            self.tree.remove(key);
        }
        for entry in &change.set {
            check_key(&entry.key)?;
            let value = canonical_value(entry)?;
            undo.push((entry.key.clone(), self.tree.leaf(&entry.key)));
            self.tree.set(&entry.key, &value);
        }
        Ok(())
    }
}

/// The value as a bundle would write it.
fn canonical_value(entry: &Entry) -> Result<String, ChangeError> {
    let mut alone = Bundle::default();
    alone.set_entry(entry).map_err(|error| ChangeError::Entry {
        name: entry.key.name.clone(),
        message: error.to_string(),
    })?;
    Ok(alone.entry(&entry.key).unwrap_or_default())
}
