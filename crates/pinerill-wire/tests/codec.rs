//! Codec: messages survive the way there and back; bad bytes give errors.

use std::net::SocketAddr;

use pinerill_replica::{
    AppendOutcome, AppendRequest, AppendResponse, Entry, EntryKind, Envelope, GroupId, Membership,
    Message, ReadIndexResponse, ReplicaId, SnapshotChunk, SnapshotMeta,
};
use pinerill_types::bundle::{Bundle, Operator};
use pinerill_types::job::{AttemptEnd, ItemInput, LeasedItem};
use pinerill_types::{Digest, JobId, NodeName, OperatorName, ServiceName, TenantName, ZoneName};
use pinerill_wire::codec::{decode_frame, encode_frame, EncodedBundle, Frame};
use pinerill_wire::message::{
    AttemptRef, AttemptReport, BundleUpdate, CreateGroups, DirectoryUpdate, EndAttempts,
    GroupRecord, GroupVoters, LeaseItemsResponse, LeavingSign, NodeRecord, Notification, Refusal,
    RefusalCode, ReplicaRecord, Request, Response, ServiceBacklog, SubmitJob, WatchRequest,
    WatchResponse, WorkerRecord, WorkerState,
};
use proptest::prelude::*;

fn assert_survives(frame: Frame) {
    let bytes = encode_frame(&frame);
    assert_eq!(decode_frame(&bytes), Ok(frame));
}

fn address() -> SocketAddr {
    "10.0.1.2:7400".parse().expect("an address")
}

fn node() -> NodeRecord {
    NodeRecord {
        name: NodeName::from("node-1"),
        zone: ZoneName::from("akl-a"),
        incarnation: u64::MAX,
        draining: true,
        bundle_version: 7,
    }
}

fn bundle() -> Bundle {
    let mut bundle = Bundle {
        version: 3,
        ..Bundle::default()
    };
    let operator = Operator {
        public_key: "00".to_owned(),
    };
    bundle
        .operators
        .insert(OperatorName::from("amina"), operator);
    bundle
}

fn job() -> JobId {
    JobId {
        group: 5,
        sequence: 1 << 40,
    }
}

fn input(body: &str) -> ItemInput {
    ItemInput {
        custom_id: "order-1".to_owned(),
        url: "/v1/completions".to_owned(),
        body: body.to_owned(),
        at_most_once: true,
    }
}

#[test]
fn watch_survives() {
    assert_survives(Frame::Request(Request::Watch(WatchRequest {
        node: node(),
        bundle_digest: Digest::of(b"bundle"),
        zones: vec![ZoneName::from("akl-a"), ZoneName::from("akl-b")],
        directory_epoch: 3,
        directory_revision: 9,
        leaving: vec![LeavingSign {
            worker: "worker-1".into(),
            incarnation: 4,
        }],
        wait_ms: 1_000,
    })));
}

#[test]
fn watch_response_survives() {
    let change = bundle().change_from(&Bundle::default());
    for update in [
        None,
        Some(BundleUpdate::Changes(vec![change])),
        Some(BundleUpdate::Snapshot(EncodedBundle::from(&bundle()))),
    ] {
        assert_survives(Frame::Response(Response::Watch(WatchResponse {
            confirmed: true,
            version: 3,
            bundle: update,
            directory: Some(DirectoryUpdate {
                epoch: 1,
                revision: 2,
                full: true,
                workers: vec![WorkerRecord {
                    name: "worker-1".into(),
                    address: address(),
                    zone: ZoneName::from("akl-a"),
                    engines: 5,
                    state: WorkerState::Leaving,
                    leaving_incarnation: 17,
                }],
                removed_workers: vec!["worker-2".into()],
                nodes: vec![node()],
                removed_nodes: vec![NodeName::from("node-2")],
                groups: vec![GroupRecord {
                    group: 4,
                    leader: Some(address()),
                    backlog: vec![ServiceBacklog {
                        service: ServiceName::from("quizmaster"),
                        pending: 63_000,
                    }],
                }],
            }),
        })));
    }
}

#[test]
fn refusal_survives() {
    let mut refusal = Refusal::new(RefusalCode::NotLeader, "propose", "control-2", "elsewhere");
    refusal.leader = Some(address());
    refusal.retry_after_ms = Some(0);
    assert_survives(Frame::Response(Response::Refused(refusal)));
}

