//! Requests that crash the workers that run them.
//!
//! A call's own state ends with the call, and its caller may retry at any node. Therefore a request
//! has an identity that is the same for all its attempts ([`RequestIdentity`]), and runs that ended
//! because their worker crashed are separated from other broken runs ([`broken_runs`]). Each node
//! keeps a ledger of the crashes under each request ([`ledger`]), and all nodes share its entries
//! by broadcasting crash reports (`peers::crashes`). A request that is known to crash workers is
//! refused before it is sent; an item of a job is withheld but for trial runs ([`trials`]). The same
//! holds for requests that hold a part of a prompt that is known to crash workers, however different
//! they are otherwise ([`part_ledger`]).
//!
//! Crash reports can be merged in any order. Each is sent at once to the nodes of the zone and
//! through relays to the others, and again for some seconds, or for as long as it blocks a request.
//! Lost, late or duplicated datagrams therefore change no verdict, and a node that restarts or was
//! partitioned knows the blocked requests within a second. While no worker crashes, nothing is
//! sent, and a request body is hashed only if its run ends early.

pub mod broken_runs;
mod fingerprint;
pub mod ledger;
mod operators;
mod part_key;
pub mod part_ledger;
mod permission;
mod rotation;
mod run;
pub mod suspect;
mod tracker;
pub mod trials;
mod verdicts;

use pinerill_calls::directory::WorkerEntry;
use serde::{Deserialize, Serialize};

pub(crate) use operators::mount_blocked_requests;
pub(crate) use permission::TrialClaim;
pub(crate) use tracker::CrashTracker;
pub(crate) use verdicts::MAX_REPORTS_PER_DATAGRAM;

pub use fingerprint::{RequestFingerprint, RequestIdentity, Requester};
pub use part_key::PartKey;
pub use run::Run;

/// Identifies one incarnation of a worker by a hash that is the same at all nodes. If two
/// incarnations had the same hash, one crash would be counted too few.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerIncarnation(u64);

impl WorkerIncarnation {
    /// Returns the incarnation that a directory entry describes.
    pub fn of(worker: &WorkerEntry) -> Self {
        let id = worker.id.as_str().as_bytes();
        WorkerIncarnation(RequestFingerprint::of_parts(&[id]).short())
    }
}
