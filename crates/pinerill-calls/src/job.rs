//! Batch jobs whose items are complete calls.
//!
//! Callers submit a job in one request. Control machines store it, nodes run its items later, and
//! callers read the results as a list. The list is append-only: the position and the text of an
//! entry never change after a caller could read them.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Separates a tenant's name from the name of a job or a route. Tenant and job names can't
/// contain it, because both are header values.
const TENANT_SEPARATOR: char = '\u{1f}';

/// Identifier of a job: the submitting tenant, if any, and the name that the caller gave the
/// job. Equal identifiers mean the same job, so a repeated submission does not create a second
/// one. Jobs of different tenants are distinct even under the same name, and a tenant can't
/// reach the jobs of another one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallJobId(String);

impl CallJobId {
    /// Returns the identifier of the job that a tenant, or a caller without a tenant, calls
    /// `name`.
    pub fn new(tenant: Option<&str>, name: &str) -> Self {
        match tenant {
            Some(tenant) => CallJobId(format!("{tenant}{TENANT_SEPARATOR}{name}")),
            None => CallJobId(name.to_owned()),
        }
    }

    /// Returns the tenant that submitted the job; `None` for a caller without a tenant.
    pub fn tenant(&self) -> Option<&str> {
        Some(self.0.split_once(TENANT_SEPARATOR)?.0)
    }

    /// Returns the name that the caller gave the job, without the tenant.
    pub fn name(&self) -> &str {
        self.0
            .split_once(TENANT_SEPARATOR)
            .map_or(&self.0, |(_, name)| name)
    }

    /// Returns the key under which the waiting tokens of the job's tenant on a route are
    /// counted. Callers without a tenant share one key per route.
    pub fn waiting_tokens_key(&self, route: &str) -> String {
        match self.tenant() {
            Some(tenant) => format!("{tenant}{TENANT_SEPARATOR}{route}"),
            None => route.to_owned(),
        }
    }
}

impl fmt::Display for CallJobId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.tenant() {
            Some(tenant) => write!(formatter, "{tenant}/{}", self.name()),
            None => formatter.write_str(&self.0),
        }
    }
}

/// A job as a caller submits it, with the limits of its route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewCallJob {
    /// Identifier of the job: its tenant and the caller's name for it.
    pub id: CallJobId,
    /// Host that the job was sent to, perhaps with a port.
    pub host: String,
    /// Request path of the submission; selects the route together with `host`.
    pub path: String,
    /// Items in the order in which the caller listed them.
    pub items: Vec<NewCallItem>,
    /// Time from the submission within which results are due, in milliseconds; set by the route.
    pub result_target_ms: u64,
    /// Time from the submission after which items may be given up, in milliseconds; set by the
    /// route.
    pub give_up_ms: u64,
    /// Number of failed runs after which an item is given up; set by the route.
    pub attempts: u32,
    /// Maximum number of waiting tokens of the tenant's jobs on the route; 0 means no limit.
    pub max_waiting_tokens: u64,
    /// Name of the route under which the waiting tokens are counted.
    pub route: String,
}

/// An item of a job as a caller submits it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewCallItem {
    /// Name that the caller gave the item.
    pub id: String,
    /// Tokens of the prompt plus the maximum number of output tokens.
    pub tokens: u64,
    /// The call: an encoded and compressed [`ItemCall`]. Control machines store these bytes
    /// without decoding them.
    pub call: Vec<u8>,
}

/// The request that a node sends to a worker for an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemCall {
    /// Request path with the query.
    pub path: String,
    /// Headers in the order in which the caller listed them.
    pub headers: Vec<Header>,
    /// Request body, decoded from the caller's document.
    pub body: Vec<u8>,
}

/// One request header of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Header name as the caller wrote it.
    pub name: String,
    /// Header value as the caller wrote it.
    pub value: String,
}

/// Identifier of an item in messages between processes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ItemRef {
    /// Job that contains the item.
    pub job: CallJobId,
    /// Position of the item in the submitted job, counted from 0.
    pub index: u32,
}

/// Outcome of one run of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// The run succeeded. Contains the data of all events, joined by line feeds and compressed.
    Completed(Vec<u8>),
    /// A worker answered that no worker can ever process the item.
    Impossible,
    /// A worker ran the item and failed.
    Failed {
        /// Random number of the run. It identifies a report that a node sends again after the
        /// response was lost, so that the failure counts once.
        run: u64,
    },
}

/// Report of a node to the control machines on a run of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemReport {
    /// Item that was run.
    pub item: ItemRef,
    /// Outcome of the run.
    pub end: ItemOutcome,
}

/// Final state of an item in a job's list of results.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedState {
    /// The item succeeded, and its text is complete.
    Completed,
    /// The item was given up and has no text.
    Dead,
}

/// One entry of a job's list of results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedItem {
    /// Name that the caller gave the item.
    pub id: String,
    /// Whether the item succeeded or was given up.
    pub state: ListedState,
    /// Compressed text of the result; empty for an item that was given up.
    pub text: Vec<u8>,
}

/// A range of a job's list of results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPage {
    /// Number of items in the job, finished or not.
    pub total: u32,
    /// Position of the first returned entry in the list, counted from 0.
    pub from: u32,
    /// Consecutive entries of the list, starting at `from`.
    pub entries: Vec<ListedItem>,
}