#[test]
fn leases_and_ends_survive() {
    let item = LeasedItem {
        job: job(),
        index: 62_999,
        attempt: 3,
        tenant: TenantName::from("pub"),
        service: ServiceName::from("quizmaster"),
        deadline_ms: u64::MAX,
        input: input("{\"prompt\":\"Māori ✓\"}"),
    };
    let items = vec![item];
    assert_survives(Frame::Response(Response::LeaseItems(LeaseItemsResponse {
        items,
    })));
    let ends = [
        AttemptEnd::Completed("answer".to_owned()),
        AttemptEnd::Failed(String::new()),
        AttemptEnd::Released,
        AttemptEnd::Indeterminate("lost".to_owned()),
    ];
    let reports = ends.map(|end| AttemptReport {
        attempt: AttemptRef {
            job: job(),
            index: 1,
            attempt: 2,
        },
        end,
    });
    assert_survives(Frame::Request(Request::EndAttempts(EndAttempts {
        group: 5,
        node: NodeName::from("node-1"),
        reports: reports.to_vec(),
    })));
}

#[test]
fn replica_messages_survive() {
    let membership = Membership {
        voters: [ReplicaId(1), ReplicaId(2)].into(),
        learners: [ReplicaId(3)].into(),
    };
    let entry = |index, kind| Entry {
        index,
        term: 4,
        kind,
    };
    let messages = [
        Message::AppendRequest(AppendRequest {
            term: 4,
            previous_index: 9,
            previous_term: 3,
            entries: vec![
                entry(10, EntryKind::Empty),
                entry(11, EntryKind::Command(vec![0, 255].into())),
                entry(12, EntryKind::Membership(membership.clone())),
            ],
            commit: 8,
        }),
        Message::AppendResponse(AppendResponse {
            term: 4,
            outcome: AppendOutcome::Rejected {
                previous_index: 9,
                hint_index: 2,
            },
        }),
        Message::SnapshotChunk(SnapshotChunk {
            term: 4,
            meta: SnapshotMeta {
                index: 100,
                term: 3,
                membership,
            },
            offset: 1 << 33,
            bytes: vec![7; 3],
            done: true,
        }),
        Message::ReadIndexResponse(ReadIndexResponse {
            request: 1,
            index: None,
        }),
    ];
    let envelopes = messages.map(|message| Envelope {
        group: GroupId(2),
        from: ReplicaId(1),
        to: ReplicaId(u64::MAX),
        message,
    });
    let notification = Notification::Replica(envelopes.to_vec());
    assert_survives(Frame::Notification(notification));
}

fn submit(bodies: Vec<String>, key: String) -> Request {
    Request::SubmitJob(SubmitJob {
        group: 1,
        tenant: TenantName::from("crew"),
        service: ServiceName::from("fanar"),
        idempotency_key: key,
        body_digest: Digest::of(b"body"),
        total_items: bodies.len() as u32,
        deadline_ms: 1,
        first_index: 0,
        items: bodies.iter().map(|body| input(body)).collect(),
        open_items_limit: 10,
        attempts_limit: 8,
        retention_ms: 3,
    })
}

proptest! {
    #[test]
    fn any_job_survives(bodies in prop::collection::vec(".{0,40}", 0..8), key in ".{1,20}") {
        assert_survives(Frame::Request(submit(bodies, key)));
    }

    #[test]
    fn any_bytes_give_a_frame_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        let _ = decode_frame(&bytes);
    }

    #[test]
    fn damaged_frames_give_a_frame_or_an_error(
        position in any::<prop::sample::Index>(),
        value in any::<u8>(),
    ) {
        let frame = Frame::Request(submit(vec!["{}".to_owned(); 4], "key".to_owned()));
        let mut bytes = encode_frame(&frame);
        let index = position.index(bytes.len());
        bytes[index] = value;
        let _ = decode_frame(&bytes);
    }
}

#[test]
fn empty_name_is_refused_by_field() {
    let request = submit(Vec::new(), String::new());
    let error = decode_frame(&encode_frame(&Frame::Request(request))).expect_err("no key");
    assert_eq!(error.to_string(), "field idempotencyKey: is empty");
}

#[test]
fn create_groups_survives() {
    let machine = ReplicaRecord {
        replica: 17,
        name: "control-1".to_owned(),
        zone: ZoneName::from("akl-a"),
        address: address(),
        reachable: true,
    };
    let create = CreateGroups {
        cluster_id: u64::MAX,
        founding: bundle(),
        machines: vec![machine],
        groups: vec![GroupVoters {
            group: 3,
            voters: vec![17, 19],
        }],
    };
    assert_survives(Frame::Request(Request::CreateGroups(Box::new(create))));
}
