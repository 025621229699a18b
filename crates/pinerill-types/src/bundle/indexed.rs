//! A bundle with its hash tree, changed in place.

use super::change::{BundleChange, ChangeError};
use super::check::{check_change, Problem};
use super::document::Bundle;
use super::entry::{Entry, EntryKey, EntryKind};
use super::tree::EntryTree;
use crate::id::Digest;

/// A bundle that keeps its digest: applying a change costs time in proportion
/// to the change and not to the bundle.
#[derive(Debug, Clone)]
pub struct IndexedBundle {
    bundle: Bundle,
    tree: EntryTree,
    digest: Digest,
}

/// What puts an entry back as it was.
struct Undo {
    key: EntryKey,
    value: Option<String>,
}

impl IndexedBundle {
    /// Computes the hash tree of `bundle`.
    pub fn new(bundle: Bundle) -> Self {
        let mut tree = EntryTree::new(bundle.iter_entries());
        let digest = tree.root(bundle.version);
        Self {
            bundle,
            tree,
            digest,
        }
    }

    /// The bundle.
    pub fn bundle(&self) -> &Bundle {
        &self.bundle
    }

    /// Its digest.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Its version.
    pub fn version(&self) -> u64 {
        self.bundle.version
    }

    /// Applies a change that was accepted before, and verifies its digest.
    ///
    /// # Errors
    /// When the base, an entry or the result is not what the change says; the
    /// bundle is then as it was.
    pub fn apply(&mut self, change: &BundleChange) -> Result<(), ChangeError> {
        self.apply_when(change, |_| Vec::new())
    }

    /// Applies a change that nobody has checked yet.
    ///
    /// # Errors
    /// As [`Self::apply`], and [`ChangeError::Wrong`] when the result has
    /// problems; the bundle is then as it was.
    pub fn apply_checked(&mut self, change: &BundleChange) -> Result<(), ChangeError> {
        self.apply_when(change, |bundle| check_change(bundle, change))
    }

    /// Sets `entries` on top of this bundle and gives the change that does so,
    /// for tools that make changes without a whole document.
    ///
    /// # Errors
    /// When an entry's value is not of its section's type; the bundle is then
    /// as it was.
    pub fn compose(&mut self, entries: Vec<Entry>) -> Result<BundleChange, ChangeError> {
        let base_version = self.bundle.version;
        let mut change = BundleChange {
            version: base_version + 1,
            base: self.digest,
            digest: Digest::default(),
            set: entries,
            removed: Vec::new(),
        };
        let mut undo = Vec::new();
        if let Err(error) = self.edit(&change, &mut undo) {
            self.revert(base_version, undo);
            return Err(error);
        }
        self.digest = self.tree.root(self.bundle.version);
        change.digest = self.digest;
        Ok(change)
    }

    fn apply_when(
        &mut self,
        change: &BundleChange,
        check: impl FnOnce(&Bundle) -> Vec<Problem>,
    ) -> Result<(), ChangeError> {
        if self.digest != change.base {
            return Err(ChangeError::OtherBase {
                wanted: change.base,
                found: self.digest,
            });
        }
        let base_version = self.bundle.version;
        let mut undo = Vec::new();
        let result = self
            .edit(change, &mut undo)
            .and_then(|()| self.verify(change, check));
        if result.is_err() {
            self.revert(base_version, undo);
        }
        result
    }

    fn edit(&mut self, change: &BundleChange, undo: &mut Vec<Undo>) -> Result<(), ChangeError> {
        self.bundle.version = change.version;
        for key in &change.removed {
            check_key(key)?;
            undo.push(self.undo_of(key));
            self.bundle.remove_entry(key);
            self.refresh_leaf(key);
        }
        for entry in &change.set {
            check_key(&entry.key)?;
            undo.push(self.undo_of(&entry.key));
            self.bundle
                .set_entry(entry)
                .map_err(|error| ChangeError::Entry {
                    name: entry.key.name.clone(),
                    message: error.to_string(),
                })?;
            self.refresh_leaf(&entry.key);
        }
        Ok(())
    }

    fn verify(
        &mut self,
        change: &BundleChange,
        check: impl FnOnce(&Bundle) -> Vec<Problem>,
    ) -> Result<(), ChangeError> {
        let found = self.tree.root(self.bundle.version);
        if found != change.digest {
            return Err(ChangeError::OtherResult {
                wanted: change.digest,
                found,
            });
        }
        let problems = check(&self.bundle);
        if !problems.is_empty() {
            return Err(ChangeError::Wrong { problems });
        }
        self.digest = found;
        Ok(())
    }

    /// Steps back from the last edit to the first, since one key may have
    /// been edited twice.
    fn revert(&mut self, version: u64, undo: Vec<Undo>) {
        self.bundle.version = version;
        for step in undo.into_iter().rev() {
            match step.value {
                Some(value) => {
                    let entry = Entry {
                        key: step.key.clone(),
                        value,
                    };
                    self.bundle
                        .set_entry(&entry)
                        .expect("the value was an entry of this bundle");
                }
                None => self.bundle.remove_entry(&step.key),
            }
            self.refresh_leaf(&step.key);
        }
    }

    fn undo_of(&self, key: &EntryKey) -> Undo {
        Undo {
            key: key.clone(),
            value: self.bundle.entry(key),
        }
    }

    fn refresh_leaf(&mut self, key: &EntryKey) {
        match self.bundle.entry(key) {
            Some(value) => self.tree.set(key, &value),
            None => self.tree.remove(key),
        }
    }
}

/// The policy has one entry only: under another name it would change the
/// bundle but no leaf of the tree.
pub(super) fn check_key(key: &EntryKey) -> Result<(), ChangeError> {
    if key.kind == EntryKind::Policy && !key.name.is_empty() {
        return Err(ChangeError::Entry {
            name: key.name.clone(),
            message: "the policy's entry has an empty name".to_owned(),
        });
    }
    Ok(())
}
