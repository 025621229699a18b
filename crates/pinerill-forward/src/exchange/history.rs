//! What a connection to a worker has carried, and which responses on it belong to which request.
//! Pure.
//!
//! A worker may repeat a response late, in the place where the next one is due. All attempts of
//! a request carry the same id, and a response to a health check carries none, so an id alone
//! does not bind a response to an attempt.
//!
//! Invariants: a connection carries a request id at most once, and at most one health check. A
//! response with the id of the current request is therefore no repetition. One without an id
//! belongs to the current request only if the worker has stamped it, or if it is marked as a refusal
//! and the connection has carried nothing else. Bytes without any mark belong to no request.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

/// Number of requests after which a connection is closed, which bounds the ids that are kept.
const MAX_REQUESTS: usize = 256;

/// Whether a response belongs to the request that waits for one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The response belongs to the request.
    Current,
    /// The response belongs to an earlier request on the connection; the request's own may follow.
    Earlier,
    /// The response belongs to no request that the connection has carried.
    Unknown,
}

/// What identifies a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseIdentity<'a> {
    /// Request id that the response names; `None` if it names none.
    pub request: Option<&'a str>,
    /// Whether the worker has marked the response as that to a request.
    pub is_stamped: bool,
    /// Whether the worker has marked the response as that to a health check.
    pub is_health_answer: bool,
    /// Whether the worker has marked the response as that to a request that it did not run.
    pub is_refusal: bool,
}

/// The requests that one connection has carried.
#[derive(Debug, Default)]
pub struct ConnectionHistory {
    hasher: RandomState,
    /// Hashes of the ids of all requests, the current one included.
    requests: Vec<u64>,
    health_checked: bool,
    /// Id of the current request; `None` if it is a health check.
    current: Option<String>,
    /// Whether a response has arrived after which a repetition might not be told apart.
    is_unreliable: bool,
}

impl ConnectionHistory {
    /// Returns whether the connection may carry a request with this id, or a health check for
    /// `None`.
    pub fn may_carry(&self, request: Option<&str>) -> bool {
        let is_new = match request {
            Some(id) => !self.has_carried(id),
            None => !self.health_checked,
        };
        is_new && self.is_usable()
    }

    /// Returns whether the connection may carry any further request.
    pub fn is_usable(&self) -> bool {
        !self.is_unreliable && self.requests.len() < MAX_REQUESTS
    }

    /// Returns the number of requests and health checks that the connection has carried, the
    /// current one included.
    pub fn carried(&self) -> usize {
        self.requests.len() + usize::from(self.health_checked)
    }

    /// Records that a request with this id, or a health check for `None`, is sent now.
    pub fn begin(&mut self, request: Option<&str>) {
        match request {
            Some(id) => self.requests.push(self.hash(id)),
            None => self.health_checked = true,
        }
        self.current = request.map(str::to_owned);
    }

    /// Returns the id of the current request; `None` if it is a health check.
    pub fn current(&self) -> Option<&str> {
        self.current.as_deref()
    }

    /// Returns to which request a response belongs, and records that it has arrived.
    pub fn receive(&mut self, response: ResponseIdentity<'_>) -> Origin {
        let origin = self.origin(response);
        // Without an id, a repetition of this response could not be told from the response to
        // the next request.
        let is_unidentified = self.current.is_some() && response.request.is_none();
        if origin != Origin::Current || is_unidentified {
            self.is_unreliable = true;
        }
        origin
    }

    fn origin(&self, response: ResponseIdentity<'_>) -> Origin {
        match (self.current.as_deref(), response.request) {
            (Some(current), Some(named)) if current == named => Origin::Current,
            (_, Some(named)) if self.has_carried(named) => Origin::Earlier,
            (_, Some(_)) => Origin::Unknown,
            (None, None) => Origin::Current,
            (Some(_), None) if response.is_stamped => Origin::Current,
            (Some(_), None) if response.is_refusal && self.carried() == 1 => Origin::Current,
            (Some(_), None) if response.is_health_answer && self.health_checked => Origin::Earlier,
            (Some(_), None) => Origin::Unknown,
        }
    }

    fn has_carried(&self, id: &str) -> bool {
        self.requests.contains(&self.hash(id))
    }

    fn hash(&self, id: &str) -> u64 {
        self.hasher.hash_one(id)
    }
}
