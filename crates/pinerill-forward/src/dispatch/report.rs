//! What nodes of a zone report to each other about their queues and about the tenants whose calls
//! use slots. Pure.

use std::cmp::Reverse;

use pinerill_calls::message::encode;
use serde::{Deserialize, Serialize};

use crate::fleet::hash_name;

/// Number of services in one report.
pub const MAX_REPORTED_SERVICES: usize = 16;
/// Length of an encoded report in bytes; with the head of its message it fits into a datagram.
pub const MAX_REPORT_BYTES: usize = 1_360;

/// Short identifier of a tenant in messages between nodes: a 32-bit hash of its name. On a
/// collision two tenants share one share of the slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TenantKey(pub u32);

/// Queue of a node and the use of slots by the tenants of its calls.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueReport {
    /// Services for which calls wait at the node or were started from its queue lately.
    pub services: Vec<ServiceQueue>,
    /// The tenants with the most slots in use and calls waiting at the node.
    pub tenants: Vec<TenantUse>,
}

/// Calls of one service that wait at a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceQueue {
    /// Name of the service.
    pub service: String,
    /// Waiting calls of tenants that use less than their share.
    pub within_share: u32,
    /// Waiting calls of tenants that use their share or more.
    pub over_share: u32,
    /// Position of the first call of the queue; `None` if no call waits.
    pub head: Option<QueuePosition>,
    /// Rate at which calls of the queue got slots lately, in calls per second.
    pub starts_per_s: f32,
}

/// Position of a waiting call in the order of a zone's queues. A smaller one is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuePosition {
    /// Urgency class; 0 is the most urgent.
    pub rank: u32,
    /// Whether the call's tenant uses its share of the slots or more.
    pub over_share: bool,
    /// Time until the latest start that meets the call's objective, in milliseconds; negative once
    /// that has passed.
    pub slack_ms: i32,
}

/// Slots that calls of one tenant use, and its calls that wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantUse {
    /// The tenant.
    pub tenant: TenantKey,
    /// Slots in use by its calls.
    pub running: u32,
    /// Its calls that wait for a slot.
    pub waiting: u32,
}

/// Place kept for a rejected call whose caller was told when to return. Not in use: nodes keep no
/// such places.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnTicket {
    /// Hash of the request, which is the same whenever its caller repeats it.
    pub request: u64,
    /// Time after which the caller was asked to return, in milliseconds.
    pub return_in_ms: u32,
    /// Time after which the place is given up, in milliseconds.
    pub expires_in_ms: u32,
}

impl QueueReport {
    /// Leaves out services until the report fits into a datagram: those without waiting calls first,
    /// then those whose first call comes last by rank and part, and of these those with the fewest
    /// calls.
    pub fn fitted(mut self) -> Self {
        self.services.sort_unstable_by_key(|queue| {
            let calls = u64::from(queue.within_share) + u64::from(queue.over_share);
            let class = queue.head.map(|head| (head.rank, head.over_share));
            (class.is_none(), class, Reverse(calls))
        });
        self.services.truncate(MAX_REPORTED_SERVICES);
        while !self.services.is_empty() && encode(&self).len() > MAX_REPORT_BYTES {
            self.services.pop();
        }
        self
    }
}

impl TenantKey {
    /// Returns the key of a tenant's name; every node computes the same key. Callers without a
    /// tenant share one key.
    pub fn from_name(tenant: Option<&str>) -> Self {
        TenantKey(hash_name(tenant.unwrap_or_default()))
    }
}
