//! Connections: who is let in, what ends them, and calls in flight.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use pinerill_wire::api::{CallErrorKind, ControlApi, Peer, Role, Service};
use pinerill_wire::client::ControlClient;
use pinerill_wire::codec::{encode_frame, Frame};
use pinerill_wire::connection::{
    serve, ClusterKey, Connection, Identity, LinkCounters, PeerPool, ServerCounters,
};
use pinerill_wire::message::{
    BundleShow, ClusterStatusRequest, GroupRecord, Refusal, RefusalCode, ReplaceReplica, Request,
    Response,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

const LONG: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(100);

/// Refuses as a machine without a leader does, so many times; then answers.
struct Electing {
    refusals_left: AtomicU64,
}

#[async_trait]
impl Service for Electing {
    async fn call(&self, peer: &Peer, _request: Request) -> Response {
        let left = self.refusals_left.load(Ordering::SeqCst);
        if left == 0 {
            return Response::Done;
        }
        self.refusals_left.store(left - 1, Ordering::SeqCst);
        let name = peer.name.clone();
        let mut refusal = Refusal::new(RefusalCode::NotLeader, "test", name, "no leader");
        refusal.retry_after_ms = Some(1);
        Response::Refused(refusal)
    }
}

/// Leads or names a leader; delays `ReplaceReplica` by its number.
struct Control {
    leader: Option<SocketAddr>,
}

#[async_trait]
impl Service for Control {
    async fn call(&self, peer: &Peer, request: Request) -> Response {
        match request {
            Request::ReplaceReplica(ReplaceReplica { lost, .. }) => {
                tokio::time::sleep(Duration::from_millis(lost)).await;
                Response::ReplaceReplica(pinerill_wire::message::ReplaceReplicaResponse {
                    done: lost as u32,
                    remaining: 0,
                })
            }
            Request::BundleShow(BundleShow) => std::future::pending().await,
            _ if self.leader.is_some() => {
                let mut refusal = Refusal::new(
                    RefusalCode::NotLeader,
                    "test",
                    peer.name.clone(),
                    "elsewhere",
                );
                refusal.leader = self.leader;
                Response::Refused(refusal)
            }
            _ => Response::Done,
        }
    }
}

struct Server {
    address: SocketAddr,
    counters: Arc<ServerCounters>,
    stop: CancellationToken,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

fn identity(cluster: &str, key: u8) -> Identity {
    let key = ClusterKey::from_bytes([key; 32]);
    Identity::new(cluster, key, Role::Control, "machine", "zone")
}

async fn start(leader: Option<SocketAddr>) -> Server {
    start_as(leader, identity("home", 1)).await
}

async fn start_as(leader: Option<SocketAddr>, identity: Identity) -> Server {
    start_service(Control { leader }, identity).await
}

async fn start_electing(refusals: u64) -> Server {
    let refusals_left = AtomicU64::new(refusals);
    start_service(Electing { refusals_left }, identity("home", 1)).await
}

async fn start_service(service: impl Service, identity: Identity) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("bound");
    let counters = Arc::new(ServerCounters::default());
    let stop = CancellationToken::new();
    let server = serve(
        listener,
        identity,
        Arc::new(service),
        counters.clone(),
        stop.clone(),
    );
    tokio::spawn(server);
    Server {
        address,
        counters,
        stop,
    }
}

async fn open(address: SocketAddr, identity: Identity) -> Result<Connection, String> {
    Connection::open(address, &identity, Arc::new(LinkCounters::default()))
        .await
        .map_err(|error| {
            assert_eq!(error.kind, CallErrorKind::NotSent);
            assert!(error.peer.contains(&address.to_string()));
            format!("{}: {}", error.step, error.message)
        })
}

/// A connection of a process of the server's cluster.
async fn open_home(server: &Server) -> Connection {
    let opened = open(server.address, identity("home", 1)).await;
    opened.expect("open")
}

/// Why the server refuses this process.
async fn reason_of_refusal(server: &Server, identity: Identity) -> String {
    let refused = open(server.address, identity).await.err();
    refused.expect("must be refused")
}

fn requests(server: &Server) -> u64 {
    server.counters.requests.load(Ordering::Relaxed)
}

fn status() -> Request {
    Request::ClusterStatus(ClusterStatusRequest)
}

#[tokio::test]
async fn stranger_without_the_key_is_refused_by_name_of_the_reason() {
    let server = start(None).await;
    let reason = reason_of_refusal(&server, identity("home", 2)).await;
    assert!(
        reason.contains("handshake") && reason.contains("does not know the cluster key"),
        "{reason}"
    );
}

#[tokio::test]
async fn process_of_another_cluster_is_refused() {
    let server = start(None).await;
    let reason = reason_of_refusal(&server, identity("away", 1)).await;
    assert!(
        reason.contains("this is cluster `home`, not `away`"),
        "{reason}"
    );
}

#[tokio::test]
async fn data_folder_of_another_cluster_is_refused() {
    let server = start_as(None, identity("home", 1).with_replica(1, 10)).await;
    let other = identity("home", 1).with_replica(2, 11);
    let reason = reason_of_refusal(&server, other).await;
    assert!(reason.contains("cluster identity"), "{reason}");
    let newcomer = identity("home", 1).with_replica(3, 0);
    let opened = open(server.address, newcomer).await;
    opened.expect("a newcomer is let in");
}

#[tokio::test]
async fn answers_find_their_calls_out_of_order() {
    let server = start(None).await;
    let connection = open_home(&server).await;
    let call = |lost| {
        let connection = connection.clone();
        async move {
            let request = Request::ReplaceReplica(ReplaceReplica { lost, new: 0 });
            match connection.call(request, LONG).await.expect("answer") {
                Response::ReplaceReplica(progress) => u64::from(progress.done),
                other => panic!("unexpected {other:?}"),
            }
        }
    };
    let answers = tokio::join!(call(60), call(1), call(30));
    assert_eq!(answers, (60, 1, 30));
}

#[tokio::test]
async fn late_answer_ends_as_unknown_and_harms_no_other_call() {
    let server = start(None).await;
    let connection = open_home(&server).await;
    let (late, soon) = tokio::join!(
        connection.call(Request::BundleShow(BundleShow), SHORT),
        connection.call(status(), LONG),
    );
    assert_eq!(late.expect_err("no answer").kind, CallErrorKind::Unknown);
    assert_eq!(soon, Ok(Response::Done));
}

/// Messages of the accepting side that prove it.
const PROOF_MESSAGES: usize = 2;

/// Passes connections on to a server. Each answer comes once more before the next one and at once
/// behind it.
async fn start_repeating(server: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(server).await.expect("connect");
            let (mut near_read, near_write) = near.into_split();
            let (far_read, mut far_write) = far.into_split();
            tokio::spawn(async move { tokio::io::copy(&mut near_read, &mut far_write).await });
            tokio::spawn(repeat_answers(far_read, near_write));
        }
    });
    address
}

