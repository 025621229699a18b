//! Hosts that commit, restart, catch up and replace a lost disk.

mod host_support;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use host_support::{
    confirmed_read, eventually, settings, test_clock, Cluster, CountingMachine, Fate, GROUP,
};
use pinerill_control::host::{ChangeError, GroupHandle, GroupHost, ProposeError};
use pinerill_replica::{ChangeRefused, GroupId, MembershipChange, Message, ReplicaId};
use pinerill_storage::{GroupStore, MemoryStore, Store};

fn id(number: u64) -> ReplicaId {
    ReplicaId(number)
}

/// Three voters on stores in memory.
fn three() -> (Cluster, Vec<MemoryStore>) {
    let mut cluster = Cluster::new();
    let voters = [id(1), id(2), id(3)];
    let stores: Vec<MemoryStore> = voters.map(MemoryStore::synced).to_vec();
    for store in &stores {
        cluster.start(Arc::new(store.clone()), &voters);
    }
    (cluster, stores)
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_commit_and_followers_read_them() {
    let (cluster, _stores) = three();
    cluster.propose_many(0, 50).await;
    cluster.check_all_have(0, 50).await;
    let leader = cluster.leader().await;
    let follower = cluster.members.keys().find(|id| **id != leader);
    let follower = &cluster.members[follower.expect("three members")].group;
    let refused = follower.propose(b"x".to_vec()).await;
    let leader = Some(leader);
    assert_eq!(refused, Err(ProposeError::NotLeader { leader }));
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_are_applied_in_the_order_in_which_they_were_enqueued() {
    let (cluster, _stores) = three();
    let group = cluster.leader_group().await;
    let enqueued: Vec<_> = (0..50u64)
        .map(|number| group.enqueue(format!("{number:05}").into_bytes()))
        .collect();
    for (number, command) in (1u64..).zip(enqueued) {
        let answer = command.expect("enqueued").answer().await;
        assert_eq!(answer, Ok(number.to_be_bytes().to_vec()));
    }
}

/// A leader that was suspended heard nothing meanwhile, though the steady clock says that no
/// time has passed: it leads no more before it says anything as a leader.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_that_was_suspended_steps_down_at_once() {
    let mut cluster = Cluster::new();
    let voters = [id(1), id(2), id(3)];
    let mut suspended = BTreeMap::new();
    for voter in voters {
        let by_ms = Arc::new(AtomicU64::new(0));
        cluster.settings.clock = test_clock(by_ms.clone());
        // Far longer than the test may take to see it.
        cluster.settings.election_min = Duration::from_secs(3);
        cluster.settings.election_max = Duration::from_secs(5);
        cluster.start(Arc::new(MemoryStore::synced(voter)), &voters);
        suspended.insert(voter, by_ms);
    }
    cluster.propose_many(0, 5).await;
    let leader = cluster.leader().await;
    cluster.network.cut(leader);
    suspended[&leader].store(10_000, Ordering::SeqCst);
    let began = Instant::now();
    let group = &cluster.members[&leader].group;
    eventually("it steps down", || (!group.status().leads()).then_some(())).await;
    assert!(
        began.elapsed() < Duration::from_millis(1_500),
        "{:?}",
        began.elapsed()
    );
    assert!(group.propose(b"late".to_vec()).await.is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn every_host_on_disk_survives_a_restart() {
    let folders = [(); 3].map(|()| tempfile::tempdir().expect("folder"));
    let mut cluster = Cluster::new();
    let open = || -> Vec<Arc<Store>> {
        let folders = folders.iter();
        folders
            .map(|folder| Arc::new(Store::open(folder.path()).expect("opens")))
            .collect()
    };
    let stores = open();
    let voters: Vec<ReplicaId> = stores
        .iter()
        .map(|store| store.identity().replica)
        .collect();
    for store in stores {
        cluster.start(store, &voters);
    }
    cluster.propose_many(0, 250).await;
    for voter in &voters {
        cluster.halt(*voter).await;
    }
    for store in open() {
        cluster.start(store, &[]);
    }
    cluster.propose_many(250, 260).await;
    cluster.check_all_have(0, 260).await;
    let group = cluster.leader_group().await;
    assert_eq!(group.with_machine(|machine| machine.count), 260);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_was_away_for_hundreds_of_entries_catches_up_by_snapshot() {
    let (mut cluster, stores) = three();
    cluster.propose_many(0, 10).await;
    cluster.halt(id(3)).await;
    cluster.propose_many(10, 400).await;
    cluster.start(Arc::new(stores[2].clone()), &[]);
    cluster.check_all_have(0, 400).await;
    let returned = &cluster.members[&id(3)];
    assert!(returned.host.counters().snapshots_installed >= 1);
    assert_eq!(returned.group.with_machine(|machine| machine.count), 400);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_disk_is_replaced_through_a_learner() {
    let (mut cluster, stores) = three();
    cluster.propose_many(0, 300).await;
    let leader = cluster.leader().await;
    let lost = cluster.members.keys().copied().find(|id| *id != leader);
    let lost = lost.expect("three members");
    cluster.halt(lost).await;
    let store = stores[lost.0 as usize - 1].clone();
    store.lose_disk(id(9));
    let newcomer = cluster.start(Arc::new(store), &[]);
    let group = cluster.leader_group().await;
    let change = |change| group.change_membership(change);
    change(MembershipChange::AddLearner(newcomer))
        .await
        .expect("added");
    while let Err(error) = change(MembershipChange::Promote(newcomer)).await {
        let refused = ChangeRefused::NotCaughtUp(newcomer);
        assert_eq!(error, ChangeError::Refused(refused));
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    change(MembershipChange::Remove(lost))
        .await
        .expect("removed");
    let members = group.status().members;
    assert!(members.is_voter(newcomer) && !members.contains(lost));
    // The second loss right after the repair: the newcomer's copy counts.
    let survivor = cluster.members.keys().copied();
    let mut survivor = survivor.filter(|id| *id != newcomer);
    let second = survivor.next().expect("two old members");
    cluster.halt(second).await;
    cluster.propose("after").await;
    cluster.check_all_have(0, 300).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_off_leader_neither_reads_nor_commits() {
    let (cluster, _stores) = three();
    cluster.propose("first").await;
    let old = cluster.leader().await;
    let group = cluster.members[&old].group.clone();
    cluster.network.cut(old);
    let (read, proposed) = tokio::join!(group.read_barrier(), group.propose(b"lost".to_vec()));
    assert!(read.is_err());
    assert!(proposed.is_err());
    eventually("a leader of the majority", || {
        let others = cluster.members.iter().filter(|(id, _)| **id != old);
        others
            .map(|(_, member)| member.group.status())
            .find(|status| status.leads())
    })
    .await;
    cluster.network.join(old);
    cluster.propose("second").await;
    confirmed_read(&group).await;
    let table = group.table().expect("readable");
    assert!(table.get(b"second").expect("readable").is_some());
    assert!(table.get(b"lost").expect("readable").is_none());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_hands_leadership_over_and_cuts_no_proposal() {
    let (cluster, _stores) = three();
    cluster.propose("before").await;
    let old = cluster.leader().await;
    let group = cluster.members[&old].group.clone();
    let callers = (0..20).map(|caller| {
        let group = group.clone();
        tokio::spawn(async move {
            loop {
                let proposed = group.propose(vec![caller]).await;
                match proposed {
                    Ok(_) | Err(ProposeError::Busy) => tokio::task::yield_now().await,
                    Err(error) => return error,
                }
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    cluster.members[&old].host.stop().await;
    for caller in callers {
        let error = caller.await.expect("ran");
        assert_ne!(error, ProposeError::Unknown);
    }
    let stopped = group.propose(b"late".to_vec()).await;
    assert_eq!(stopped, Err(ProposeError::Stopped));
    let others = cluster.members.iter().filter(|(id, _)| **id != old);
    let mut followed = others.filter_map(|(_, member)| member.group.status().leader);
    assert!(followed.any(|leader| leader != old), "a successor is known");
}

/// Three voters whose election timeouts are far longer than a test may take to see a hand-over.
fn three_with_long_elections() -> Cluster {
    let mut cluster = Cluster::new();
    cluster.settings.election_min = Duration::from_secs(3);
    cluster.settings.election_max = Duration::from_secs(5);
    let voters = [id(1), id(2), id(3)];
    for voter in voters {
        cluster.start(Arc::new(MemoryStore::synced(voter)), &voters);
    }
    cluster
}

/// The leaders that the other members know, without the member itself.
fn successors(cluster: &Cluster, stopped: ReplicaId) -> Vec<ReplicaId> {
    let others = cluster.members.iter().filter(|(id, _)| **id != stopped);
    let known = others.filter_map(|(_, member)| member.group.status().leader);
    known.filter(|leader| *leader != stopped).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_does_not_return_before_the_candidate_has_its_votes() {
    let cluster = three_with_long_elections();
    cluster.propose("before").await;
    let old = cluster.leader().await;
    cluster.network.set_rule(|envelope| match envelope.message {
        Message::VoteResponse(_) => Fate::DeliverAfter(Duration::from_millis(200)),
        _ => Fate::Deliver,
    });
    cluster.members[&old].host.stop().await;
    assert!(!successors(&cluster, old).is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_hands_over_though_the_first_order_to_campaign_is_lost() {
    let mut cluster = Cluster::new();
    // A lost order costs the shortest election timeout, votes and load have the rest.
    cluster.settings.election_min = Duration::from_millis(300);
    cluster.settings.election_max = Duration::from_secs(3);
    let voters = [id(1), id(2), id(3)];
    for voter in voters {
        cluster.start(Arc::new(MemoryStore::synced(voter)), &voters);
    }
    cluster.propose("before").await;
    let old = cluster.leader().await;
    let lost = AtomicBool::new(false);
    cluster.network.set_rule(move |envelope| {
        let is_order = matches!(envelope.message, Message::TimeoutNow(_));
        match is_order && !lost.swap(true, Ordering::SeqCst) {
            true => Fate::Lose,
            false => Fate::Deliver,
        }
    });
    cluster.members[&old].host.stop().await;
    assert!(!successors(&cluster, old).is_empty());
}

/// A server lets answers in flight end between the hand-over and the halt.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_that_nobody_follows_takes_no_proposal_that_its_halt_would_cut() {
    let (cluster, _stores) = three();
    cluster.propose("before").await;
    let old = cluster.leader().await;
    cluster.network.set_rule(|envelope| match envelope.message {
        Message::TimeoutNow(_) => Fate::Lose,
        _ => Fate::Deliver,
    });
    let member = &cluster.members[&old];
    member.host.hand_over().await;
    for _ in 0..40 {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let proposed = member.group.propose(b"late".to_vec()).await;
        let refused = matches!(
            proposed,
            Err(ProposeError::Busy | ProposeError::NotLeader { .. })
        );
        assert!(refused, "{proposed:?}");
    }
    member.host.halt().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_the_only_voter_finishes_what_it_took() {
    let mut cluster = Cluster::new();
    cluster.settings.election_min = Duration::from_secs(3);
    cluster.settings.election_max = Duration::from_secs(5);
    cluster.start(Arc::new(MemoryStore::synced(id(1))), &[id(1)]);
    cluster.propose("before").await;
    let group = cluster.members[&id(1)].group.clone();
    let callers: Vec<_> = (0..20)
        .map(|_| tokio::spawn(propose_until_refused(group.clone())))
        .collect();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let began = Instant::now();
    cluster.members[&id(1)].host.stop().await;
    let took = began.elapsed();
    for caller in callers {
        assert_ne!(caller.await.expect("ran"), ProposeError::Unknown);
    }
    assert!(took < cluster.settings.election_max, "{took:?}");
}

/// Proposes one command after the other; what ends that.
async fn propose_until_refused(group: GroupHandle<CountingMachine>) -> ProposeError {
    loop {
        match group.propose(b"x".to_vec()).await {
            Ok(_) | Err(ProposeError::Busy) => tokio::task::yield_now().await,
            Err(error) => return error,
        }
    }
}

/// Whoever hears the new leader may ask it at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_shows_that_it_leads_before_others_hear_it() {
    let cluster = three_with_long_elections();
    let groups: BTreeMap<_, _> = cluster
        .members
        .iter()
        .map(|(id, member)| (*id, member.group.clone()))
        .collect();
    let unshown = Arc::new(AtomicUsize::new(0));
    let count = unshown.clone();
    cluster.network.set_rule(move |envelope| {
        if let Message::AppendRequest(request) = &envelope.message {
            let shown = groups[&envelope.from].status();
            let leads = shown.term == request.term && shown.leader == Some(envelope.from);
            count.fetch_add(usize::from(!leads), Ordering::SeqCst);
        }
        Fate::Deliver
    });
    cluster.propose_many(0, 5).await;
    assert_eq!(unshown.load(Ordering::SeqCst), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_queue_refuses() {
    let mut cluster = Cluster::new();
    cluster.settings.max_pending_proposals = 2;
    let voters = [id(1), id(2), id(3)];
    for voter in voters {
        cluster.start(Arc::new(MemoryStore::synced(voter)), &voters);
    }
    let leader = cluster.leader().await;
    let group = cluster.members[&leader].group.clone();
    cluster.network.cut(leader);
    let propose = || group.propose(b"x".to_vec());
    let (first, second, third) = tokio::join!(biased; propose(), propose(), propose());
    assert_eq!(third, Err(ProposeError::Busy), "refused at once");
    assert_eq!(first, Err(ProposeError::Unknown));
    assert_eq!(second, Err(ProposeError::Unknown));
}

#[tokio::test(flavor = "multi_thread")]
async fn sixty_four_groups_share_syncs() {
    let folder = tempfile::tempdir().expect("folder");
    let store = Arc::new(Store::open(folder.path()).expect("opens"));
    let voter = store.identity().replica;
    let network = Arc::<host_support::Network>::default();
    let host = GroupHost::start(store, network, settings());
    let start = |number| {
        host.add_group(GroupId(number), &[voter], CountingMachine::default())
            .expect("starts")
    };
    let groups: Vec<_> = (0..64).map(start).collect();
    assert!(host
        .add_group(GROUP, &[], CountingMachine::default())
        .is_err());
    for group in &groups {
        eventually("every group leads", || group.status().leads().then_some(())).await;
    }
    let before = host.counters();
    let proposals = groups.iter().map(|group| async move {
        for number in 0..20_u64 {
            let command = number.to_be_bytes().to_vec();
            group.propose(command).await.expect("committed");
        }
    });
    futures::future::join_all(proposals).await;
    let after = host.counters();
    assert_eq!(after.proposals - before.proposals, 64 * 20);
    let syncs = after.store_syncs - before.store_syncs;
    assert!(syncs < 64 * 20 / 2, "{syncs} syncs for 1280 entries");
}
