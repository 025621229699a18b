//! Log replication, snapshots, reads and membership changes.

mod support;

use pinerill_replica::{
    AppendRequest, ChangeRefused, DropReason, Entry, EntryKind, Envelope, Input, MembershipChange,
    Message, Replica, ReplicaId, RestoredState, Role, SnapshotMeta,
};
use support::{config, id, Cluster, GROUP};

fn follower_of(leader: ReplicaId) -> ReplicaId {
    id(leader.0 % 3 + 1)
}

#[test]
fn an_append_is_acknowledged_only_after_its_sync() {
    let restored = RestoredState {
        snapshot: SnapshotMeta::bootstrap([id(1), id(2), id(3)]),
        ..RestoredState::default()
    };
    let mut replica = Replica::new(config(id(1)), restored);
    let entry = Entry {
        index: 2,
        term: 1,
        kind: EntryKind::Empty,
    };
    let append = Input::Message(Envelope {
        group: GROUP,
        from: id(2),
        to: id(1),
        message: Message::AppendRequest(AppendRequest {
            term: 1,
            previous_index: 1,
            previous_term: 1,
            entries: vec![entry],
            commit: 1,
        }),
    });
    replica.step(0, append.clone());
    let output = replica.take_output();
    let first = output.persist.expect("entries to write").sequence;
    assert!(output.messages.is_empty());
    // A repeated append brings nothing new, yet its answer waits as well.
    replica.step(1, append);
    let output = replica.take_output();
    assert!(output.messages.is_empty());
    replica.step(2, Input::Persisted { sequence: first });
    let acknowledged = replica.take_output().messages;
    assert_eq!(acknowledged.len(), 2);
}

#[test]
fn lost_appends_are_sent_again() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let follower = follower_of(leader);
    cluster.cut.insert((leader, follower));
    cluster.propose(leader, 1);
    cluster.deliver_all();
    cluster.cut.clear();
    cluster.run(1000);
    assert_eq!(cluster.commands(follower), vec![1]);
}

#[test]
fn uncommitted_entries_of_a_deposed_leader_are_replaced() {
    let mut cluster = Cluster::new(3);
    let old = cluster.elect();
    cluster.isolate(old);
    for token in 100..110 {
        cluster.propose(old, token);
    }
    cluster.run(3000);
    let new = cluster.leaders()[0];
    assert_eq!(cluster.node(old).dropped.len(), 10);
    cluster.propose(new, 1);
    cluster.run(200);
    cluster.cut.clear();
    cluster.run(2000);
    assert_eq!(cluster.commands(old), vec![1]);
}

#[test]
fn a_newcomer_catches_up_by_snapshot_then_votes() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    for token in 0..500 {
        cluster.propose(leader, token);
    }
    cluster.run(200);
    let saved = cluster.node(leader).save_snapshot();
    cluster.step(leader, saved);
    cluster.start(id(4), RestoredState::default());
    cluster.change(leader, 1000, MembershipChange::AddLearner(id(4)));
    cluster.run(1000);
    assert!(cluster.sent["snapshot_chunk"] >= 3);
    let snapshot_index = cluster.node(id(4)).disk.snapshot.index;
    assert!(snapshot_index > 500);
    cluster.change(leader, 1001, MembershipChange::Promote(id(4)));
    cluster.run(200);
    let membership = cluster.node(id(4)).replica.status().membership;
    assert!(membership.is_voter(id(4)));
    assert_eq!(membership.quorum(), 3);
}

#[test]
fn a_restart_keeps_what_was_acknowledged() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    for token in 0..300 {
        cluster.propose(leader, token);
    }
    cluster.run(200);
    for number in 1..=3 {
        let disk = cluster.node(id(number)).disk.clone();
        cluster.start(id(number), disk);
    }
    let leader = cluster.elect();
    assert_eq!(cluster.commands(leader), (0..300).collect::<Vec<_>>());
}

