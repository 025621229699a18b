//! Batch jobs on behalf of callers: parses submitted bodies, bounds their memory, calls
//! the job groups and formats the answers as JSON.

mod client;
mod lines;
mod memory;
mod submit;
mod view;

pub use client::JobsClient;
pub use lines::{BatchLines, LineProblem, LineReader};
pub use memory::{BodyReservation, IntakeMemory};
pub use submit::{next_part, NewJob, PART_BYTES_LIMIT, PART_ITEMS_LIMIT};
pub use view::{job_json, result_line};
