//! The versioned bundle: what operators sign and roll out.
//!
//! A bundle is a set of keyed entries. Its [`digest`](Bundle::digest) covers
//! all of them, and a [`BundleChange`] carries only those that differ from
//! its base, so that one change among tens of thousands of tenants costs
//! bytes in proportion to the change.

mod change;
mod check;
mod document;
mod entry;
mod signing;

pub use change::{BundleChange, ChangeError};
pub use check::{check_bundle, Problem};
pub use document::{
    Adapter, Bundle, Model, Operator, Policy, Script, Service, Sharing, Tenant, WorkPlacement,
};
pub use entry::{Entry, EntryKey, EntryKind};
pub use signing::{
    count_sign_offs, signing_key_from_hex, signing_message, SignError, SignOff, SignedChange,
};
