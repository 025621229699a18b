//! Leader of the group according to other machines, for machines that are not members of the
//! group.

use std::net::SocketAddr;
use std::time::Duration;

use pinerill_calls::message::KnownLeader;
use pinerill_process::clock::BootTime;

/// Time for which a hint is valid after it was received. It covers three announcement rounds, so
/// that one lost answer does not matter, and is no longer than an election takes.
const LEADER_HINT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Leader that another machine named. The group itself tells its leader only to its members.
#[derive(Debug, Default)]
pub(super) struct LeaderHint {
    hint: Option<(KnownLeader, BootTime)>,
}

impl LeaderHint {
    /// Stores a hint, unless a valid one of a later term is known.
    pub(super) fn update(&mut self, leader: KnownLeader) {
        let newer = |(known, _): &(KnownLeader, BootTime)| known.term > leader.term;
        if !self.current().as_ref().is_some_and(newer) {
            self.hint = Some((leader, BootTime::now()));
        }
    }

    pub(super) fn current(&self) -> Option<(KnownLeader, BootTime)> {
        self.hint
            .filter(|(_, received)| received.elapsed() < LEADER_HINT_TIMEOUT)
    }

    /// Returns the leader's address, or `None` if no hint arrived within [`LEADER_HINT_TIMEOUT`].
    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.current().map(|(leader, _)| leader.address)
    }
}
