//! Replicas whose process was paused.

mod support;

use pinerill_replica::{
    Envelope, Heartbeat, Input, Message, Replica, ReplicaId, RestoredState, Role, SnapshotMeta,
};
use support::{config, id, Cluster, GROUP};

/// Pauses these replicas; what they hear comes after it.
fn pause(cluster: &mut Cluster, replicas: &[ReplicaId], ms: u64) {
    cluster.now_ms += ms;
    for replica in replicas {
        cluster.step(*replica, Input::ProcessPaused { ms });
        cluster.step(*replica, Input::Tick);
    }
}

fn all() -> Vec<ReplicaId> {
    (1..=3).map(id).collect()
}

fn term(cluster: &mut Cluster, replica: ReplicaId) -> u64 {
    cluster.node(replica).replica.status().term
}

/// Guards against elections, and proposals cut by them, that nothing but a pause of all
/// members brings about.
#[test]
fn a_group_paused_for_less_than_an_election_keeps_its_leader() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let term_before = term(&mut cluster, leader);
    let pause_ms = config(leader).election_max_ms - 2 * config(leader).heartbeat_ms;
    for token in 0..20 {
        pause(&mut cluster, &all(), pause_ms);
        cluster.propose(leader, token);
        cluster.run(100);
    }
    assert_eq!(cluster.leaders(), vec![leader]);
    assert_eq!(term(&mut cluster, leader), term_before);
    assert!(cluster.node(leader).dropped.is_empty());
    assert_eq!(cluster.commands(leader), (0..20).collect::<Vec<_>>());
}

/// Others may have elected a leader meanwhile: its callers must not wait for it to find out.
#[test]
fn a_leader_paused_for_an_election_steps_down_at_once() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let pause_ms = config(leader).election_max_ms;
    pause(&mut cluster, &[leader], pause_ms);
    assert_ne!(cluster.node(leader).replica.status().role, Role::Leader);
}

/// Pauses that follow each other must not add up to a leadership without followers.
#[test]
fn a_leader_that_hears_nobody_between_pauses_steps_down() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    cluster.isolate(leader);
    let (shortest_ms, longest_ms) = (
        config(leader).election_min_ms,
        config(leader).election_max_ms,
    );
    for _ in 0..=longest_ms / shortest_ms {
        pause(&mut cluster, &[leader], shortest_ms);
    }
    assert_ne!(cluster.node(leader).replica.status().role, Role::Leader);
}

/// A voter of three that follows the second; the others are played by the test.
fn follower() -> Replica {
    let restored = RestoredState {
        snapshot: SnapshotMeta::bootstrap(all()),
        ..RestoredState::default()
    };
    let mut replica = Replica::new(config(id(1)), restored);
    let heartbeat = Heartbeat {
        term: 1,
        commit: 0,
        round: 1,
    };
    let heard = Envelope {
        group: GROUP,
        from: id(2),
        to: id(1),
        message: Message::Heartbeat(heartbeat),
    };
    replica.step(0, Input::Message(heard));
    assert_eq!(replica.status().leader, Some(id(2)));
    replica
}

/// A follower that heard nobody because it could not knows nothing of its leader's silence.
#[test]
fn a_paused_follower_lets_its_leader_speak_first() {
    let mut replica = follower();
    let ms = 20_000;
    replica.step(ms, Input::ProcessPaused { ms });
    replica.step(ms, Input::Tick);
    assert_eq!(replica.status().role, Role::Follower);
    assert_eq!(replica.status().leader, Some(id(2)));
}

#[test]
fn a_paused_follower_campaigns_when_its_leader_stays_silent() {
    let mut replica = follower();
    let ms = 20_000;
    replica.step(ms, Input::ProcessPaused { ms });
    replica.step(ms + config(id(1)).election_max_ms, Input::Tick);
    assert_eq!(replica.status().role, Role::PreCandidate);
}
