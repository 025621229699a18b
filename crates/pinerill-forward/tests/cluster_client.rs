//! Tests that requests reach the leader or a near group member while some control machines do not
//! answer, without waiting for an unresponsive machine more than once.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use pinerill_calls::job::CallJobId;
use pinerill_calls::message::{encode, CallsRequest, CallsResponse, ControlAddress};
use pinerill_forward::cluster::ClusterClient;
use pinerill_wire::api::{Peer, Role, Service};
use pinerill_wire::connection::{serve, ClusterKey, Identity, ServerCounters};
use pinerill_wire::message::{Refusal, RefusalCode, Request, Response};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const LONG: Duration = Duration::from_secs(20);

/// Control machine that answers as the leader if `leader` is `None`, and otherwise refuses and
/// names the leader. Counts its requests.
struct Machine {
    leader: Option<SocketAddr>,
    request_count: Arc<AtomicU32>,
}

#[async_trait]
impl Service for Machine {
    async fn call(&self, _peer: &Peer, _request: Request) -> Response {
        self.request_count.fetch_add(1, Ordering::SeqCst);
        match self.leader {
            None => Response::Calls(encode(&CallsResponse::Done)),
            Some(_) => {
                let code = RefusalCode::NotLeader;
                let mut refusal = Refusal::new(code, "test", "machine", "not the leader");
                refusal.leader = self.leader;
                Response::Refused(refusal)
            }
        }
    }
}

fn identity(role: Role) -> Identity {
    Identity::new("test", ClusterKey::none(), role, "m", "near")
}

async fn start(leader: Option<SocketAddr>) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("an address");
    let request_count = Arc::new(AtomicU32::new(0));
    let service = Arc::new(Machine {
        leader,
        request_count: request_count.clone(),
    });
    let counters = Arc::new(ServerCounters::default());
    let stop = CancellationToken::new();
    tokio::spawn(serve(
        listener,
        identity(Role::Control),
        service,
        counters,
        stop,
    ));
    (address, request_count)
}

/// Starts a listener that accepts connections and never answers, as a partitioned machine does.
/// Returns its address and the number of accepted connections.
async fn start_unresponsive() -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("an address");
    let connected = Arc::new(AtomicU32::new(0));
    let counted = connected.clone();
    tokio::spawn(async move {
        let mut streams = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::SeqCst);
            streams.push(stream);
        }
    });
    (address, connected)
}

fn near(address: SocketAddr) -> ControlAddress {
    ControlAddress {
        address,
        zone: "near".to_owned(),
        is_member: true,
    }
}

fn far(address: SocketAddr) -> ControlAddress {
    ControlAddress {
        address,
        zone: "far".to_owned(),
        is_member: true,
    }
}

#[tokio::test]
async fn concurrent_requests_wait_for_an_unresponsive_machine_once() {
    let (unresponsive, connected) = start_unresponsive().await;
    let (leader, _) = start(None).await;
    let client = ClusterClient::new(identity(Role::Node), &[leader]);
    client.update_control_machines(vec![near(unresponsive), far(leader)]);
    let request = CallsRequest::EndJob(CallJobId::new(None, "j"));
    let calls = (0..10).map(|_| client.call_near(&request, LONG, Duration::ZERO));
    let answers = futures_util::future::join_all(calls).await;
    assert!(answers.iter().all(Result::is_ok));
    assert_eq!(connected.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn an_unresponsive_machine_is_skipped_by_the_next_requests() {
    let (unresponsive, connected) = start_unresponsive().await;
    let (leader, request_count) = start(None).await;
    let client = ClusterClient::new(identity(Role::Node), &[unresponsive, leader]);
    let request = CallsRequest::EndJob(CallJobId::new(None, "j"));
    for _ in 0..5 {
        let answer = client.call(&request, LONG, Duration::ZERO).await;
        assert!(answer.is_ok());
    }
    assert_eq!(request_count.load(Ordering::SeqCst), 5);
    assert!(connected.load(Ordering::SeqCst) <= 1);
}

#[tokio::test]
async fn a_redirect_to_the_leader_is_followed_and_remembered() {
    let (leader, request_count) = start(None).await;
    let (follower, refused) = start(Some(leader)).await;
    let client = ClusterClient::new(identity(Role::Node), &[follower]);
    let request = CallsRequest::EndJob(CallJobId::new(None, "j"));
    for _ in 0..3 {
        let answer = client.call(&request, LONG, Duration::ZERO).await;
        assert!(answer.is_ok());
    }
    assert_eq!(request_count.load(Ordering::SeqCst), 3);
    assert_eq!(
        refused.load(Ordering::SeqCst),
        1,
        "the leader is remembered"
    );
}

#[tokio::test]
async fn a_redirect_to_an_unresponsive_leader_does_not_block_other_machines() {
    let (unresponsive, connected) = start_unresponsive().await;
    let (follower, _) = start(Some(unresponsive)).await;
    let (leader, _) = start(None).await;
    let client = ClusterClient::new(identity(Role::Node), &[follower, leader]);
    let request = CallsRequest::EndJob(CallJobId::new(None, "j"));
    let answer = client.call(&request, LONG, Duration::ZERO).await;
    assert!(answer.is_ok());
    assert!(connected.load(Ordering::SeqCst) <= 1);
}

/// Guards against sending such requests to machines outside the group: with nine group members
/// among 45 machines, four of five near machines could only refuse.
#[tokio::test]
async fn requests_for_any_member_go_to_a_near_member() {
    let (leader, request_count) = start(None).await;
    let (outsider, refused) = start(Some(leader)).await;
    let (member, answered) = start(None).await;
    let client = ClusterClient::new(identity(Role::Node), &[leader]);
    let non_member = ControlAddress {
        is_member: false,
        ..near(outsider)
    };
    client.update_control_machines(vec![non_member, near(member), far(leader)]);
    let request = CallsRequest::EndJob(CallJobId::new(None, "j"));
    let answer = client.call_near(&request, LONG, Duration::ZERO).await;
    assert!(answer.is_ok());
    let counts = [&refused, &answered, &request_count].map(|count| count.load(Ordering::SeqCst));
    assert_eq!(counts, [0, 1, 0]);
}

#[tokio::test]
async fn a_new_client_is_not_held_up_by_seeds_that_do_not_answer() {
    let (first, _) = start_unresponsive().await;
    let (second, _) = start_unresponsive().await;
    let (leader, _) = start(None).await;
    let request = CallsRequest::EndJob(CallJobId::new(None, "j"));
    // The client begins at a random seed, so several of them cover each order.
    for _ in 0..8 {
        let client = ClusterClient::new(identity(Role::Node), &[first, second, leader]);
        let began = Instant::now();
        let answer = client.call(&request, LONG, Duration::ZERO).await;
        assert!(answer.is_ok());
        // Waiting for one unresponsive seed takes 400 ms.
        assert!(began.elapsed() < Duration::from_millis(300), "{began:?}");
    }
}

#[tokio::test]
async fn a_node_that_was_told_of_one_machine_finds_its_seeds_again_when_that_ends() {
    let (leader, _) = start(None).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let ended = listener.local_addr().expect("an address");
    drop(listener);
    let client = ClusterClient::new(identity(Role::Node), &[ended, leader]);
    client.update_control_machines(vec![near(ended)]);
    let request = CallsRequest::EndJob(CallJobId::new(None, "j"));
    let answer = client
        .call(&request, Duration::from_secs(5), Duration::ZERO)
        .await;
    assert!(answer.is_ok(), "{answer:?}");
}
