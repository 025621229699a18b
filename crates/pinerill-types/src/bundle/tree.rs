//! Hash tree over a bundle's entries.
//!
//! Entries are spread over [`BUCKETS`] buckets by the hash of their key. A
//! changed entry costs one leaf, one bucket and the root, so a change among
//! tens of thousands of tenants does not hash them all.

use std::collections::BTreeMap;

use sha2::{Digest as _, Sha256};

use super::entry::EntryKey;
use crate::id::Digest;

/// How many buckets: one per value of the first byte of a key's hash.
const BUCKETS: usize = 256;
/// First bytes of the hash of a key.
const KEY_DOMAIN: &[u8] = b"pinerill-bundle-2-key";
/// First bytes of the hash of an entry.
const LEAF_DOMAIN: &[u8] = b"pinerill-bundle-2-leaf";
/// First bytes of the hash of a bucket.
const BUCKET_DOMAIN: &[u8] = b"pinerill-bundle-2-bucket";
/// First bytes of the hash of a bundle.
const ROOT_DOMAIN: &[u8] = b"pinerill-bundle-2-root";

/// Leaves that share the first byte of their key's hash.
#[derive(Debug, Clone, Default)]
struct Bucket {
    leaves: BTreeMap<EntryKey, Digest>,
    /// Hash over the leaves; none when they changed since.
    digest: Option<Digest>,
}

/// Hash tree over entries.
#[derive(Debug, Clone)]
pub(super) struct EntryTree {
    buckets: Vec<Bucket>,
}

impl EntryTree {
    /// The tree over `entries`.
    pub(super) fn new(entries: impl Iterator<Item = (EntryKey, String)>) -> Self {
        let mut tree = Self {
            buckets: vec![Bucket::default(); BUCKETS],
        };
        for (key, value) in entries {
            tree.set(&key, &value);
        }
        tree
    }

    /// Sets the leaf of one entry.
    pub(super) fn set(&mut self, key: &EntryKey, value: &str) {
        let bucket = self.bucket_of(key);
        bucket.digest = None;
        bucket.leaves.insert(key.clone(), leaf_digest(key, value));
    }

    /// Removes the leaf of one entry.
    pub(super) fn remove(&mut self, key: &EntryKey) {
        let bucket = self.bucket_of(key);
        bucket.digest = None;
        bucket.leaves.remove(key);
    }

    /// Puts a leaf back as it was.
    pub(super) fn restore(&mut self, key: &EntryKey, leaf: Option<Digest>) {
        let bucket = self.bucket_of(key);
        bucket.digest = None;
        match leaf {
            Some(leaf) => bucket.leaves.insert(key.clone(), leaf),
            None => bucket.leaves.remove(key),
        };
    }

    /// The leaf of one entry.
    pub(super) fn leaf(&mut self, key: &EntryKey) -> Option<Digest> {
        self.bucket_of(key).leaves.get(key).copied()
    }

    /// Digest of the bundle with these entries and `version`.
    pub(super) fn root(&mut self, version: u64) -> Digest {
        let mut hasher = Sha256::new();
        hasher.update(ROOT_DOMAIN);
        hasher.update(version.to_be_bytes());
        for bucket in &mut self.buckets {
            hasher.update(bucket.digest().0);
        }
        Digest(hasher.finalize().into())
    }

    fn bucket_of(&mut self, key: &EntryKey) -> &mut Bucket {
        let mut hasher = Sha256::new();
        hasher.update(KEY_DOMAIN);
        hash_key(&mut hasher, key);
        let number = usize::from(hasher.finalize()[0]);
        &mut self.buckets[number]
    }
}

impl Bucket {
    fn digest(&mut self) -> Digest {
        if let Some(digest) = self.digest {
            return digest;
        }
        let mut hasher = Sha256::new();
        hasher.update(BUCKET_DOMAIN);
        for leaf in self.leaves.values() {
            hasher.update(leaf.0);
        }
        let digest = Digest(hasher.finalize().into());
        self.digest = Some(digest);
        digest
    }
}

fn leaf_digest(key: &EntryKey, value: &str) -> Digest {
    let mut hasher = Sha256::new();
    hasher.update(LEAF_DOMAIN);
    hash_key(&mut hasher, key);
    hash_text(&mut hasher, value);
    Digest(hasher.finalize().into())
}

fn hash_key(hasher: &mut Sha256, key: &EntryKey) {
    hasher.update([key.kind as u8]);
    hash_text(hasher, &key.name);
}

/// The length goes first, so that no two sequences of texts hash alike.
fn hash_text(hasher: &mut Sha256, text: &str) {
    hasher.update((text.len() as u64).to_be_bytes());
    hasher.update(text.as_bytes());
}
