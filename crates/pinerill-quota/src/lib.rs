//! Limits on the number of requests that all nodes of a fleet together admit for a tenant.
//! The crate contains the decisions only: it reads no clock and sends nothing.
//!
//! One process, the *lender*, has a token bucket for each tenant ([`lender::Lender`]). Each
//! node borrows tokens from it in advance of its demand ([`borrower::Borrower`]) and spends
//! one token for each request that it admits. The node sends what
//! [`borrower::Borrower::next_asks`] returns, the lender answers with
//! [`lender::Lender::lend`], and the node applies the answer with
//! [`borrower::Borrower::apply_loans`].
//!
//! # Bound on the requests in a window
//!
//! A request that arrives within a window is admitted with a token that was held when the
//! window began, or that was lent within the window or shortly after it, while the request
//! waited. Lent tokens come from the bucket, which yields at most its burst plus its rate
//! times the length of the window. The lender bounds the tokens that nodes hold to a part of
//! what the operator tolerates beyond the limit ([`limit::Tolerance`]). So the bound depends
//! only on what was lent and holds when messages are lost or late or nodes are cut off: a
//! node that receives nothing spends the tokens that it holds until they expire, and no
//! more.
//!
//! A new lender does not know what its predecessor lent. It starts with as many tokens as a
//! part of the tolerance allows, so that both together lend little more than one bucket
//! would, and each of them lets nodes hold half of the tokens that may be held.
//!
//! # Alternatives
//!
//! A fixed share of 1/n of the limit for each of n nodes needs no messages. But the callers
//! of a tenant use only a few nodes, so their requests are rejected far below the limit.
//! Counts that nodes broadcast to each other give no bound while broadcasts are lost.
//! `tests/comparison.rs` simulates all three.

pub mod borrower;
pub mod bucket;
pub mod defect;
pub mod lender;
pub mod limit;
pub mod message;

mod demand;
