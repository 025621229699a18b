//! Asking the control machines while some of them don't answer.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

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

/// Leads, or names a machine that does.
struct Machine {
    leader: Option<SocketAddr>,
    asked: Arc<AtomicU32>,
}

#[async_trait]
impl Service for Machine {
    async fn call(&self, _peer: &Peer, _request: Request) -> Response {
        self.asked.fetch_add(1, Ordering::SeqCst);
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
    let asked = Arc::new(AtomicU32::new(0));
    let service = Arc::new(Machine {
        leader,
        asked: asked.clone(),
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
    (address, asked)
}

/// Takes connections and never says a word, as a machine behind a cut.
async fn start_silent() -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("an address");
    let connected = Arc::new(AtomicU32::new(0));
    let counted = connected.clone();
    tokio::spawn(async move {
        let mut held = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::SeqCst);
            held.push(stream);
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
async fn those_who_wait_together_wait_for_a_silent_machine_once() {
    let (silent, connected) = start_silent().await;
    let (leader, _) = start(None).await;
    let client = ClusterClient::new(identity(Role::Node), &[leader]);
    client.update_control_machines(vec![near(silent), far(leader)]);
    let request = CallsRequest::EndJob(CallJobId::new(None, "j"));
    let calls = (0..10).map(|_| client.call_near(&request, LONG, Duration::ZERO));
    let answers = futures_util::future::join_all(calls).await;
    assert!(answers.iter().all(Result::is_ok));
    assert_eq!(connected.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_machine_that_was_silent_is_not_asked_next() {
    let (silent, connected) = start_silent().await;
    let (leader, asked) = start(None).await;
    let client = ClusterClient::new(identity(Role::Node), &[silent, leader]);
    let request = CallsRequest::EndJob(CallJobId::new(None, "j"));
    for _ in 0..5 {
        let answer = client.call(&request, LONG, Duration::ZERO).await;
        assert!(answer.is_ok());
    }
    assert_eq!(asked.load(Ordering::SeqCst), 5);
    assert!(connected.load(Ordering::SeqCst) <= 1);
}

#[tokio::test]
async fn the_leader_that_a_machine_names_is_asked() {
    let (leader, asked) = start(None).await;
    let (follower, refused) = start(Some(leader)).await;
    let client = ClusterClient::new(identity(Role::Node), &[follower]);
    let request = CallsRequest::EndJob(CallJobId::new(None, "j"));
    for _ in 0..3 {
        let answer = client.call(&request, LONG, Duration::ZERO).await;
        assert!(answer.is_ok());
    }
    assert_eq!(asked.load(Ordering::SeqCst), 3);
    assert_eq!(
        refused.load(Ordering::SeqCst),
        1,
        "the leader is remembered"
    );
}

#[tokio::test]
async fn a_leader_that_is_named_but_silent_does_not_hold_up_the_others() {
    let (silent, connected) = start_silent().await;
    let (follower, _) = start(Some(silent)).await;
    let (leader, _) = start(None).await;
    let client = ClusterClient::new(identity(Role::Node), &[follower, leader]);
    let request = CallsRequest::EndJob(CallJobId::new(None, "j"));
    let answer = client.call(&request, LONG, Duration::ZERO).await;
    assert!(answer.is_ok());
    assert!(connected.load(Ordering::SeqCst) <= 1);
}

/// Where nine of 45 machines vote, four of five near ones could only refuse.
#[tokio::test]
async fn what_any_member_can_answer_is_asked_at_a_near_member() {
    let (leader, asked) = start(None).await;
    let (stranger, refused) = start(Some(leader)).await;
    let (member, answered) = start(None).await;
    let client = ClusterClient::new(identity(Role::Node), &[leader]);
    let no_member = ControlAddress {
        is_member: false,
        ..near(stranger)
    };
    client.update_control_machines(vec![no_member, near(member), far(leader)]);
    let request = CallsRequest::EndJob(CallJobId::new(None, "j"));
    let answer = client.call_near(&request, LONG, Duration::ZERO).await;
    assert!(answer.is_ok());
    let counts = [&refused, &answered, &asked].map(|count| count.load(Ordering::SeqCst));
    assert_eq!(counts, [0, 1, 0]);
}
