//! Control machines as they run: founding, bundles, watches, repair.

mod common;
mod server_support;

use std::collections::BTreeSet;

use common::{founding_bundle, signed_change};
use pinerill_types::bundle::{Bundle, SignedChange};
use pinerill_wire::api::{CallErrorKind, ControlApi, Role};
use pinerill_wire::client::ControlClient;
use pinerill_wire::message::WatchRequest;
use pinerill_wire::message::{
    BundleUpdate, ClusterInit, ProposalAnswer, ProposeBundle, ProposeBundleResponse, RefusalCode,
    ReplaceReplica, Request, Response, META_GROUP,
};
use server_support::{bundle_in_force, first_watch, until, watch, Fleet, WAIT};

const OPERATORS: [&str; 1] = ["amina"];

fn founding() -> Bundle {
    founding_bundle(&OPERATORS, 1)
}

fn next(base: &Bundle, retention_hours: u32) -> Bundle {
    let mut bundle = base.clone();
    bundle.version += 1;
    bundle.policy.result_retention_hours = retention_hours;
    bundle
}

async fn propose(client: &ControlClient, signed: SignedChange) -> ProposeBundleResponse {
    let request = Request::ProposeBundle(ProposeBundle { signed });
    let answer = client.call_leader(META_GROUP, request, WAIT).await;
    match answer.expect("an answer") {
        Response::ProposeBundle(response) => response,
        other => panic!("not an answer to a proposal: {other:?}"),
    }
}

/// Accepts `count` bundles on top of `base`; returns the last one.
async fn roll_out(client: &ControlClient, base: Bundle, count: u32) -> Bundle {
    let mut current = base;
    for number in 0..count {
        let proposed = next(&current, 10 + number % 50);
        let answer = propose(client, signed_change(&current, &proposed, &OPERATORS)).await;
        assert_eq!(answer.answer, ProposalAnswer::Accepted);
        current = proposed;
    }
    current
}

