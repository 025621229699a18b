//! Elections, votes and leadership.

mod support;

use pinerill_replica::{
    DropReason, Dropped, Envelope, HardState, Input, MembershipChange, Message, Replica,
    RestoredState, Role, SnapshotMeta, VoteRequest,
};
use support::{config, id, Cluster, GROUP};

#[test]
fn one_leader_commits_on_every_replica() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    for token in 0..20 {
        cluster.propose(leader, token);
    }
    cluster.run(200);
    for number in 1..=3 {
        assert_eq!(cluster.commands(id(number)), (0..20).collect::<Vec<_>>());
    }
}

#[test]
fn a_single_voter_leads_and_commits_alone() {
    let mut cluster = Cluster::new(1);
    let leader = cluster.elect();
    cluster.propose(leader, 1);
    cluster.step(leader, Input::ReadIndex { token: 2 });
    assert_eq!(cluster.commands(leader), vec![1]);
    assert_eq!(cluster.node(leader).reads[0].token, 2);
}

fn voter_of_three() -> Replica {
    let restored = RestoredState {
        snapshot: SnapshotMeta::bootstrap([id(1), id(2), id(3)]),
        ..RestoredState::default()
    };
    Replica::new(config(id(1)), restored)
}

fn vote_request(from: u64, term: u64) -> Input {
    let request = VoteRequest {
        term,
        last_index: SnapshotMeta::BOOTSTRAP_INDEX,
        last_term: SnapshotMeta::BOOTSTRAP_TERM,
        transfer: false,
    };
    Input::Message(Envelope {
        group: GROUP,
        from: id(from),
        to: id(1),
        message: Message::VoteRequest(request),
    })
}

fn votes(messages: &[Envelope]) -> Vec<(u64, bool)> {
    let vote = |envelope: &Envelope| match &envelope.message {
        Message::VoteResponse(response) => Some((envelope.to.0, response.granted)),
        _ => None,
    };
    messages.iter().filter_map(vote).collect()
}

#[test]
fn a_vote_leaves_only_after_its_sync() {
    let mut replica = voter_of_three();
    replica.step(0, vote_request(2, 5));
    let output = replica.take_output();
    let persist = output.persist.expect("the vote is written");
    let expected = HardState {
        term: 5,
        vote: Some(id(2)),
    };
    assert_eq!(persist.hard_state, Some(expected));
    assert!(votes(&output.messages).is_empty());
    let sequence = persist.sequence;
    replica.step(1, Input::Persisted { sequence });
    assert_eq!(votes(&replica.take_output().messages), vec![(2, true)]);
}

#[test]
fn one_vote_per_term() {
    let mut replica = voter_of_three();
    replica.step(0, vote_request(2, 5));
    replica.step(0, vote_request(3, 5));
    let sequence = replica.take_output().persist.expect("a vote").sequence;
    replica.step(1, Input::Persisted { sequence });
    let messages = replica.take_output().messages;
    assert_eq!(votes(&messages), vec![(2, true), (3, false)]);
}

#[test]
fn a_candidate_counts_its_own_vote_only_after_its_sync() {
    let restored = RestoredState {
        snapshot: SnapshotMeta::bootstrap([id(1)]),
        ..RestoredState::default()
    };
    let mut replica = Replica::new(config(id(1)), restored);
    replica.step(0, Input::Tick);
    replica.step(5000, Input::Tick);
    let sequence = replica.take_output().persist.expect("own vote").sequence;
    assert_eq!(replica.status().role, Role::Candidate);
    replica.step(5001, Input::Persisted { sequence });
    assert_eq!(replica.status().role, Role::Leader);
}

#[test]
fn a_message_for_another_identifier_is_dropped() {
    let mut replica = voter_of_three();
    let Input::Message(mut envelope) = vote_request(2, 5) else {
        unreachable!("a message");
    };
    envelope.to = id(9);
    replica.step(0, Input::Message(envelope));
    assert!(replica.take_output().persist.is_none());
}

#[test]
fn a_cut_off_replica_does_not_disturb_on_its_return() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let term = cluster.node(leader).replica.status().term;
    let other = id(leader.0 % 3 + 1);
    cluster.isolate(other);
    cluster.run(20_000);
    assert_eq!(cluster.node(other).replica.status().term, term);
    cluster.cut.clear();
    cluster.run(2000);
    assert_eq!(cluster.leaders(), vec![leader]);
    assert_eq!(cluster.node(leader).replica.status().term, term);
}

#[test]
fn a_leader_cut_from_its_quorum_steps_down() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    cluster.isolate(leader);
    cluster.run(1000);
    assert_ne!(
        cluster.node(leader).replica.status().role,
        Role::Leader,
        "stepped down within a second"
    );
    cluster.run(3000);
    assert_eq!(cluster.leaders().len(), 1);
}

