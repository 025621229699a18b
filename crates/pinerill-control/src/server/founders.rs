//! The machines that found a cluster. Pure.
//!
//! Invariant: a cluster is founded by every control machine of the settings or
//! not at all. So one view of the connections must both show that all are there
//! and name them: a machine that connects between two views would be missing in
//! the plan while the check passes, and the cluster would have too few voters.

use std::net::SocketAddr;

use pinerill_wire::connection::ConnectedPeer;
use thiserror::Error;

use super::control::machine_of;
use crate::meta::ControlMachine;

/// A control machine of the settings that is not connected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("control machine {0} is not connected")]
pub struct FounderMissing(pub SocketAddr);

/// All founders in a fixed order: `own`, and the machine behind each of the
/// `others`' addresses by one view of the connections.
///
/// # Errors
/// [`FounderMissing`] names the first address without a connection.
pub fn founders(
    own: ControlMachine,
    others: impl IntoIterator<Item = SocketAddr>,
    connected: &[ConnectedPeer],
) -> Result<Vec<ControlMachine>, FounderMissing> {
    let mut machines = vec![own];
    for address in others {
        let found = connected.iter().find(|one| one.reached_at == address);
        let found = found.ok_or(FounderMissing(address))?;
        machines.push(machine_of(found.peer.clone()));
    }
    machines.sort_by_key(|machine| machine.address);
    machines.dedup_by_key(|machine| machine.replica);
    Ok(machines)
}
