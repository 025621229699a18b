//! The versioned bundle: what operators sign and roll out.
//!
//! A bundle is a set of keyed entries. Its [`digest`](Bundle::digest) covers
//! all of them, and a [`BundleChange`] carries only those that differ from
//! its base, so that one change among tens of thousands of tenants costs
//! bytes in proportion to the change. [`IndexedBundle`] applies it in time in
//! proportion to the change as well.

mod change;
mod check;
mod document;
mod entry;
mod entry_index;
mod indexed;
mod signing;
mod tree;

pub use change::{BundleChange, ChangeError};
pub use check::{check_bundle, check_change, Problem};
pub use document::{
    Adapter, Bundle, Model, Operator, Policy, Script, Service, Sharing, Tenant, WorkPlacement,
};
pub use ed25519_dalek::SigningKey;
pub use entry::{Entry, EntryKey, EntryKind};
pub use entry_index::{EntryIndex, EntryIndexBuilder};
pub use indexed::IndexedBundle;
pub use signing::{
    count_sign_offs, signing_key_from_hex, signing_message, SignError, SignOff, SignedChange,
};
