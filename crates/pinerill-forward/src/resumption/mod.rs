//! Streams that callers continue at any node after their answer broke off.
//!
//! A stream may continue only at the software version that began it ([`crate::fleet`]), but an
//! answer's state ends with the answer. Before the first event of a stream is passed on, the node
//! therefore records the worker that sent it ([`origins`]) and sends the record to a few other
//! nodes of its zone and, while workers of several versions are listed, to a relay of each other
//! zone (`peers::origins`). A node that gets a resumption looks for the record in its own ledger
//! and then asks the nodes that may have it (`lookup`). Without a record it continues the stream
//! only if the nodes that answered have seen a single version for longer than a stream lives
//! ([`decision`]); otherwise it refuses, and the caller keeps what it has.
//!
//! | module | purpose |
//! |---|---|
//! | `origins` | ledger of stream origins; pure |
//! | `decision` | decides what a resumption requires, from the record and other nodes' answers; pure |
//! | `lookup` | asks other nodes and answers their questions |

pub mod decision;
mod lookup;
pub mod origins;

pub(crate) use lookup::{OriginQuery, OriginReply, Resumptions};
