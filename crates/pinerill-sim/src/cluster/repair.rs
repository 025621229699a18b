//! The replacement of lost machines, as `cluster replace` does it: learner,
//! voter, then the lost one out.

use std::collections::{BTreeMap, BTreeSet};

use pinerill_control::host::ChangeError;
use pinerill_control::meta::GroupMembers;
use pinerill_control::server::{next_step, MembershipStep};
use pinerill_replica::{MembershipChange, ReplicaId, Role, Status};
use pinerill_storage::GroupStore;

use super::core::Cluster;
use super::service::{CallAnswer, CallId, CallKind, CallResult, ClientId, GroupService, Timer};
use super::settings::GROUP;

/// Pause between two looks at the group, milliseconds.
const PAUSE_MS: u64 = 100;
/// How long a call is waited for, milliseconds.
const CALL_TIMEOUT_MS: u64 = 800;

/// One replacement under way.
struct Repair {
    new: ReplicaId,
    /// Committed index when the promotion was first asked for.
    promoted_from: Option<u64>,
}

/// What an open call of the repair is for.
#[derive(Clone, Copy)]
enum Purpose {
    Look,
    Change(MembershipChange),
}

/// All replacements.
#[derive(Default)]
pub(super) struct Repairs {
    open: BTreeMap<ReplicaId, Repair>,
    calls: BTreeMap<CallId, (ReplicaId, Purpose)>,
    /// Where the leader was last seen.
    leader: Option<usize>,
    done: usize,
}

impl Repairs {
    pub(super) fn done(&self) -> usize {
        self.done
    }

    pub(super) fn start<S: GroupService>(&self, cluster: &mut Cluster<S>) {
        cluster.wake(ClientId::REPAIR, PAUSE_MS, Timer::Next);
    }

    pub(super) fn woken<S: GroupService>(&mut self, cluster: &mut Cluster<S>) {
        for (lost, new) in cluster.lost.clone() {
            self.open.entry(lost).or_insert(Repair {
                new,
                promoted_from: None,
            });
            let busy = self.calls.values().any(|(one, _)| *one == lost);
            if !busy {
                let place = self.somewhere(cluster);
                self.call(cluster, lost, place, Purpose::Look);
            }
        }
        cluster.wake(ClientId::REPAIR, PAUSE_MS, Timer::Next);
    }

    fn somewhere<S: GroupService>(&mut self, cluster: &mut Cluster<S>) -> usize {
        let leader = self.leader.take();
        leader.unwrap_or_else(|| cluster.any_place())
    }

    fn call<S: GroupService>(
        &mut self,
        cluster: &mut Cluster<S>,
        lost: ReplicaId,
        place: usize,
        purpose: Purpose,
    ) {
        let kind = match purpose {
            Purpose::Look => CallKind::Status,
            Purpose::Change(change) => CallKind::ChangeMembership(change),
        };
        let call = cluster.call(ClientId::REPAIR, place, kind, CALL_TIMEOUT_MS);
        self.calls.insert(call, (lost, purpose));
    }

    pub(super) fn answered<S: GroupService>(
        &mut self,
        cluster: &mut Cluster<S>,
        answer: CallAnswer<S>,
    ) {
        let Some((lost, purpose)) = self.calls.remove(&answer.call) else {
            return;
        };
        match (purpose, answer.result) {
            (Purpose::Look, CallResult::Status(status)) => {
                self.look(cluster, lost, answer.machine, &status);
            }
            (Purpose::Change(change), CallResult::Changed(result)) => {
                self.changed(cluster, lost, change, &result);
                self.leader = Some(answer.machine);
            }
            _ => {}
        }
    }

    fn look<S: GroupService>(
        &mut self,
        cluster: &mut Cluster<S>,
        lost: ReplicaId,
        place: usize,
        status: &Status,
    ) {
        let leads = status.role == Role::Leader && status.settled;
        if !leads {
            self.leader = status.leader.and_then(|leader| cluster.place_of(leader));
            return;
        }
        self.leader = Some(place);
        let Some(repair) = self.open.get_mut(&lost) else {
            return;
        };
        let Some(change) = next_change(status, lost, repair.new) else {
            if status.membership_index <= status.commit {
                self.finish(cluster, lost);
            }
            return;
        };
        if let MembershipChange::Promote(_) = change {
            let committed = cluster.committed_index();
            repair.promoted_from.get_or_insert(committed);
        }
        cluster.note(|| format!("repair of {lost}: {change:?}"));
        self.call(cluster, lost, place, Purpose::Change(change));
    }

    fn changed<S: GroupService>(
        &mut self,
        cluster: &mut Cluster<S>,
        lost: ReplicaId,
        change: MembershipChange,
        result: &Result<(), ChangeError>,
    ) {
        let (MembershipChange::Promote(new), Some(repair)) = (change, self.open.get_mut(&lost))
        else {
            return;
        };
        match result {
            Ok(()) => {
                let floor = repair.promoted_from.unwrap_or(0);
                check_caught_up(cluster, new, floor);
            }
            // Refused for certain: the next attempt counts from its own time.
            Err(ChangeError::Refused(_)) => repair.promoted_from = None,
            Err(_) => {}
        }
    }

    fn finish<S: GroupService>(&mut self, cluster: &mut Cluster<S>, lost: ReplicaId) {
        let repair = self.open.remove(&lost);
        cluster.repaired(lost);
        if repair.is_some_and(|one| one.new == lost) {
            cluster.observe("learner added");
            return;
        }
        self.done += 1;
        cluster.observe("repair done");
        cluster.note(|| format!("repair of {lost} is done"));
    }
}

/// The server's own next step towards `new` in the place of `lost`, or, if
/// they are the same, towards a new learner. Members that other repairs are
/// about stay as they are.
fn next_change(status: &Status, lost: ReplicaId, new: ReplicaId) -> Option<MembershipChange> {
    let members = &status.membership;
    let others = |set: &BTreeSet<ReplicaId>| {
        let others = set.iter().filter(|one| **one != lost && **one != new);
        others.map(|one| one.0).collect::<Vec<u64>>()
    };
    let mut wanted = GroupMembers {
        voters: others(&members.voters),
        learners: others(&members.learners),
    };
    if lost == new {
        wanted.learners.push(new.0);
    } else {
        wanted.voters.push(new.0);
    }
    match next_step(status.id, members, &wanted)? {
        MembershipStep::Change(change) => Some(change),
        // The lost one is no process any more, so it can't be the leader.
        MembershipStep::HandOver => None,
    }
}

/// A replica that was made voter durably has all that was committed when its
/// promotion was asked for.
fn check_caught_up<S: GroupService>(cluster: &mut Cluster<S>, new: ReplicaId, floor: u64) {
    let Some(place) = cluster.place_of(new) else {
        return;
    };
    let restored = cluster.machines[place].store.restore(GROUP);
    let durable = restored.ok().flatten().map_or(0, |group| {
        let last_entry = group.state.entries.last().map_or(0, |entry| entry.index);
        last_entry.max(group.state.snapshot.index)
    });
    if durable < floor {
        let detail = format!("{new} votes with {durable} of {floor} committed entries");
        cluster.violate("a new voter has caught up", detail);
    }
}