/// Ends with the connection.
async fn repeat_answers(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
) -> std::io::Result<()> {
    let mut earlier = Vec::new();
    for number in 0.. {
        let length = from.read_u32_le().await?;
        // The correlation number stands between the length and the message.
        let mut rest = vec![0; 8 + length as usize];
        from.read_exact(&mut rest).await?;
        let frame = [&length.to_le_bytes()[..], &rest].concat();
        to.write_all(&earlier).await?;
        to.write_all(&frame).await?;
        if number >= PROOF_MESSAGES {
            to.write_all(&frame).await?;
            earlier = frame;
        }
    }
    Ok(())
}

#[tokio::test]
async fn a_repeated_answer_reaches_no_other_call() {
    let server = start(None).await;
    let repeating = start_repeating(server.address).await;
    let connection = open(repeating, identity("home", 1)).await.expect("open");
    for lost in 1..6 {
        let request = Request::ReplaceReplica(ReplaceReplica { lost, new: 0 });
        let answer = connection.call(request, LONG).await.expect("an answer");
        let Response::ReplaceReplica(progress) = answer else {
            panic!("unexpected {answer:?}");
        };
        assert_eq!(u64::from(progress.done), lost);
    }
    assert!(!connection.is_closed());
}

/// Sends raw bytes on a proved connection's stead and reads what comes back.
async fn raw(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(bytes).await.expect("write");
    let mut answer = Vec::new();
    // A reset is as good an end as a close.
    let _ = stream.read_to_end(&mut answer).await;
    answer
}

fn framed(length: u32, message: &[u8]) -> Vec<u8> {
    let mut bytes = length.to_le_bytes().to_vec();
    bytes.extend_from_slice(&0u64.to_le_bytes());
    bytes.extend_from_slice(message);
    bytes
}

fn contains(bytes: &[u8], text: &str) -> bool {
    bytes
        .windows(text.len())
        .any(|part| part == text.as_bytes())
}

/// These bytes end their connection for this reason, and no other one.
async fn assert_closes_only_its_connection(bytes: &[u8], reason: &str) {
    let server = start(None).await;
    let good = open_home(&server).await;
    let answer = raw(server.address, bytes).await;
    assert!(contains(&answer, reason));
    assert_eq!(good.call(status(), LONG).await, Ok(Response::Done));
}

#[tokio::test]
async fn too_long_frame_closes_only_its_connection() {
    let frame = framed(u32::MAX, &[]);
    assert_closes_only_its_connection(&frame, "a frame of 4294967295 bytes").await;
}

#[tokio::test]
async fn malformed_frame_closes_only_its_connection() {
    let frame = framed(16, &[0xff; 16]);
    assert_closes_only_its_connection(&frame, "malformed message").await;
}

#[tokio::test]
async fn request_before_the_proof_is_refused() {
    let server = start(None).await;
    let message = encode_frame(&Frame::Request(status()));
    let answer = raw(server.address, &framed(message.len() as u32, &message)).await;
    assert!(contains(&answer, "unexpected frame instead of a hello"));
    assert_eq!(requests(&server), 0);
}

