//! Messages between node and lender: the loan request for a tenant and its answer.

use serde::{Deserialize, Serialize};

/// A node's loan request for the tokens of one tenant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantAsk {
    /// Name of the tenant.
    pub tenant: String,
    /// Number of tokens that the node keeps, without the returned ones.
    pub held: u32,
    /// Number of tokens that the node returns to the lender.
    pub returned: u32,
    /// Number of requests that wait for a token.
    pub urgent: u32,
    /// Number of tokens requested in advance, for requests expected soon.
    pub ahead: u32,
}

/// The lender's answer: the tokens of one tenant that it lends to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantLoan {
    /// Number of tokens for waiting requests. They must not serve any others.
    pub urgent: u32,
    /// Number of tokens to be held, in addition to those that the node already holds.
    pub ahead: u32,
    /// Why fewer tokens were lent than requests wait; `None` if there were enough.
    pub shortage: Option<Shortage>,
}

/// Reason why fewer tokens were lent than requests wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shortage {
    /// The tenant has reached its limit.
    LimitReached {
        /// Time until the next token is available, in milliseconds.
        next_ms: u64,
    },
    /// The lender's route table contains no limit for this tenant.
    NoLimit,
}
