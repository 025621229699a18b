//! Requests that crash the workers that run them.
//!
//! What a call learns of its request ends with the call, and its caller comes again at any
//! node. So a request has an identity beyond its tries ([`RequestIdentity`]), and runs that
//! ended with a crash of their worker are told from others ([`broken_runs`]). What crashed
//! under which request is kept in a ledger ([`ledger`]) that all nodes share by telling each
//! other what they see (`peers::crashes`). A request that is known to crash workers is
//! refused before it is sent; an item of a job is withheld.
//!
//! Told are differences that can be merged in any order: each report at once to the nodes of
//! the zone and by relays to the others, and again for some seconds, blocked requests for
//! as long as they are blocked. So a lost, late or doubled datagram changes nothing, a
//! node that starts anew or was cut off knows what is blocked within a second. While no worker
//! crashes nothing is told, and a body is hashed only if its run ends early.

pub mod broken_runs;
mod fingerprint;
pub mod ledger;
mod operators;
mod run;
mod tracker;
mod verdicts;

use pinerill_calls::directory::WorkerEntry;
use serde::{Deserialize, Serialize};

pub(crate) use operators::mount_blocked_requests;
pub(crate) use tracker::CrashTracker;
pub(crate) use verdicts::REPORTS_TOLD;

pub use fingerprint::{RequestFingerprint, RequestIdentity, Requester};
pub use run::Run;

/// A short name of one start of a worker, the same at all nodes. Two starts of one name
/// would let one crash less count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerStart(u64);

impl WorkerStart {
    /// The name of the start that an entry of the directory is of.
    pub fn of(worker: &WorkerEntry) -> Self {
        let RequestFingerprint(bytes) =
            RequestFingerprint::of_parts(&[worker.id.as_str().as_bytes()]);
        let mut short = [0; 8];
        short.copy_from_slice(&bytes[..8]);
        WorkerStart(u64::from_le_bytes(short))
    }
}