/// Makes the client ask `address` first for group 3.
fn believe(client: &ControlClient, address: SocketAddr) {
    client.learn_groups(&[GroupRecord {
        group: 3,
        leader: Some(address),
        backlog: Vec::new(),
    }]);
}

/// A client that believes that the follower leads is served by the leader,
/// and has asked the follower once.
async fn assert_finds_leader_by_hint(follower: &Server, leader: &Server) {
    let addresses = [follower.address, leader.address];
    let client = ControlClient::new(identity("home", 1), &addresses);
    believe(&client, follower.address);
    let answer = client.call_leader(3, status(), LONG).await;
    assert_eq!(answer, Ok(Response::Done));
    assert_eq!(requests(follower), 1);
}

#[tokio::test]
async fn client_follows_the_leader_hint() {
    let leader = start(None).await;
    let follower = start(Some(leader.address)).await;
    assert_finds_leader_by_hint(&follower, &leader).await;
}

#[tokio::test]
async fn client_reaches_a_hinted_machine_at_the_address_of_its_settings() {
    // The leader says that it listens where nobody does.
    let elsewhere = SocketAddr::from(([127, 0, 0, 1], 9));
    let leader = start_as(None, identity("home", 1).with_listen(elsewhere)).await;
    let follower = start(Some(elsewhere)).await;
    assert_finds_leader_by_hint(&follower, &leader).await;
}

#[tokio::test]
async fn client_connects_to_no_address_outside_its_settings() {
    let outside = start(None).await;
    let follower = start(Some(outside.address)).await;
    let client = ControlClient::new(identity("home", 1), &[follower.address]);
    let answer = client.call_leader(3, status(), SHORT).await;
    let error = answer.expect_err("the only machine does not lead");
    // The last try may begin with a millisecond left, and is cut then.
    let is_cut = error.kind == CallErrorKind::Unknown && error.step == "await answer";
    let is_refused = matches!(error.kind, CallErrorKind::Refused(_));
    assert!(is_refused || is_cut, "{error:?}");
    assert!(requests(&follower) > 1, "{error:?}");
    let accepted = &outside.counters.accepted;
    assert_eq!(accepted.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn client_passes_over_a_dead_machine() {
    let alive = start(None).await;
    let dead = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let dead_address = dead.local_addr().expect("bound");
    drop(dead);
    for _ in 0..4 {
        let client = ControlClient::new(identity("home", 1), &[dead_address, alive.address]);
        assert_eq!(client.call_any(status(), LONG).await, Ok(Response::Done));
    }
}

#[tokio::test]
async fn client_awaits_a_leader_within_its_own_deadline() {
    let electing = start_electing(7).await;
    let client = ControlClient::new(identity("home", 1), &[electing.address]);
    assert_eq!(client.call_any(status(), LONG).await, Ok(Response::Done));
    assert_eq!(requests(&electing), 8);
}

#[tokio::test]
async fn client_gives_up_at_its_deadline_with_the_refusal() {
    let electing = start_electing(u64::MAX).await;
    let client = ControlClient::new(identity("home", 1), &[electing.address]);
    let answer = client.call_any(status(), SHORT).await;
    let error = answer.expect_err("there is never a leader");
    assert!(matches!(error.kind, CallErrorKind::Refused(_)), "{error}");
}

#[tokio::test]
async fn call_in_flight_ends_as_unknown_when_the_connection_breaks() {
    let server = start(None).await;
    let connection = open_home(&server).await;
    let call = connection.call(Request::BundleShow(BundleShow), LONG);
    let close = async {
        tokio::time::sleep(SHORT).await;
        connection.close();
    };
    let (answer, ()) = tokio::join!(call, close);
    assert_eq!(answer.expect_err("broken").kind, CallErrorKind::Unknown);
    let after = connection.call(status(), LONG).await;
    assert_eq!(after.expect_err("closed").kind, CallErrorKind::NotSent);
}

/// Accepts connections at an address and passes them on to `server`, except the first one, which
/// gets no answer. A machine that is starting drops the first packet likewise.
async fn start_silent_at_first(server: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let _silent = listener.accept().await;
        while let Ok((mut near, _)) = listener.accept().await {
            let mut far = TcpStream::connect(server).await.expect("connect");
            tokio::spawn(async move {
                tokio::io::copy_bidirectional(&mut near, &mut far)
                    .await
                    .is_ok()
            });
        }
    });
    address
}

#[tokio::test]
async fn a_pool_reaches_a_peer_soon_that_is_silent_at_first() {
    let server = start(None).await;
    let address = start_silent_at_first(server.address).await;
    let stop = CancellationToken::new();
    let began = std::time::Instant::now();
    let pool = PeerPool::start(&[address], &identity("home", 1), &stop);
    while pool.connected_peers().is_empty() {
        assert!(began.elapsed() < LONG, "never connected");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // An attempt without a limit of its own waits five seconds for the handshake.
    assert!(began.elapsed() < Duration::from_secs(2), "{began:?}");
    stop.cancel();
}
