//! Which control machines a control machine keeps connections to. Pure.
//!
//! Each machine deals with the group's members and its leader; the others it tells now and then
//! that it is there. Connections of all to all would grow with the square of their number, and
//! where all start at once each of them waits for the proofs of all.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// Machines up to which each keeps a connection to each.
pub const FULL_MESH: usize = 16;
/// Other machines to which one keeps connections besides, so that addresses also travel while
/// the leader is lost.
const NEIGHBOURS: usize = 3;

/// What a machine knows of others.
#[derive(Debug, Clone)]
pub struct KnownMachines {
    /// Its own address.
    pub own: SocketAddr,
    /// All addresses that it ever learnt.
    pub known: BTreeSet<SocketAddr>,
    /// Those that its settings name.
    pub seeds: Vec<SocketAddr>,
    /// Members of the group, as far as it knows them.
    pub members: Vec<SocketAddr>,
    /// The leader, if it knows one.
    pub leader: Option<SocketAddr>,
}

impl KnownMachines {
    /// Addresses to which it keeps connections. `random` are some others, for a machine that
    /// knows no leader: it may know no member either, and tries more of them each time.
    pub fn connection_targets(&self, random: &[SocketAddr]) -> BTreeSet<SocketAddr> {
        let mut wanted = match self.known.len() <= FULL_MESH {
            true => self.known.clone(),
            false => self.neighbours(),
        };
        wanted.extend(&self.seeds);
        wanted.extend(&self.members);
        wanted.extend(self.leader);
        if self.leader.is_none() {
            wanted.extend(random);
        }
        wanted.remove(&self.own);
        wanted
    }

    /// Some others, spread evenly and the same each time (rendezvous hashing).
    fn neighbours(&self) -> BTreeSet<SocketAddr> {
        let weight = |other: &SocketAddr| {
            let mut hasher = DefaultHasher::new();
            (self.own, other).hash(&mut hasher);
            hasher.finish()
        };
        let mut others: Vec<SocketAddr> = self.known.iter().copied().collect();
        others.retain(|other| *other != self.own);
        others.sort_by_key(|other| std::cmp::Reverse(weight(other)));
        others.into_iter().take(NEIGHBOURS).collect()
    }
}
