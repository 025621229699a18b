//! Requests to workers: connections, one exchange, the events of its answer.
//!
//! An exchange owns its connection and drives it itself, without a task of its
//! own: dropping it closes the connection at once, which is how a worker learns
//! that nobody waits any more. A connection is used again only after an answer
//! that was read to its end, named the right request and left nothing behind.

pub mod connect_times;
mod connection;
mod events;
mod health;
mod lives;
mod pool;
mod send;

pub use connection::{BreakReason, WorkerConnection};
pub use events::{EventBatch, EventOrderError, EventScanner, EventText};
pub use health::check_health;
pub use pool::ConnectionPool;
pub use send::{Exchange, SendFailure, StartedAnswer, WorkerRequest};
