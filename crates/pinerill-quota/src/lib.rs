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
//! # Division of limits
//!
//! Not in use: neither control machines nor nodes call these modules; the leader lends under
//! whole limits. The design requires several zones: the leader then lends only a part of each
//! limit itself; the other parts are leased to one *zone lender* in each zone ([`division`],
//! [`part`]). Parts are counted in thousandths of a limit, and those on which any process may
//! act add up to at most one limit at every moment. Each part is lent under limit and tolerance scaled to it ([`fraction`]),
//! and the bound above holds by addition:
//!
//! - A bucket is refilled for the time under its old part before the part changes, so the
//!   buckets together gain at most the rate, and contain at most the burst.
//! - Nodes may hold tokens only for the smallest part of the last
//!   [`lender::LOAN_LIFETIME_MS`], so tokens held of a part that has moved are not counted
//!   twice.
//! - A bucket contains one token more than its part of the burst, so that small parts yield
//!   whole tokens. One request of the tolerance is set aside for each part
//!   ([`fraction::divided_tolerance`]).
//! - Since held tokens of all parts together stay within what one of the two lenders of a
//!   window may let nodes hold, the buckets together contain as much more as the other one's.
//!
//! A holder applies a changed limit when it receives the route table. One that is cut off
//! lends under the former limit until its lease is over.
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
pub mod division;
pub mod follow_up;
pub mod fraction;
pub mod leader;
pub mod lender;
pub mod limit;
pub mod message;
pub mod part;
pub mod renewal;

mod demand;
