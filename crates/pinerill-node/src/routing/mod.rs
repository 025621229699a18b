//! Decides which engine runs a request and which workers a node uses. The functions of all
//! submodules have no side effects: time and random numbers are passed in.

mod choice;
mod load;
mod prefix;
mod rendezvous;

pub use choice::{choose, Candidate, CandidateSet, RANDOM_NUMBERS};
pub use load::{LoadChange, LoadEstimate};
pub use prefix::{block_hashes, PrefixHints};
pub use rendezvous::{rendezvous_owner, rendezvous_weight, select_workers};
