//! What runs on a group, and how clients call it.

use pinerill_control::host::{ChangeError, ProposeError, ReadError};
use pinerill_control::machine::StateMachine;
use pinerill_replica::{MembershipChange, Status};
use pinerill_storage::GroupReader;

use crate::defect::Defect;

/// A client of the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(pub u32);

impl ClientId {
    /// The operator who replaces lost machines.
    pub const REPAIR: ClientId = ClientId(u32::MAX);
}

/// One call of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// The state machine of a group, with the reads that its servers answer.
pub trait GroupService: 'static {
    /// The machine, the very one that serves.
    type Machine: StateMachine + Default;
    /// What a client may ask.
    type Query: Clone;
    /// What it is answered.
    type View;

    /// A new machine, with the deliberate defect if it is one of this machine.
    fn machine(_defect: Option<Defect>) -> Self::Machine {
        Self::Machine::default()
    }

    /// Answers a query from the state at hand.
    fn read(query: &Self::Query, machine: &Self::Machine, table: &dyn GroupReader) -> Self::View;
}

/// What a client asks of a control machine.
pub enum CallKind<S: GroupService> {
    /// Proposes a command.
    Propose(Vec<u8>),
    /// Reads at a confirmed index.
    Read(S::Query),
    /// Reads at a confirmed index, or else what is at hand, marked so.
    ReadAnyway(S::Query),
    /// Changes one member of the group.
    ChangeMembership(MembershipChange),
    /// Asks how the group looks from there.
    Status,
}

/// What became of a call.
pub enum CallResult<S: GroupService> {
    /// Of a proposal.
    Proposed(Result<Vec<u8>, ProposeError>),
    /// Of a read at a confirmed index.
    Read(Result<S::View, ReadError>),
    /// Of a read that could not be confirmed: what is at hand.
    Unconfirmed(S::View),
    /// Of a change of membership.
    Changed(Result<(), ChangeError>),
    /// How the group looks from there.
    Status(Box<Status>),
    /// No process listens there; nothing was done.
    Refused,
    /// Nothing was heard in time; it may or may not have been done.
    TimedOut,
}

/// An answer on its way to a client.
pub struct CallAnswer<S: GroupService> {
    /// The call.
    pub call: CallId,
    /// The client.
    pub client: ClientId,
    /// Place of the machine that was called.
    pub machine: usize,
    /// What became of it.
    pub result: CallResult<S>,
}

/// Why a client is woken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// It may begin its next operation.
    Next,
    /// It checks whether it may serve.
    Serve,
}
