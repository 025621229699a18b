//! What a node asks of the lender, and its answer.

use serde::{Deserialize, Serialize};

/// Tokens of one tenant that a node asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantAsk {
    /// The tenant.
    pub tenant: String,
    /// Tokens that the node holds.
    pub held: u32,
    /// Tokens that it held and gives back.
    pub returned: u32,
    /// Requests that wait for a token.
    pub urgent: u32,
    /// Tokens for requests that are expected soon.
    pub ahead: u32,
}

/// Tokens of one tenant that are lent to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantLoan {
    /// Tokens for requests that wait: for these and no others.
    pub urgent: u32,
    /// Tokens to be held, besides those that the node held.
    pub ahead: u32,
    /// Why fewer were lent than requests wait; none if there were enough.
    pub shortage: Option<Shortage>,
}

/// Why fewer tokens were lent than requests wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shortage {
    /// The tenant has reached its limit.
    LimitReached {
        /// Time until there is another token, milliseconds.
        next_ms: u64,
    },
    /// There is no limit for this tenant by the lender's table.
    NoLimit,
}
