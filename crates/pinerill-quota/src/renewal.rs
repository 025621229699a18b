//! Messages between zone lender and leader: the request to renew parts and its answer.

use serde::{Deserialize, Serialize};

/// Number of units into which a limit is divided; parts are counted in them.
pub const WHOLE: u16 = 1_000;

/// Time for which a part may be lent, in milliseconds: by the holder's clock since it sent the
/// request whose answer it applied last. It outlasts a frozen leader and a zone that is cut off
/// for 7.5 s, and the time until a renewal arrives afterwards.
pub const PART_LIFETIME_MS: u64 = 10_000;

/// Ties the requests of one process to one leader. Assigned by the leader. A request that
/// carries it was sent after the leader began; a higher number shows a newer process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// Term of the leader.
    pub term: u64,
    /// Number of the session within the term.
    pub number: u64,
}

/// A control machine's request to renew its parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRequest {
    /// Address of the control machine.
    pub machine: String,
    /// Session with the leader; `None` before the first answer.
    pub session: Option<Session>,
    /// Increases with each request of a process.
    pub number: u64,
    /// The tenants of which it holds a part or was asked for tokens.
    pub holdings: Vec<Holding>,
}

/// What a control machine holds of a tenant's limit, and what it was asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Name of the tenant.
    pub tenant: String,
    /// The part held, in units of 1/[`WHOLE`] of the limit.
    pub part: u16,
    /// Demand of the zone, in requests per 1,000 s.
    pub demand: u32,
}

/// The leader's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartAnswer {
    /// The request had no session with this leader and was not evaluated otherwise. Parts that
    /// are held stay valid until their lease is over.
    Session(Session),
    /// The parts from now on. Tenants that are not listed have none.
    Parts(Vec<TenantPart>),
}

/// A part of a tenant's limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantPart {
    /// Name of the tenant.
    pub tenant: String,
    /// The part, in units of 1/[`WHOLE`] of the limit.
    pub part: u16,
    /// Tokens that the leader hands over with a larger part, from its own bucket.
    pub tokens: u32,
}