#[test]
fn a_leader_that_hears_nobody_but_is_heard_steps_down() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    for number in 1..=3 {
        cluster.cut.insert((id(number), leader));
    }
    cluster.run(4000);
    let leaders = cluster.leaders();
    assert_eq!(leaders.len(), 1);
    assert_ne!(leaders[0], leader);
}

#[test]
fn leadership_is_handed_over_without_losing_a_proposal() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    cluster.propose(leader, 1);
    cluster.step(leader, Input::TransferLeadership { to: None });
    cluster.run(100);
    let leaders = cluster.leaders();
    assert_eq!(leaders.len(), 1);
    assert_ne!(leaders[0], leader, "handed over within 100 ms");
    assert!(cluster.node(leader).dropped.is_empty());
    assert_eq!(cluster.commands(leaders[0]), vec![1]);
}

/// Loses every message of one kind from the leader.
fn drop_orders_to_campaign(cluster: &mut Cluster) {
    cluster.lost = |message| matches!(message, Message::TimeoutNow(_));
}

#[test]
fn a_draining_leader_turns_to_another_voter_when_the_first_does_not_campaign() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    drop_orders_to_campaign(&mut cluster);
    cluster.step(leader, Input::Drain);
    cluster.deliver_all();
    cluster.lost = |_| false;
    let first = cluster.last_order_to_campaign.expect("ordered");
    cluster.run(config(leader).election_min_ms + 200);
    let leaders = cluster.leaders();
    assert_eq!(leaders.len(), 1);
    assert_ne!(leaders[0], leader);
    assert_ne!(leaders[0], first);
}

#[test]
fn a_draining_leader_takes_no_proposal_between_two_attempts() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    drop_orders_to_campaign(&mut cluster);
    cluster.step(leader, Input::Drain);
    for token in 0..300 {
        cluster.propose(leader, token);
        cluster.run(10);
    }
    let change = MembershipChange::AddLearner(id(4));
    cluster.change(leader, 300, change);
    let dropped = &cluster.node(leader).dropped;
    assert_eq!(dropped.len(), 301);
    let busy = |one: &Dropped| one.reason == DropReason::Busy;
    assert!(dropped.iter().all(busy));
}

#[test]
fn a_draining_replica_that_wins_an_election_hands_over_at_once() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let others = (1..=3).map(id).filter(|one| *one != leader);
    for other in others {
        cluster.step(other, Input::Drain);
    }
    let restarted = cluster.node(leader).disk.clone();
    cluster.isolate(leader);
    cluster.run(3_000);
    cluster.cut.clear();
    cluster.start(leader, restarted);
    cluster.run(3_000);
    assert_eq!(cluster.leaders(), vec![leader]);
}

/// It would have to hand leadership on, and may end before that is done.
#[test]
fn a_draining_follower_is_not_made_leader_by_an_order() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let draining = id(leader.0 % 3 + 1);
    cluster.step(draining, Input::Drain);
    let to = Some(draining);
    cluster.step(leader, Input::TransferLeadership { to });
    cluster.run(config(leader).election_min_ms);
    assert_eq!(cluster.leaders(), vec![leader]);
}

/// A removed learner hears nothing of later leaders; it must not send anybody to
/// the one that it last heard.
#[test]
fn a_removed_learner_names_no_leader() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    cluster.start(id(4), RestoredState::default());
    cluster.change(leader, 1, MembershipChange::AddLearner(id(4)));
    cluster.run(1_000);
    let named = |cluster: &mut Cluster| cluster.node(id(4)).replica.status().leader;
    assert_eq!(named(&mut cluster), Some(leader));
    cluster.change(leader, 2, MembershipChange::Remove(id(4)));
    cluster.run(3_000);
    assert_eq!(named(&mut cluster), None);
}

#[test]
fn replicas_that_start_together_have_a_leader_before_the_shortest_election_timeout() {
    for voters in [3, 5, 9] {
        let mut cluster = Cluster::new(voters);
        let shortest_ms = config(id(1)).election_min_ms;
        cluster.run(shortest_ms);
        assert_eq!(cluster.leaders().len(), 1, "{voters} voters");
    }
}

#[test]
fn a_replica_that_starts_beside_a_leader_does_not_depose_it() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let term = cluster.node(leader).replica.status().term;
    let other = (1..=3).map(id).find(|one| *one != leader).unwrap();
    let disk = cluster.node(other).disk.clone();
    cluster.start(other, disk);
    // It is cut off at its start and asks for votes again and again.
    cluster.isolate(other);
    cluster.run(400);
    cluster.cut.clear();
    cluster.run(400);
    assert_eq!(cluster.leaders(), vec![leader]);
    assert_eq!(cluster.node(leader).replica.status().term, term);
}
