//! Peers that speak another version or break the protocol, before and after
//! they have proved themselves. Each loses its own connection and no more.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use async_trait::async_trait;
use hmac::{Hmac, Mac};
use pinerill_wire::api::{CallErrorKind, Peer, Role, Service};
use pinerill_wire::codec::{decode_frame, encode_frame, Frame, Hello};
use pinerill_wire::connection::{
    serve, ClusterKey, Connection, Identity, LinkCounters, ServerCounters, FRAME_LIMIT,
};
use pinerill_wire::message::{ClusterStatusRequest, Request, Response};
use sha2::Sha256;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

const KEY: [u8; 32] = [7; 32];
const LONG: std::time::Duration = std::time::Duration::from_secs(20);

struct Done;

#[async_trait]
impl Service for Done {
    async fn call(&self, _peer: &Peer, _request: Request) -> Response {
        Response::Done
    }
}

fn identity() -> Identity {
    let key = ClusterKey::from_bytes(KEY);
    Identity::new("home", key, Role::Control, "machine", "zone")
}

struct Server {
    address: SocketAddr,
    counters: Arc<ServerCounters>,
}

async fn start() -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("bound");
    let counters = Arc::new(ServerCounters::default());
    let stop = CancellationToken::new();
    tokio::spawn(serve(
        listener,
        identity(),
        Arc::new(Done),
        counters.clone(),
        stop,
    ));
    Server { address, counters }
}

async fn open(address: SocketAddr) -> Connection {
    let counters = Arc::new(LinkCounters::default());
    Connection::open(address, &identity(), counters)
        .await
        .expect("let in")
}

fn status() -> Request {
    Request::ClusterStatus(ClusterStatusRequest)
}

fn hello(protocol: u32) -> Vec<u8> {
    encode_frame(&Frame::Hello(Hello {
        protocol,
        cluster: "home".to_owned(),
        role: Role::Node,
        name: "stranger".to_owned(),
        zone: "zone".to_owned(),
        replica: 0,
        cluster_id: 0,
        listen: None,
        nonce: vec![3; 32],
    }))
}

async fn write_message(stream: &mut TcpStream, message: &[u8]) {
    write_header(stream, message.len()).await;
    stream.write_all(message).await.expect("write");
}

async fn write_header(stream: &mut TcpStream, length: usize) {
    stream.write_u32_le(length as u32).await.expect("write");
    stream.write_u64_le(0).await.expect("write");
}

async fn read_message(stream: &mut TcpStream) -> Vec<u8> {
    let length = stream.read_u32_le().await.expect("a length");
    stream.read_u64_le().await.expect("a correlation number");
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await.expect("a message");
    bytes
}

async fn read_goodbye(stream: &mut TcpStream) -> String {
    let bytes = read_message(stream).await;
    match decode_frame(&bytes).expect("a frame") {
        Frame::Goodbye(reason) => reason,
        other => panic!("instead of a goodbye: {other:?}"),
    }
}

/// A connection of a peer that knows the key and can then send anything.
async fn proved(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let own = hello(1);
    write_message(&mut stream, &own).await;
    let other = read_message(&mut stream).await;
    let mut mac = Hmac::<Sha256>::new_from_slice(&KEY).expect("any length");
    mac.update(b"pinerill connecting");
    for message in [&own, &other] {
        mac.update(&(message.len() as u64).to_le_bytes());
        mac.update(message);
    }
    let proof = mac.finalize().into_bytes().to_vec();
    write_message(&mut stream, &encode_frame(&Frame::Proof(proof))).await;
    read_message(&mut stream).await;
    stream
}

#[tokio::test]
async fn another_version_is_refused_and_told_which_is_spoken() {
    let server = start().await;
    let good = open(server.address).await;
    let mut stream = TcpStream::connect(server.address).await.expect("connect");
    write_message(&mut stream, &hello(2)).await;
    let reason = read_goodbye(&mut stream).await;
    assert_eq!(
        reason,
        "handshake: protocol version 1 is spoken here, not 2"
    );
    assert_eq!(server.counters.refused.load(Ordering::Relaxed), 1);
    assert_eq!(good.call(status(), LONG).await, Ok(Response::Done));
}

#[tokio::test]
async fn a_server_of_another_version_is_refused_with_step_and_peer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_message(&mut stream).await;
        write_message(&mut stream, &hello(2)).await;
    });
    let opened = Connection::open(address, &identity(), Arc::default()).await;
    let error = opened.err().expect("must be refused");
    assert_eq!(error.kind, CallErrorKind::NotSent);
    let expected = format!("handshake with {address}: protocol version 1 is spoken here, not 2");
    assert_eq!(error.to_string(), expected);
}

/// Sends `bytes` from a proved peer; returns why its connection was closed.
async fn closed_for(server: &Server, header: usize, bytes: &[u8]) -> String {
    let good = open(server.address).await;
    let mut bad = proved(server.address).await;
    write_header(&mut bad, header).await;
    bad.write_all(bytes).await.expect("write");
    let reason = read_goodbye(&mut bad).await;
    assert_eq!(good.call(status(), LONG).await, Ok(Response::Done));
    assert_eq!(server.counters.malformed.load(Ordering::Relaxed), 1);
    assert_eq!(server.counters.accepted.load(Ordering::Relaxed), 2);
    reason
}

#[tokio::test]
async fn a_proved_peer_with_a_frame_too_long_loses_its_connection_alone() {
    let server = start().await;
    let length = FRAME_LIMIT + 1;
    let reason = closed_for(&server, length, &[]).await;
    let expected = format!("read frame: a frame of {length} bytes, {FRAME_LIMIT} are allowed");
    assert_eq!(reason, expected);
}

#[tokio::test]
async fn a_proved_peer_with_a_malformed_frame_loses_its_connection_alone() {
    let server = start().await;
    let reason = closed_for(&server, 16, &[0xff; 16]).await;
    assert!(
        reason.starts_with("read frame: malformed message"),
        "{reason}"
    );
}

#[tokio::test]
async fn a_proved_peer_with_a_frame_out_of_place_loses_its_connection_alone() {
    let server = start().await;
    let again = hello(1);
    let reason = closed_for(&server, again.len(), &again).await;
    assert_eq!(reason, "read frame: unexpected frame");
}

/// A proof made for one hello is worth nothing for another: the server's
/// nonce is in it.
#[tokio::test]
async fn a_proof_that_was_overheard_is_refused() {
    let server = start().await;
    let mut mac = Hmac::<Sha256>::new_from_slice(&KEY).expect("any length");
    mac.update(b"pinerill connecting");
    let overheard = mac.finalize().into_bytes().to_vec();
    let mut stream = TcpStream::connect(server.address).await.expect("connect");
    write_message(&mut stream, &hello(1)).await;
    read_message(&mut stream).await;
    write_message(&mut stream, &encode_frame(&Frame::Proof(overheard))).await;
    let reason = read_goodbye(&mut stream).await;
    assert_eq!(reason, "handshake: the peer does not know the cluster key");
    assert_eq!(server.counters.requests.load(Ordering::Relaxed), 0);
}
