//! How many requests of a tenant the nodes of a fleet let pass together. Pure: time is
//! given, nothing is sent.
//!
//! One process, the *lender*, has a token bucket for each tenant ([`lender::Lender`]).
//! Each node borrows tokens from it ahead of its demand ([`borrower::Borrower`]) and lets a
//! request pass for each token. Who calls whom: a node's shell asks
//! [`borrower::Borrower::next_asks`] what to send, the lender answers with
//! [`lender::Lender::lend`], and the node takes the answer in with
//! [`borrower::Borrower::apply_loans`].
//!
//! # What bounds the requests of a window
//!
//! A request that comes in a window passes by a token that was held when the window began,
//! or was lent within it or a moment later, while the request waited. Tokens that are lent
//! come from the bucket, which gives at most its burst and its rate times the time. Tokens
//! to be held are bounded by the lender to a part of what the operator tolerates beyond the
//! limit ([`limit::Tolerance`]). So the bound follows from what was lent, whatever is lost,
//! late or cut off: a node that hears nothing spends what it holds, until that lapses, and
//! no more.
//!
//! A new lender does not know what its predecessor lent. It begins with as much as a part of
//! the tolerance allows, so that both together lend little more than one bucket would, and
//! each lets nodes hold half of what may be held.
//!
//! # Why loans, and not fixed shares or told counts
//!
//! A fixed share of 1/n of the limit for each of n nodes needs no messages, but callers keep
//! to few nodes: their tenants are refused far below their limits. Counts that nodes tell
//! each other know no bound while news is lost. `tests/comparison.rs` plays all three.

pub mod borrower;
pub mod bucket;
pub mod defect;
pub mod lender;
pub mod limit;
pub mod message;

mod demand;