fn refusal_code(answer: Result<Response, pinerill_wire::api::CallError>) -> RefusalCode {
    match answer.expect_err("a refusal").kind {
        CallErrorKind::Refused(refusal) => refusal.code,
        other => panic!("not a refusal: {other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_founding_is_refused_and_changes_nothing() {
    let fleet = Fleet::start(3);
    fleet.found(&founding(), 2).await;
    let client = fleet.client(Role::Operator, "operator");
    let before = fleet.status().await.expect("a status").cluster_id;
    let again = Request::ClusterInit(ClusterInit {
        founding: founding(),
        job_groups: 2,
        voters: 3,
    });
    let answer = client.call_any(again, WAIT).await;
    assert_eq!(refusal_code(answer), RefusalCode::WrongState);
    let status = fleet.status().await.expect("a status");
    assert_eq!(status.cluster_id, before);
    assert_eq!(status.groups.len(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wiped_machine_can_not_found_a_second_cluster() {
    let mut fleet = Fleet::start(3);
    fleet.found(&founding(), 1).await;
    fleet.halt_machine(0).await;
    fleet.lose_disk(0);
    fleet.start_machine(0);
    let wiped = fleet.client_of(0, Role::Operator, "operator");
    let init = Request::ClusterInit(ClusterInit {
        founding: founding_bundle(&["brahim"], 1),
        job_groups: 1,
        voters: 3,
    });
    // Until it is connected to the others it is refused for that.
    let refused = until(|| async {
        let answer = wiped.call_any(init.clone(), WAIT).await;
        let error = answer.expect_err("a refusal");
        error.message.contains("founded cluster").then_some(error)
    });
    refused.await;
    let client = fleet.client(Role::Operator, "operator");
    let shown = bundle_in_force(&client).await.expect("the bundle");
    assert_eq!(shown.bundle, founding());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resent_proposal_gets_the_first_answer_and_another_one_names_the_winner() {
    let fleet = Fleet::start(3);
    fleet.found(&founding(), 1).await;
    let client = fleet.client(Role::Operator, "operator");
    let winner = next(&founding(), 11);
    let loser = next(&founding(), 12);
    let first = propose(&client, signed_change(&founding(), &winner, &OPERATORS)).await;
    assert_eq!(first.answer, ProposalAnswer::Accepted);
    roll_out(&client, winner.clone(), 3).await;
    let again = propose(&client, signed_change(&founding(), &winner, &OPERATORS)).await;
    assert_eq!(again, first);
    let late = propose(&client, signed_change(&founding(), &loser, &OPERATORS)).await;
    assert_eq!(late.answer, ProposalAnswer::Conflict);
    assert_eq!(late.digest, first.digest);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_watch_gets_the_snapshot_then_changes_all_confirmed() {
    let fleet = Fleet::start(3);
    fleet.found(&founding(), 2).await;
    let client = fleet.client(Role::Node, "node-1");
    let operator = fleet.client(Role::Operator, "operator");
    let first = until(|| async {
        let answer = watch(&client, &first_watch("node-1")).await.ok()?;
        answer.confirmed.then_some(answer)
    })
    .await;
    let Some(BundleUpdate::Snapshot(bundle)) = first.bundle else {
        panic!("not a snapshot: {:?}", first.bundle);
    };
    let bundle = bundle.decode().expect("a whole bundle");
    let directory = first.directory.expect("all groups");
    assert!(directory.full);
    assert_eq!(directory.groups.len(), 3);

    let mut second = first_watch("node-1");
    second.node.bundle_version = bundle.version;
    second.bundle_digest = bundle.digest();
    second.directory_epoch = directory.epoch;
    second.directory_revision = directory.revision;
    roll_out(&operator, founding(), 2).await;
    let answer = until(|| async {
        let answer = watch(&client, &second).await.ok()?;
        (answer.version == 2).then_some(answer)
    });
    let answer = answer.await;
    let Some(BundleUpdate::Changes(changes)) = answer.bundle else {
        panic!("not changes: {:?}", answer.bundle);
    };
    assert_eq!(changes.len(), 2);
}

/// The whole bundle is encoded once: a node that starts some changes later
/// gets the same copy and follows from there.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_later_gets_the_same_copy_and_then_the_changes() {
    let fleet = Fleet::start(1);
    fleet.found(&founding(), 1).await;
    let client = fleet.client(Role::Node, "node-1");
    let operator = fleet.client(Role::Operator, "operator");
    let whole = |name: &'static str| {
        let client = &client;
        until(move || async move {
            match watch(client, &first_watch(name)).await.ok()?.bundle {
                Some(BundleUpdate::Snapshot(bundle)) => Some(bundle),
                _ => None,
            }
        })
    };
    let early = whole("node-1").await;
    roll_out(&operator, founding(), 2).await;
    let late = whole("node-2").await;
    assert_eq!(late, early);

    let bundle = late.decode().expect("a whole bundle");
    let mut next = first_watch("node-2");
    next.node.bundle_version = bundle.version;
    next.bundle_digest = bundle.digest();
    let answer = until(|| async {
        let answer = watch(&client, &next).await.ok()?;
        (answer.version == 2).then_some(answer)
    });
    let Some(BundleUpdate::Changes(changes)) = answer.await.bundle else {
        panic!("not changes");
    };
    assert_eq!(changes.last().map(|change| change.version), Some(2));
}

/// A watch of a node that has the founding bundle.
fn founded_watch(node: &str) -> WatchRequest {
    let mut request = first_watch(node);
    request.bundle_digest = founding().digest();
    request
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_quorum_a_watch_is_answered_unconfirmed() {
    let mut fleet = Fleet::start(3);
    fleet.found(&founding(), 1).await;
    let client = fleet.client_of(2, Role::Node, "node-1");
    until(|| async {
        let answer = watch(&client, &founded_watch("node-1")).await.ok()?;
        answer.confirmed.then_some(())
    })
    .await;
    fleet.halt_machine(0).await;
    fleet.halt_machine(1).await;
    // A barrier may have been under way when the others went.
    until(|| async {
        let answer = watch(&client, &founded_watch("node-1")).await.ok()?;
        (!answer.confirmed).then_some(())
    })
    .await;
    for _ in 0..3 {
        let answer = watch(&client, &founded_watch("node-1")).await;
        assert!(!answer.expect("an answer").confirmed);
    }
    // A node without a bundle could not use an unconfirmed one.
    let answer = watch(&client, &first_watch("node-2")).await;
    let refused = answer.map(|_| Response::Done);
    assert_eq!(refusal_code(refused), RefusalCode::Unavailable);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_is_listed_at_every_control_machine() {
    let fleet = Fleet::start(3);
    fleet.found(&founding(), 1).await;
    let here = fleet.client_of(0, Role::Node, "node-1");
    let there = fleet.client_of(1, Role::Node, "node-2");
    until(|| async {
        watch(&here, &first_watch("node-1")).await.ok()?;
        let answer = watch(&there, &first_watch("node-2")).await.ok()?;
        let directory = answer.directory?;
        let names = directory.nodes.iter().map(|node| node.name.as_str());
        let names: BTreeSet<&str> = names.collect();
        (names == BTreeSet::from(["node-1", "node-2"])).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_disk_is_replaced_and_a_second_machine_may_go_right_after() {
    let mut fleet = Fleet::start(5);
    fleet.found(&founding(), 2).await;
    let client = fleet.client(Role::Operator, "operator");
    let before = fleet.status().await.expect("a status");
    let lost = before.replicas.iter().find(|one| one.name == "control-1");
    let lost = lost.expect("it is listed").replica;
    let current = roll_out(&client, founding(), 120).await;
    fleet.halt_machine(1).await;
    fleet.lose_disk(1);
    fleet.start_machine(1);
    let new = until(|| async {
        let status = fleet.status().await?;
        let known = |replica: u64| before.replicas.iter().any(|one| one.replica == replica);
        let mut strangers = status.replicas.iter().filter(|one| !known(one.replica));
        strangers.next().map(|one| one.replica)
    })
    .await;
    until(|| async {
        let request = Request::ReplaceReplica(ReplaceReplica { lost, new });
        let answer = client.call_leader(META_GROUP, request, WAIT).await.ok()?;
        match answer {
            Response::ReplaceReplica(progress) => (progress.remaining == 0).then_some(()),
            _ => None,
        }
    })
    .await;
    fleet.halt_machine(0).await;
    fleet.halt_machine(2).await;
    // Three of five are left, the new one among them.
    let current = roll_out(&client, current, 3).await;
    let shown = bundle_in_force(&client).await.expect("the bundle");
    assert_eq!(shown.bundle, current);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_machine_that_missed_hundreds_of_changes_catches_up() {
    let mut fleet = Fleet::start(3);
    fleet.found(&founding(), 1).await;
    let client = fleet.client(Role::Operator, "operator");
    fleet.stop_machine(2).await;
    // Far more than the entries after which snapshots replace the log.
    let current = roll_out(&client, founding(), 300).await;
    fleet.start_machine(2);
    let late = fleet.client_of(2, Role::Operator, "operator");
    let shown = until(|| async { bundle_in_force(&late).await.ok() }).await;
    assert_eq!(shown.bundle, current);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_the_leader_loses_no_proposal() {
    let mut fleet = Fleet::start(3);
    fleet.found(&founding(), 1).await;
    let client = fleet.client(Role::Operator, "operator");
    let mut current = founding();
    for number in 0..3 {
        current = roll_out(&client, current, 5).await;
        fleet.stop_machine(number).await;
        current = roll_out(&client, current, 5).await;
        fleet.start_machine(number);
    }
    let shown = bundle_in_force(&client).await.expect("the bundle");
    assert_eq!(shown.bundle, current);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_may_not_operate_the_cluster() {
    let fleet = Fleet::start(1);
    fleet.found(&founding(), 1).await;
    let node = fleet.client(Role::Node, "node-1");
    let signed = signed_change(&founding(), &next(&founding(), 9), &OPERATORS);
    let request = Request::ProposeBundle(ProposeBundle { signed });
    let answer = node.call_any(request, WAIT).await;
    assert_eq!(refusal_code(answer), RefusalCode::Invalid);
}
