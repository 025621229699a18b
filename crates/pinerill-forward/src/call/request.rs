//! The parts of a call that are the same for every attempt, and the timeouts derived from its
//! route.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use pinerill_calls::protocol::CallHead;
use pinerill_calls::table::{Access, AllowedRegions, Route};
use pinerill_process::clock::BootTime;

use crate::crash::RequestIdentity;
use crate::exchange::WorkerRequest;
use crate::fleet::{Prompt, RequiredSoftware, ServiceKey};
use crate::quota::Permit;
use crate::resumption::origins::StreamKey;

/// Shortest time in which an attempt can be expected to end. With less time left, no attempt is
/// begun.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);
/// Lower bound of the silence after which a call is moved to another worker.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Silence after which a call is moved to another worker, as a multiple of the route's latency
/// objective. By then the response is late, and a worker that is only busy should have begun.
const SILENCE_TIMEOUT_OBJECTIVES: f64 = 4.0;

/// A call that was admitted by the gateway.
#[derive(Debug)]
pub struct Call {
    /// Information that the caller protocol reads from the request head.
    pub head: CallHead,
    /// Headers of the caller's request, without its key.
    pub headers: HeaderMap,
    /// The request that is sent to workers.
    pub request: WorkerRequest,
    /// Identity of the request, by which retries of the same request are recognized when it
    /// crashes workers.
    pub identity: Arc<RequestIdentity>,
    /// The tenant, if any, on whose behalf the call is served.
    pub access: Access,
    /// Quota permit of the call; `None` if its tenant has no limit on requests.
    pub(crate) permit: Option<Permit>,
    /// Priority, from the tenant or else from the route; 0 is the most urgent.
    pub rank: u32,
    /// Route that matched the call's host and path.
    pub route: Arc<Route>,
    /// Regions in which the call may be served: those that both the route and the tenant allow.
    pub homes: AllowedRegions,
    /// Service that was drawn by weight from the route's targets.
    pub service: String,
    /// Version of the route table by which the call was routed.
    pub table_version: u64,
    /// The prompt as a chain of prefixes, used to choose a worker that has cached them.
    pub prompt: Prompt,
    /// Time at which the request head arrived.
    pub arrived: BootTime,
    /// Time by which the response must be complete.
    pub deadline: BootTime,
}

impl Call {
    /// Returns the deadline of a call: the earlier of the caller's deadline and the route's
    /// timeout.
    pub fn deadline_of(head: &CallHead, route: &Route, arrived: BootTime) -> BootTime {
        let allowed = Duration::from_millis(route.timeout_ms);
        arrived
            + head
                .deadline
                .map_or(allowed, |requested| requested.min(allowed))
    }

    /// Returns the key of the stream that this call continues; `None` if it continues none or the
    /// caller does not name it.
    pub(crate) fn continued_stream(&self) -> Option<StreamKey> {
        self.head.resume_after?;
        let attempt = self.head.resumes.as_deref()?;
        Some(StreamKey::new(&self.identity.requester, attempt))
    }

    /// Returns the key of the stream that this call begins or continues; `None` if the caller does
    /// not name it, so that it can't be continued.
    pub(crate) fn stream_key(&self) -> Option<StreamKey> {
        if self.head.resume_after.is_some() {
            return self.continued_stream();
        }
        let attempt = self.head.id.as_str();
        (!attempt.is_empty()).then(|| StreamKey::new(&self.identity.requester, attempt))
    }

    /// Directs a call that continues a stream to the service that began it. Returns whether its
    /// route still allows that.
    pub(crate) fn follow_origin(&mut self, required: RequiredSoftware) -> bool {
        let RequiredSoftware::SameAs(origin) = required else {
            return true;
        };
        let mut services = self.route.services_in_use();
        let began = services.find(|service| ServiceKey::of(service) == origin.service);
        match began {
            Some(service) => {
                self.service = service.to_owned();
                true
            }
            None => false,
        }
    }

    /// Records on the quota permit, if any, that a worker may have run the call.
    pub(crate) fn mark_run(&self) {
        if let Some(permit) = &self.permit {
            permit.mark_ran();
        }
    }

    /// Returns the time left until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.remaining()
    }

    /// Returns the time by which the first event must reach the caller: the moment at which the
    /// caller gives up, or the deadline if that is earlier or the caller does not give up.
    pub fn first_event_deadline(&self) -> BootTime {
        let timeout = self.route.caller_idle_timeout_ms.map(Duration::from_millis);
        let given_up = timeout.map(|timeout| self.arrived + timeout);
        given_up.map_or(self.deadline, |at| at.min(self.deadline))
    }

    /// Returns whether another attempt could still end before the deadline.
    pub fn has_time(&self) -> bool {
        self.remaining() > MIN_ATTEMPT_TIME
    }

    /// Returns the silence before the first event after which a call that may run again is sent to
    /// another worker.
    pub fn first_event_timeout(&self) -> Duration {
        let objective = Duration::from_millis(self.route.objective_ms);
        objective
            .mul_f64(SILENCE_TIMEOUT_OBJECTIVES)
            .max(MIN_SILENCE_TIMEOUT)
    }

    /// Returns the silence between two events after which a stream is continued at another
    /// worker.
    pub fn event_gap_timeout(&self) -> Duration {
        let gap = self
            .route
            .gap_ms
            .map_or(Duration::ZERO, Duration::from_millis);
        gap.mul_f64(SILENCE_TIMEOUT_OBJECTIVES)
            .max(MIN_SILENCE_TIMEOUT)
    }
}
