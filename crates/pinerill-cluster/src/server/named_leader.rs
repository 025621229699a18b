//! The leader as other machines name it.

use std::net::SocketAddr;
use std::time::Duration;

use pinerill_calls::message::KnownLeader;
use pinerill_process::clock::BootTime;

/// How long a leader that another machine named is believed without being named
/// again: three rounds, so that a lost answer does not matter, and no longer than
/// an election takes.
const NAMED_LEADER_LIFE: Duration = Duration::from_millis(1_200);

/// The leader as another machine named it; the group itself tells members only.
#[derive(Debug, Default)]
pub(super) struct NamedLeader {
    named: Option<(KnownLeader, BootTime)>,
}

impl NamedLeader {
    /// Takes in what a machine says; what is known of a later term stays.
    pub(super) fn take_in(&mut self, leader: KnownLeader) {
        let newer = |(known, _): &(KnownLeader, BootTime)| known.term > leader.term;
        if !self.current().as_ref().is_some_and(newer) {
            self.named = Some((leader, BootTime::now()));
        }
    }

    pub(super) fn current(&self) -> Option<(KnownLeader, BootTime)> {
        self.named
            .filter(|(_, heard)| heard.elapsed() < NAMED_LEADER_LIFE)
    }

    /// Its address, if it was named lately.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.current().map(|(leader, _)| leader.address)
    }
}
