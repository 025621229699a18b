//! Faults, and when they happen.

/// Which control machine a fault hits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The leader with the highest term, or any machine if there is none.
    Leader,
    /// One that does not lead.
    Follower,
    /// Any one.
    Any,
    /// The one at this place.
    Place(usize),
}

/// Which way a machine's links are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Both ways.
    Both,
    /// It hears nobody.
    Inbound,
    /// Nobody hears it.
    Outbound,
}

/// What happens to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientFault {
    /// Its process starts again.
    Restart,
    /// Its process does nothing for a while.
    Freeze {
        /// How long, milliseconds.
        duration_ms: u64,
    },
    /// Its links to all control machines are cut.
    Cut {
        /// How long, milliseconds.
        duration_ms: u64,
        /// Which way.
        direction: Direction,
    },
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process dies; what was not synced is lost.
    Crash {
        /// Which machine.
        target: Target,
        /// Until it starts again, milliseconds.
        down_ms: u64,
    },
    /// The process dies and its disk is empty when it starts again.
    LoseDisk {
        /// Which machine.
        target: Target,
        /// Until it starts again, milliseconds.
        down_ms: u64,
    },
    /// The process hands over its leadership and starts again.
    PlannedRestart {
        /// Which machine.
        target: Target,
    },
    /// The process does nothing for a while.
    Freeze {
        /// Which machine.
        target: Target,
        /// How long, milliseconds.
        duration_ms: u64,
    },
    /// The machine's links to the other machines are cut in silence.
    Cut {
        /// Which machine.
        target: Target,
        /// Which way.
        direction: Direction,
        /// Whether its clients are cut off too.
        clients: bool,
        /// How long, milliseconds.
        duration_ms: u64,
    },
    /// Machines fall into two sides that don't hear each other.
    Split {
        /// How many are on the smaller side.
        smaller: usize,
        /// How long, milliseconds.
        duration_ms: u64,
    },
    /// Links lose, repeat and delay for a while.
    BadLinks {
        /// How long, milliseconds.
        duration_ms: u64,
    },
    /// Something happens to one client that the workload picks.
    Client(ClientFault),
}

impl Fault {
    /// Its kind, for counting.
    pub fn kind(&self) -> &'static str {
        match self {
            Fault::Crash { .. } => "crash",
            Fault::LoseDisk { .. } => "lost disk",
            Fault::PlannedRestart { .. } => "planned restart",
            Fault::Freeze { .. } => "freeze",
            Fault::Cut { .. } => "cut",
            Fault::Split { .. } => "split",
            Fault::BadLinks { .. } => "bad links",
            Fault::Client(ClientFault::Restart) => "client restart",
            Fault::Client(ClientFault::Freeze { .. }) => "client freeze",
            Fault::Client(ClientFault::Cut { .. }) => "client cut",
        }
    }
}

/// When a fault happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trigger {
    /// At a virtual time, milliseconds.
    At(u64),
    /// Some time after the given repair (from 1) is done.
    AfterRepair {
        /// Which repair.
        number: usize,
        /// How long after it, milliseconds.
        delay_ms: u64,
    },
    /// Some time after the given candidacy (from 1) begins.
    AfterCandidacy {
        /// Which candidacy.
        number: usize,
        /// How long after it, milliseconds.
        delay_ms: u64,
    },
    /// Some time after the given election (from 1) is won.
    AfterElection {
        /// Which election.
        number: usize,
        /// How long after it, milliseconds.
        delay_ms: u64,
    },
}

/// A fault and when it happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// When.
    pub trigger: Trigger,
    /// What.
    pub fault: Fault,
}

impl PlannedFault {
    /// A fault at a virtual time.
    pub fn at(at_ms: u64, fault: Fault) -> Self {
        PlannedFault {
            trigger: Trigger::At(at_ms),
            fault,
        }
    }
}
