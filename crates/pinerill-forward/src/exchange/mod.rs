//! HTTP requests to workers: connections, single exchanges and the events of a response.
//!
//! An exchange owns its connection and polls it without a task of its own. Dropping the
//! exchange closes the connection at once, which tells the worker that the response is no
//! longer wanted. A connection is reused only after a response that was read to its end,
//! carried the right request id and left no unread bytes, and never for a request that it has
//! carried before ([`history`]).

pub mod answer_memory;
mod break_reason;
pub mod connect_times;
mod connection;
mod events;
mod health;
pub mod history;
mod incarnations;
mod pool;
mod request;
pub mod response;
mod send;

pub use break_reason::BreakReason;
pub use connection::WorkerConnection;
pub use events::{EventBatch, EventOrderError, EventScanner, EventText};
pub use health::check_health;
pub use pool::{ConnectionPool, PROBE_TIME};
pub use send::{Exchange, SendFailure, StartedAnswer, WorkerRequest};
