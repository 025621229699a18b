//! Jobs whose items are whole calls.
//!
//! A job is submitted at once and run later. Results form a list that only
//! grows: an item's place and text never change once they were told.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Stands between a tenant's name and the caller's name for a job. Neither can hold it:
/// both come in headers.
const SCOPE_END: char = '\u{1f}';

/// Names a job: by the tenant that handed it in, if any, and the caller's name for it. The
/// same names again are the same job; another tenant's job of the same name is another
/// one, and nobody else finds it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallJobId(String);

impl CallJobId {
    /// The job that a tenant, or a caller without one, names so.
    pub fn new(tenant: Option<&str>, name: &str) -> Self {
        match tenant {
            Some(tenant) => CallJobId(format!("{tenant}{SCOPE_END}{name}")),
            None => CallJobId(name.to_owned()),
        }
    }

    /// The tenant that handed it in.
    pub fn tenant(&self) -> Option<&str> {
        Some(self.0.split_once(SCOPE_END)?.0)
    }

    /// The caller's name for it.
    pub fn name(&self) -> &str {
        self.0
            .split_once(SCOPE_END)
            .map_or(&self.0, |(_, name)| name)
    }

    /// Under which the tokens of its tenant on a route are counted.
    pub fn waiting_tokens_key(&self, route: &str) -> String {
        match self.tenant() {
            Some(tenant) => format!("{tenant}{SCOPE_END}{route}"),
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

/// A job as it is submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewCallJob {
    /// The caller's name for it.
    pub id: CallJobId,
    /// Host of the route under which it came.
    pub host: String,
    /// Path at which it came; names the route together with the host.
    pub path: String,
    /// Its items, in order.
    pub items: Vec<NewCallItem>,
    /// Time within which results are due, milliseconds; from the route.
    pub result_target_ms: u64,
    /// Time after which items may be given up, milliseconds; from the route.
    pub give_up_ms: u64,
    /// Failed runs after which an item is given up; from the route.
    pub attempts: u32,
    /// Tokens of its tenant's jobs on the route that may wait; 0 for no limit.
    pub max_waiting_tokens: u64,
    /// Name of the route, under which tokens are counted.
    pub route: String,
}

/// An item as it is submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewCallItem {
    /// The caller's name for it.
    pub id: String,
    /// Tokens of its prompt and the most that may come out.
    pub tokens: u64,
    /// The call, an encoded and compressed [`ItemCall`]: control machines
    /// keep it and never look inside.
    pub call: Vec<u8>,
}

/// What is sent to a worker for an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemCall {
    /// Path with query.
    pub path: String,
    /// Headers in order.
    pub headers: Vec<Header>,
    /// The decoded body.
    pub body: Vec<u8>,
}

/// One header of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Its name.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// Names an item across processes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ItemRef {
    /// Its job.
    pub job: CallJobId,
    /// Its position in the job as submitted, from 0.
    pub index: u32,
}

/// What became of one run of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// It is done; the data of all events joined by line feeds, compressed.
    Completed(Vec<u8>),
    /// A worker said that it can never be done.
    Impossible,
    /// A worker ran it and failed.
    Failed {
        /// Number drawn for this run: a report that is sent again, since its
        /// answer was lost, is known by it and counts once.
        run: u64,
    },
}

/// A node's report on an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemReport {
    /// The item.
    pub item: ItemRef,
    /// What became of it.
    pub end: ItemOutcome,
}

/// State of a listed item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedState {
    /// Its text is whole.
    Completed,
    /// It was given up.
    Dead,
}

/// One entry of a job's list of results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedItem {
    /// The caller's name for the item.
    pub id: String,
    /// Its state.
    pub state: ListedState,
    /// Its text, compressed; empty if it was given up.
    pub text: Vec<u8>,
}

/// A part of a job's list of results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPage {
    /// Items of the job.
    pub total: u32,
    /// Position of the first entry.
    pub from: u32,
    /// Entries in order.
    pub entries: Vec<ListedItem>,
}
