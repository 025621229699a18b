//! What a call is, for all its attempts.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use pinerill_calls::protocol::CallHead;
use pinerill_calls::table::{Access, Homes, Route};
use pinerill_process::clock::BootTime;

use crate::crash::RequestIdentity;
use crate::exchange::WorkerRequest;
use crate::fleet::Prompt;
use crate::quota::Permit;

/// Shortest time in which an attempt can be expected to end.
const SHORTEST_ATTEMPT: Duration = Duration::from_millis(20);
/// Shortest silence after which a worker is given up.
const SHORTEST_PATIENCE: Duration = Duration::from_millis(1_000);
/// Objectives that may pass without an event before a worker is given up: by
/// then the answer is late, and a worker that is merely busy should have begun.
const OBJECTIVES_OF_PATIENCE: f64 = 4.0;

/// A call that was admitted.
#[derive(Debug)]
pub struct Call {
    /// What the head says.
    pub head: CallHead,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// What is sent to workers.
    pub request: WorkerRequest,
    /// What it is, whichever try brings it.
    pub identity: Arc<RequestIdentity>,
    /// On whose behalf it is served.
    pub access: Access,
    /// What lets it pass within its tenant's limit, if there is one.
    pub(crate) permit: Option<Permit>,
    /// Its rank: its tenant's, or that of its route.
    pub rank: u32,
    /// Its route.
    pub route: Arc<Route>,
    /// Regions in which it may be served.
    pub homes: Homes,
    /// Service of the route that was drawn for it.
    pub service: String,
    /// Version of the route table that was in force.
    pub table_version: u64,
    /// Its prompt.
    pub prompt: Prompt,
    /// When it arrived.
    pub arrived: BootTime,
    /// When it must have its final answer.
    pub deadline: BootTime,
}

impl Call {
    /// The time until which it may be held: the caller's and the route's.
    pub fn deadline_of(head: &CallHead, route: &Route, arrived: BootTime) -> BootTime {
        let allowed = Duration::from_millis(route.timeout_ms);
        arrived + head.deadline.map_or(allowed, |told| told.min(allowed))
    }

    /// A worker may have run it.
    pub(crate) fn ran(&self) {
        if let Some(permit) = &self.permit {
            permit.mark_ran();
        }
    }

    /// Time that is left.
    pub fn remaining(&self) -> Duration {
        self.deadline.remaining()
    }

    /// When its first event must have reached the caller, who gives it up then.
    pub fn first_event_deadline(&self) -> BootTime {
        let patience = self.route.caller_patience_ms.map(Duration::from_millis);
        let given_up = patience.map(|patience| self.arrived + patience);
        given_up.map_or(self.deadline, |at| at.min(self.deadline))
    }

    /// Whether another attempt could still end in time.
    pub fn has_time(&self) -> bool {
        self.remaining() > SHORTEST_ATTEMPT
    }

    /// Silence before the first event after which a call that may run again is
    /// tried elsewhere.
    pub fn first_patience(&self) -> Duration {
        let objective = Duration::from_millis(self.route.objective_ms);
        objective
            .mul_f64(OBJECTIVES_OF_PATIENCE)
            .max(SHORTEST_PATIENCE)
    }

    /// Silence between two events after which it is continued elsewhere.
    pub fn gap_patience(&self) -> Duration {
        let gap = self
            .route
            .gap_ms
            .map_or(Duration::ZERO, Duration::from_millis);
        gap.mul_f64(OBJECTIVES_OF_PATIENCE).max(SHORTEST_PATIENCE)
    }
}
