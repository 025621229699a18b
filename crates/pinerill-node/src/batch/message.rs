//! What goes into the planner and what comes out of it.

use std::collections::BTreeMap;
use std::sync::Arc;

use pinerill_types::job::LeasedItem;
use pinerill_types::{EngineId, NodeName, ServiceName};
use pinerill_wire::message::{AttemptRef, AttemptVerdict, EndAttempts, LeaseItems, RenewLeases};

use super::window::{EngineLoad, WindowPolicy};

/// The node as job groups know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeIdentity {
    /// Its name.
    pub name: NodeName,
    /// Random number of this start.
    pub incarnation: u64,
}

/// One engine as the planner sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// Its name.
    pub id: EngineId,
    /// Services that it serves.
    pub services: Arc<[ServiceName]>,
    /// Its load.
    pub load: EngineLoad,
    /// This node drives its batch and its worker takes new work.
    pub accepts_batch: bool,
    /// Arrivals of online requests seen so far.
    pub arrivals: u64,
    /// Preemptions reported so far.
    pub preemptions: u64,
    /// An online request of one of its services waits for a place.
    pub waiting: bool,
}

/// Items that wait for a lease, by service and group. A hint.
pub type Backlog = BTreeMap<ServiceName, BTreeMap<u32, u64>>;

/// A call to a job group was not answered; it may have been carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotAnswered;

/// How a run at an engine ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The whole answer, as JSON.
    Completed(String),
    /// An error that another engine would give as well, as JSON.
    Failed(String),
    /// It certainly did not run there and never will.
    NotRun(String),
    /// It may have run there, and its answer can't be had.
    Lost(String),
    /// It was stopped as told, and never ran.
    StoppedBeforeStart,
    /// It was stopped as told, and may have run in part.
    Stopped,
}

/// What is told to a run at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunCommand {
    /// Go on, or begin again after a pause.
    Run,
    /// Step aside, keeping what was done.
    Pause,
    /// End it at the engine.
    Stop,
}

/// Something happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The engines that this node uses, all of them.
    Engines(Vec<EngineView>),
    /// The sharing rules of all services.
    Policies(BTreeMap<ServiceName, WindowPolicy>),
    /// Where items wait.
    Backlog(Backlog),
    /// Answer to [`Output::Lease`].
    Leased {
        /// The group.
        group: u32,
        /// The items.
        result: Result<Vec<LeasedItem>, NotAnswered>,
    },
    /// Answer to [`Output::Renew`].
    Renewed {
        /// The group.
        group: u32,
        /// Leases that are no more.
        result: Result<Vec<AttemptRef>, NotAnswered>,
    },
    /// Answer to [`Output::Report`].
    Reported {
        /// The group.
        group: u32,
        /// Verdicts in the order of the reports.
        result: Result<Vec<AttemptVerdict>, NotAnswered>,
    },
    /// A run ended.
    Ended {
        /// Which attempt.
        attempt: AttemptRef,
        /// How.
        end: RunEnd,
    },
    /// The node stops: what runs may finish until `grace_ms` from now.
    Drain {
        /// Milliseconds.
        grace_ms: u64,
    },
}

/// Something is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Ask a group for items; answered by [`Input::Leased`].
    Lease(LeaseItems),
    /// Renew leases; answered by [`Input::Renewed`].
    Renew(RenewLeases),
    /// Report ends; answered by [`Input::Reported`].
    Report(EndAttempts),
    /// Run an item; ended by [`Input::Ended`].
    Start {
        /// Which attempt.
        attempt: AttemptRef,
        /// The item.
        item: Arc<LeasedItem>,
        /// Where.
        engine: EngineId,
        /// When its lease ends; nothing is sent after it.
        lease_end_ms: u64,
    },
    /// Tell a run something.
    Command {
        /// Which attempt.
        attempt: AttemptRef,
        /// What.
        command: RunCommand,
    },
    /// Forget all that is kept of an attempt.
    Forget(AttemptRef),
    /// Something to count.
    Count(Event),
}

/// What operators count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// So many items were leased.
    Leased(u64),
    /// An item was paused for online work.
    Yielded,
    /// An item left its engine for another.
    Moved,
    /// A lease was lost, by time or by word of its group.
    LeaseLost,
    /// A report got this verdict.
    Verdict(&'static str),
}
