//! Runs many replicated groups in one process.
//!
//! Each group is one tokio task around a [`driver::GroupDriver`], which holds
//! the [`pinerill_replica::Replica`]. The
//! task feeds the replica whatever has arrived, all at once, so that
//! proposals, reads and messages that wait together share writes, appends and
//! heartbeat rounds. Writes of all groups go to one store, which syncs them
//! together. An idle group costs its heartbeats and nothing else: tasks sleep
//! until the replica's next deadline, and wake sooner only where no heartbeat comes.

mod counters;
pub mod driver;
mod error;
mod event;
mod group_host;
mod handle;
mod inbox;
mod machine;
mod pause_timeout;
mod settings;
mod status;
mod task;
mod unreadable;

pub use counters::HostCounters;
pub use error::{ChangeError, HostError, ProposeError, ReadError};
pub use group_host::GroupHost;
pub use handle::{EnqueuedCommand, GroupHandle, TableReader};
pub use machine::{StateMachine, TableWriter, Transport, UnreadableState};
pub use settings::HostSettings;
pub use status::GroupStatus;
pub use unreadable::stay_out_if_unreadable;