#[test]
fn a_learner_that_lacks_entries_is_not_promoted() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    cluster.change(leader, 1, MembershipChange::AddLearner(id(4)));
    cluster.run(200);
    cluster.change(leader, 2, MembershipChange::Promote(id(4)));
    let dropped = cluster.node(leader).dropped[0];
    let refused = ChangeRefused::NotCaughtUp(id(4));
    assert_eq!(dropped.reason, DropReason::ChangeRefused(refused));
}

#[test]
fn a_change_is_refused_while_another_is_uncommitted() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    cluster.isolate(leader);
    cluster.change(leader, 1, MembershipChange::AddLearner(id(4)));
    cluster.change(leader, 2, MembershipChange::AddLearner(id(5)));
    let dropped = cluster.node(leader).dropped[0];
    let refused = ChangeRefused::ChangeInProgress;
    assert_eq!(dropped.reason, DropReason::ChangeRefused(refused));
}

#[test]
fn a_removed_leader_answers_the_change_and_does_not_disturb() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    cluster.change(leader, 9, MembershipChange::Remove(leader));
    cluster.run(5000);
    let answered = cluster.node(leader).applied.iter();
    assert!(answered.clone().any(|entry| entry.token == Some(9)));
    assert_eq!(cluster.node(leader).replica.status().role, Role::Follower);
    let leaders = cluster.leaders();
    assert_eq!(leaders.len(), 1);
    let term = cluster.node(leaders[0]).replica.status().term;
    cluster.run(10_000);
    assert_eq!(cluster.node(leaders[0]).replica.status().term, term);
}

#[test]
fn waiting_reads_share_a_heartbeat_round() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let before = cluster.sent["heartbeat"];
    let now_ms = cluster.now_ms;
    for token in 0..50 {
        let read = Input::ReadIndex { token };
        cluster.node(leader).replica.step(now_ms, read);
    }
    cluster.step(leader, Input::ReadIndex { token: 50 });
    cluster.deliver_all();
    assert_eq!(cluster.node(leader).reads.len(), 51);
    assert_eq!(cluster.sent["heartbeat"] - before, 2);
}

#[test]
fn a_follower_read_is_confirmed_by_the_leader() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let follower = follower_of(leader);
    cluster.propose(leader, 1);
    cluster.deliver_all();
    let commit = cluster.node(leader).replica.status().commit;
    cluster.step(follower, Input::ReadIndex { token: 5 });
    cluster.deliver_all();
    let read = cluster.node(follower).reads[0];
    assert_eq!((read.token, read.index), (5, commit));
}

#[test]
fn a_cut_off_leader_confirms_no_read() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    cluster.isolate(leader);
    cluster.step(leader, Input::ReadIndex { token: 5 });
    cluster.run(3000);
    assert!(cluster.node(leader).reads.is_empty());
    assert_eq!(cluster.node(leader).dropped.len(), 1);
}

#[test]
fn an_idle_group_sends_only_heartbeats() {
    let mut cluster = Cluster::new(3);
    cluster.elect();
    cluster.sent.clear();
    cluster.run(10_000);
    assert_eq!(cluster.sent["heartbeat"], 200, "10 a second to 2 followers");
    assert_eq!(cluster.sent.get("append_request"), None);
}

#[test]
fn a_log_of_large_entries_keeps_few_of_them_behind_a_snapshot() {
    const ENTRY_BYTES: usize = 8 + 32;
    const KEPT: u64 = 10;
    let mut cluster = Cluster::new(1);
    let leader = id(1);
    let mut settings = config(leader);
    settings.compaction_margin = 1000;
    settings.compaction_margin_bytes = KEPT as usize * ENTRY_BYTES;
    let disk = cluster.node(leader).disk.clone();
    cluster.node(leader).replica = Replica::new(settings, disk);
    cluster.elect();
    for token in 0..50 {
        cluster.propose(leader, token);
    }
    let (now_ms, applied) = (
        cluster.now_ms,
        cluster.node(leader).replica.status().applied,
    );
    let node = cluster.node(leader);
    let saved = node.save_snapshot();
    node.replica.step(now_ms, saved);
    assert_eq!(node.replica.take_output().compact_to, Some(applied - KEPT));
}
