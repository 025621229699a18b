//! The inputs and outputs of the batch planner.
//!
//! The shell translates events into [`Input`]s and carries out the [`Output`]s.

use std::collections::BTreeMap;
use std::sync::Arc;

use pinerill_types::job::LeasedItem;
use pinerill_types::{EngineId, NodeName, ServiceName};
use pinerill_wire::message::{AttemptRef, AttemptVerdict, EndAttempts, LeaseItems, RenewLeases};

use super::window::{EngineLoad, WindowPolicy};

/// Identifies the node to job groups.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeIdentity {
    /// The node's name, which stays the same over restarts.
    pub name: NodeName,
    /// Random number that distinguishes this start of the node from others.
    pub incarnation: u64,
}

/// The state of one engine at one time, as the planner needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// The engine's worker and its number there.
    pub id: EngineId,
    /// Services whose requests the engine decodes.
    pub services: Arc<[ServiceName]>,
    /// The number of slots and of online requests.
    pub load: EngineLoad,
    /// Whether this node assigns batch items to the engine and its worker accepts
    /// new work.
    pub accepts_batch: bool,
    /// Online requests that this node has seen arrive at the engine; a counter.
    pub arrivals: u64,
    /// Preemptions of batch items that the engine has reported; a counter.
    pub preemptions: u64,
    /// Whether an online request of one of its services waits for a slot.
    pub waiting: bool,
}

/// Number of items that wait for a lease, by service and job group. It is only a
/// hint and may be out of date.
pub type Backlog = BTreeMap<ServiceName, BTreeMap<u32, u64>>;

/// Error of a call to a job group without a usable response. The group may have
/// carried it out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotAnswered;

/// The outcome of one run of an item at one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The item completed; holds the response body as JSON.
    Completed(String),
    /// The item failed in a way that every engine would repeat; holds the error as
    /// JSON.
    Failed(String),
    /// The item did not run at the engine and never will; holds the cause.
    NotRun(String),
    /// The item may have run at the engine, but its answer can't be retrieved;
    /// holds the cause.
    Lost(String),
    /// The run was stopped on command before the engine began it.
    StoppedBeforeStart,
    /// The run was stopped on command and may have run in part.
    Stopped,
}

/// A command to a run at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunCommand {
    /// Run, or resume after a pause.
    Run,
    /// Pause and free the slot, keeping the tokens decoded so far.
    Pause,
    /// Cancel the item at the engine.
    Stop,
}

/// An event that the planner reacts to.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The current state of all engines that this node uses.
    Engines(Vec<EngineView>),
    /// The sharing policies of all services.
    Policies(BTreeMap<ServiceName, WindowPolicy>),
    /// Where items wait for a lease.
    Backlog(Backlog),
    /// The response to [`Output::Lease`].
    Leased {
        /// The group.
        group: u32,
        /// The leased items.
        result: Result<Vec<LeasedItem>, NotAnswered>,
    },
    /// The response to [`Output::Renew`].
    Renewed {
        /// The group.
        group: u32,
        /// Attempts whose leases the group has ended.
        result: Result<Vec<AttemptRef>, NotAnswered>,
    },
    /// The response to [`Output::Report`].
    Reported {
        /// The group.
        group: u32,
        /// One verdict per report, in the order of the reports.
        result: Result<Vec<AttemptVerdict>, NotAnswered>,
    },
    /// A run at an engine ended.
    Ended {
        /// The attempt that the run belonged to.
        attempt: AttemptRef,
        /// The outcome of the run.
        end: RunEnd,
    },
    /// The node drains: it leases nothing more, and running items may finish within
    /// `grace_ms`.
    Drain {
        /// Time for repeatable items to finish, in milliseconds from now.
        grace_ms: u64,
    },
}

/// An action that the planner requests from the shell.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Request items from a group; answered by [`Input::Leased`].
    Lease(LeaseItems),
    /// Renew leases at a group; answered by [`Input::Renewed`].
    Renew(RenewLeases),
    /// Report the ends of attempts to a group; answered by [`Input::Reported`].
    Report(EndAttempts),
    /// Start an item at an engine; its end is reported by [`Input::Ended`].
    Start {
        /// The attempt under whose lease the item runs.
        attempt: AttemptRef,
        /// The item with its request body.
        item: Arc<LeasedItem>,
        /// The engine to run the item at.
        engine: EngineId,
        /// When the lease expires, in milliseconds of the node's clock; the item is
        /// not sent after that.
        lease_end_ms: u64,
    },
    /// Send a command to a run.
    Command {
        /// The attempt that the run belongs to.
        attempt: AttemptRef,
        /// The command, which replaces earlier ones.
        command: RunCommand,
    },
    /// Discard the partial answer of an attempt that has ended at this node.
    Forget(AttemptRef),
    /// Increment the counter of this event.
    Count(Event),
}

/// An event that is counted in the node's metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// This number of items was leased.
    Leased(u64),
    /// An item was paused in favor of online requests.
    Yielded,
    /// A paused item was stopped so that it can move to another engine.
    Moved,
    /// A lease expired, or its group ended it.
    LeaseLost,
    /// A group answered a report; holds the label of the verdict.
    Verdict(&'static str),
}
