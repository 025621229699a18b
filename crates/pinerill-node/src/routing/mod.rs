//! Decides which engine runs a request and which workers a node uses. The submodules do no I/O,
//! and callers pass the time and random numbers.

mod choice;
mod load;
mod prefix;
mod rendezvous;

pub use choice::{choose, Candidate, CandidateSet, RANDOM_NUMBERS};
pub use load::{LoadChange, LoadEstimate};
pub use prefix::{block_hashes, PrefixHints};
pub use rendezvous::{rendezvous_owner, rendezvous_weight, select_workers};
