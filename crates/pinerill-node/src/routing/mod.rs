//! Which engine a request goes to. All parts are pure.

mod choice;
mod load;
mod prefix;
mod rendezvous;

pub use choice::{choose, Candidate, Choices, RANDOM_NUMBERS};
pub use load::{LoadChange, LoadEstimate};
pub use prefix::{block_hashes, PrefixHints};
pub use rendezvous::{rendezvous_owner, rendezvous_weight, select_workers};
