//! The directory: who is there, from several sources, as changes.

use std::net::SocketAddr;

use pinerill_control::server::{Directory, NODE_LIFE_MS, PEER_LIFE_MS};
use pinerill_types::ZoneName;
use pinerill_wire::message::{
    GroupRecord, LeavingSign, NodeRecord, PeerDirectoryResponse, ServiceBacklog, WorkerRecord,
    WorkerState,
};

const EPOCH: u64 = 11;

fn directory() -> Directory {
    Directory::new(EPOCH)
}

fn worker(name: &str, zone: &str) -> WorkerRecord {
    WorkerRecord {
        name: name.into(),
        address: "127.0.0.1:9000".parse().expect("an address"),
        zone: zone.into(),
        engines: 5,
        state: WorkerState::Live,
        leaving_incarnation: 0,
    }
}

fn node(name: &str, draining: bool, bundle_version: u64) -> NodeRecord {
    NodeRecord {
        name: name.into(),
        zone: "a".into(),
        incarnation: 1,
        draining,
        bundle_version,
    }
}

fn told(nodes: Vec<NodeRecord>, groups: Vec<GroupRecord>) -> PeerDirectoryResponse {
    PeerDirectoryResponse {
        epoch: 5,
        revision: 1,
        nodes,
        leaving: Vec::new(),
        groups,
    }
}

