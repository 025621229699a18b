//! Requests that crash the workers that run them.
//!
//! What a call learns of its request ends with the call, and its caller comes again at any
//! node. So a request has an identity beyond its tries ([`RequestIdentity`]), and runs that
//! ended with a crash of their worker are told from others ([`broken_runs`]).

pub mod broken_runs;
mod desk;
mod fingerprint;
mod run;

use pinerill_calls::directory::WorkerEntry;
use serde::{Deserialize, Serialize};

pub(crate) use desk::CrashDesk;
pub use fingerprint::{RequestFingerprint, RequestIdentity};
pub use run::Run;

/// A short name of one start of a worker, the same at all nodes. Two starts of one name
/// would let one crash less count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerStart(u64);

impl WorkerStart {
    /// The name of the start that an entry of the directory is of.
    pub fn of(worker: &WorkerEntry) -> Self {
        let RequestFingerprint(bytes) = RequestFingerprint::of_parts(&[worker.id.as_bytes()]);
        let mut short = [0; 8];
        short.copy_from_slice(&bytes[..8]);
        WorkerStart(u64::from_le_bytes(short))
    }
}
