//! The job group's state machine: jobs, their items, leases and results; and
//! the service that answers for it.
//!
//! | module | what it decides |
//! |---|---|
//! | `submit` | parts of jobs, idempotency keys, tenants' limits |
//! | `queue`, `leasing` | which items a node gets, and for how long |
//! | `ending` | which end of an attempt counts; cancellation |
//! | `maintain` | leases that lapse, results that expire |
//! | `read` | answers that change nothing |
//! | `batcher`, `proposer`, `service` | many requests, few log entries |

mod batcher;
mod clock;
mod command;
mod defects;
mod ending;
mod item;
mod lease;
mod leasing;
mod machine;
mod maintain;
mod maintenance;
mod proposer;
mod queue;
mod read;
mod record;
mod service;
mod stamper;
mod submit;
mod table;
mod tenant;

pub use batcher::{
    CommandBatch, CommandBatcher, BATCH_BYTES_LIMIT, BATCH_COMMANDS_LIMIT, ENTRIES_IN_FLIGHT_LIMIT,
    WAITING_BYTES_LIMIT,
};
pub use clock::{StampSource, LEASE_STEP_LIMIT_MS};
pub use command::{JobCommand, JobEntry, JobReplies, JobReply, Rejection};
#[cfg(feature = "defects")]
pub use defects::JobDefect;
pub use ending::ENDED_CELLS_MS;
pub use leasing::{LEASE_BYTES_LIMIT, LEASE_ITEMS_LIMIT, LEASE_LIMIT_MS};
pub use machine::JobMachine;
pub use maintain::{DELETE_LIMIT, LEASE_TICK_MS};
pub use proposer::JobProposer;
pub use queue::ROUND_ITEMS;
pub use read::{read_leased, read_page, LeasePlan, MachineSizes, PagePlan, PAGE_ITEMS_LIMIT};
pub use service::{JobService, ReplicaAddresses};
pub use submit::RECEIVING_LIMIT_MS;