fn led_by(group: u32, port: u16, pending: u64) -> GroupRecord {
    GroupRecord {
        group,
        leader: Some(address(port)),
        backlog: vec![ServiceBacklog {
            service: "fanar".into(),
            pending,
        }],
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn sign(worker: &str, incarnation: u64) -> LeavingSign {
    LeavingSign {
        worker: worker.into(),
        incarnation,
    }
}

#[test]
fn a_watcher_gets_only_what_changed_since_its_revision() {
    let mut directory = directory();
    directory.take_platform_list(vec![worker("w1", "a"), worker("w2", "a")]);
    let first = directory.update_since(0, 0, &[]).expect("all of it");
    assert!(first.full);
    assert_eq!(first.workers.len(), 2);
    assert_eq!(directory.update_since(EPOCH, first.revision, &[]), None);

    directory.take_platform_list(vec![worker("w2", "a"), worker("w3", "a")]);
    let second = directory.update_since(EPOCH, first.revision, &[]);
    let second = second.expect("changes");
    assert!(!second.full);
    assert_eq!(second.removed_workers, vec!["w1".into()]);
    assert_eq!(second.workers, vec![worker("w3", "a")]);
}

#[test]
fn another_process_starts_with_everything() {
    let mut directory = directory();
    directory.take_platform_list(vec![worker("w1", "a")]);
    let update = directory.update_since(EPOCH + 1, 1_000, &[]);
    assert!(update.expect("all of it").full);
}

#[test]
fn changes_of_other_zones_are_no_news() {
    let mut directory = directory();
    let zones = [ZoneName::from("a")];
    directory.take_platform_list(vec![worker("w1", "a")]);
    let revision = directory.revision();
    directory.take_platform_list(vec![worker("w1", "a"), worker("w2", "b")]);
    assert_eq!(directory.update_since(EPOCH, revision, &zones), None);
    assert!(directory.update_since(EPOCH, revision, &[]).is_some());
}

#[test]
fn a_watcher_looks_at_no_record_of_other_zones() {
    let mut directory = directory();
    directory.take_platform_list(vec![worker("w1", "a")]);
    let zones = [ZoneName::from("a")];
    let first = directory.update_since(0, 0, &zones).expect("one worker");
    let mut listed = vec![worker("w1", "a")];
    listed.extend((0..1_000).map(|number| worker(&format!("far-{number}"), "b")));
    directory.take_platform_list(listed);
    let before = directory.examined();
    for _ in 0..100 {
        assert_eq!(directory.update_since(EPOCH, first.revision, &zones), None);
    }
    assert_eq!(directory.examined(), before);
}

#[test]
fn a_worker_that_went_is_told_to_watchers_of_its_zone() {
    let mut directory = directory();
    directory.take_platform_list(vec![worker("w1", "a"), worker("w2", "b")]);
    let [near, far] = [ZoneName::from("a"), ZoneName::from("b")];
    let first = directory.update_since(0, 0, &[]).expect("both workers");
    directory.take_platform_list(vec![worker("w2", "b")]);
    let told = directory.update_since(EPOCH, first.revision, &[near]);
    assert_eq!(told.expect("a removal").removed_workers, ["w1".into()]);
    assert_eq!(directory.update_since(EPOCH, first.revision, &[far]), None);
}

#[test]
fn a_sign_of_leaving_outweighs_the_list_and_spreads_to_peers() {
    let mut directory = directory();
    directory.take_platform_list(vec![worker("w1", "a")]);
    directory.sign_leaving(&sign("w1", 70));
    assert_eq!(directory.workers()[0].leaving_incarnation, 70);
    // The list says live again and again, and an older sign comes late.
    directory.take_platform_list(vec![worker("w1", "a")]);
    directory.sign_leaving(&sign("w1", 69));
    assert_eq!(directory.workers()[0].leaving_incarnation, 70);

    let mut peer = Directory::new(EPOCH + 1);
    peer.take_platform_list(vec![worker("w1", "a")]);
    let told = directory.first_hand_since(0, 0).expect("news");
    peer.take_peer(address(1), told, 0);
    assert_eq!(peer.workers()[0].leaving_incarnation, 70);
}

#[test]
fn a_worker_that_left_the_list_may_come_back_under_its_name() {
    let mut directory = directory();
    directory.take_platform_list(vec![worker("w1", "a")]);
    directory.sign_leaving(&sign("w1", 70));
    directory.take_platform_list(Vec::new());
    directory.take_platform_list(vec![worker("w1", "a")]);
    assert_eq!(directory.workers()[0].leaving_incarnation, 0);
}

#[test]
fn a_silent_node_is_removed_after_its_time_and_not_before() {
    let mut directory = directory();
    directory.node_seen(&node("n1", false, 1), 1_000);
    let revision = directory.revision();
    directory.expire(1_000 + NODE_LIFE_MS - 1);
    assert_eq!(directory.revision(), revision);
    directory.expire(1_000 + NODE_LIFE_MS);
    let update = directory.update_since(EPOCH, revision, &[]);
    assert_eq!(update.expect("a change").removed_nodes, vec!["n1".into()]);
}

#[test]
fn a_node_that_moved_to_a_peer_stays_listed() {
    let mut directory = directory();
    directory.node_seen(&node("n1", false, 1), 0);
    directory.take_peer(address(1), told(vec![node("n1", false, 1)], vec![]), 4_000);
    directory.expire(NODE_LIFE_MS);
    assert_eq!(directory.listed().nodes, 1);
    directory.expire(4_000 + PEER_LIFE_MS);
    assert_eq!(directory.listed().nodes, 0);
}

#[test]
fn a_new_bundle_at_a_node_is_no_news_to_watchers_but_is_told_to_peers() {
    let mut directory = directory();
    directory.node_seen(&node("n1", false, 1), 0);
    let revision = directory.revision();
    let told_before = directory.first_hand_since(0, 0).expect("news").revision;
    directory.node_seen(&node("n1", false, 2), 10);
    assert_eq!(directory.revision(), revision);
    let told = directory.first_hand_since(EPOCH, told_before);
    assert_eq!(told.expect("news").nodes[0].bundle_version, 2);
    assert_eq!(directory.node_bundles()[0].version, 2);
}

#[test]
fn a_draining_node_is_news() {
    let mut directory = directory();
    directory.node_seen(&node("n1", false, 1), 0);
    let revision = directory.revision();
    directory.node_seen(&node("n1", true, 1), 10);
    let update = directory.update_since(EPOCH, revision, &[]);
    assert!(update.expect("a change").nodes[0].draining);
}

#[test]
fn groups_are_listed_without_a_leader_until_one_is_known() {
    let mut directory = directory();
    directory.set_groups(0..3);
    let first = directory.update_since(0, 0, &[]).expect("all of it");
    assert_eq!(first.groups.len(), 3);
    assert_eq!(directory.leader(2), None);
    directory.take_peer(address(1), told(vec![], vec![led_by(2, 7401, 8)]), 0);
    assert_eq!(directory.leader(2), Some(address(7401)));
    // Leadership comes here; the peer's claim is older.
    directory.lead_groups(vec![led_by(2, 7400, 8)]);
    assert_eq!(directory.leader(2), Some(address(7400)));
    let update = directory.update_since(EPOCH, first.revision, &[]);
    assert_eq!(update.expect("a change").groups.len(), 1);
}

#[test]
fn a_watcher_from_before_the_remembered_removals_gets_everything() {
    let mut directory = directory();
    directory.node_seen(&node("first", false, 1), 0);
    let old = directory.revision();
    directory.expire(NODE_LIFE_MS);
    for number in 0..10_000_u64 {
        let now_ms = (number + 2) * NODE_LIFE_MS;
        directory.node_seen(&node(&format!("n{number}"), false, 1), now_ms);
        directory.expire(now_ms + NODE_LIFE_MS);
    }
    let update = directory.update_since(EPOCH, old, &[]).expect("a change");
    assert!(update.full);
    assert!(update.nodes.is_empty());
}
