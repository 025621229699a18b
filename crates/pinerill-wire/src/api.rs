//! The two sides of a call, as traits: [`Service`] answers, [`ControlApi`]
//! asks. Code above this crate is written against them, so that tests can
//! stand in for either side.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;

use crate::message::{GroupRecord, Notification, Refusal, Request, Response};

/// Role of a process, proved by the handshake.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// A control machine.
    Control,
    /// A node.
    Node,
    /// An operator's command.
    Operator,
}

/// The other side of a connection, as its handshake named it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its role.
    pub role: Role,
    /// Its name from its settings.
    pub name: String,
    /// Its zone; empty for an operator.
    pub zone: String,
    /// Identity of its data folder; 0 without one.
    pub replica: u64,
    /// Identity of the cluster it belongs to; 0 when it has none yet.
    pub cluster_id: u64,
    /// Its internal address when it listens, otherwise where it connects from.
    pub address: SocketAddr,
}

/// How a call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallErrorKind {
    /// The request certainly did not reach a peer.
    NotSent,
    /// It may have been carried out.
    Unknown,
    /// The peer refused it.
    Refused(Box<Refusal>),
}

/// An error of a call, with its step and peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallError {
    /// How it failed.
    pub kind: CallErrorKind,
    /// The step: `connect`, `handshake`, `send`, `await answer`, …
    pub step: String,
    /// Name or address of the peer.
    pub peer: String,
    /// What went wrong.
    pub message: String,
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} with {}: {}",
            self.step, self.peer, self.message
        )
    }
}

impl std::error::Error for CallError {}

impl From<Refusal> for CallError {
    fn from(refusal: Refusal) -> Self {
        Self {
            step: refusal.step.clone(),
            peer: refusal.peer.clone(),
            message: refusal.message.clone(),
            kind: CallErrorKind::Refused(Box::new(refusal)),
        }
    }
}

/// Answers calls.
#[async_trait]
pub trait Service: Send + Sync + 'static {
    /// Answers one request; never panics on bad input.
    async fn call(&self, peer: &Peer, request: Request) -> Response;

    /// Takes in one notification; must not block.
    fn notified(&self, peer: &Peer, notification: Notification) {
        let _ = (peer, notification);
    }
}

/// Asks the control machines.
#[async_trait]
pub trait ControlApi: Send + Sync + 'static {
    /// Asks any control machine: the one last in use, then others.
    /// Requests that change something are safe to send again.
    async fn call_any(&self, request: Request, timeout: Duration) -> Result<Response, CallError>;

    /// Asks the leader of a group, following `NotLeader` refusals until the
    /// time is up.
    async fn call_leader(
        &self,
        group: u32,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, CallError>;

    /// Takes in leaders from a watch.
    fn learn_groups(&self, groups: &[GroupRecord]);
}
