//! Selects the control machines to which a control machine keeps connections. The module
//! performs no I/O and reads no clock.
//!
//! Each machine exchanges messages with the group's members and the leader, and only
//! occasionally announces itself to the others. With a full mesh, the number of connections
//! would grow with the square of the number of machines, and if all machines start at once,
//! each would wait for the authentication of all others.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// Number of known machines up to which each machine connects to every other one.
pub const MAX_FULL_MESH: usize = 16;
/// Number of additional machines that each machine connects to in a larger fleet, so that
/// addresses still spread while the leader is lost.
const EXTRA_CONNECTIONS: usize = 3;

/// Addresses of control machines, as known by one of them.
#[derive(Debug, Clone)]
pub struct KnownMachines {
    /// Address of the machine itself; never a connection target.
    pub own: SocketAddr,
    /// Every address that the machine has learnt.
    pub known: BTreeSet<SocketAddr>,
    /// Addresses from the machine's settings.
    pub seeds: Vec<SocketAddr>,
    /// Members of the group according to the machine's latest state; may be empty or stale.
    pub members: Vec<SocketAddr>,
    /// Leader of the group; `None` if unknown.
    pub leader: Option<SocketAddr>,
}

impl KnownMachines {
    /// Returns the addresses to which the machine keeps connections. `random` holds some other
    /// addresses and is used only while no leader is known: the machine may not know any member
    /// then either, and reaches more machines with each new sample.
    pub fn connection_targets(&self, random: &[SocketAddr]) -> BTreeSet<SocketAddr> {
        let mut targets = match self.known.len() <= MAX_FULL_MESH {
            true => self.known.clone(),
            false => self.neighbours(),
        };
        targets.extend(&self.seeds);
        targets.extend(&self.members);
        targets.extend(self.leader);
        if self.leader.is_none() {
            targets.extend(random);
        }
        targets.remove(&self.own);
        targets
    }

    /// Returns some other machines by rendezvous hashing: evenly spread over the fleet, and the
    /// same on each call.
    fn neighbours(&self) -> BTreeSet<SocketAddr> {
        let weight = |other: &SocketAddr| {
            let mut hasher = DefaultHasher::new();
            (self.own, other).hash(&mut hasher);
            hasher.finish()
        };
        let mut others: Vec<SocketAddr> = self.known.iter().copied().collect();
        others.retain(|other| *other != self.own);
        others.sort_by_key(|other| std::cmp::Reverse(weight(other)));
        others.into_iter().take(EXTRA_CONNECTIONS).collect()
    }
}
