//! Mutual proof of the cluster key.
//!
//! Each side sends a `Hello` with a fresh nonce, then an HMAC-SHA-256 under
//! the cluster key over its direction and both hellos. Because the MAC
//! covers both nonces it can't be replayed, and because it covers the
//! direction it can't be reflected. The accepting side proves itself last,
//! so a stranger learns nothing but names.

use std::net::SocketAddr;
use std::time::Duration;

use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::framing::{
    read_message, write_frame, ConnectionError, FRAME_LIMIT, HANDSHAKE_FRAME_LIMIT,
};
use super::identity::Identity;
use crate::api::{Peer, Role};
use crate::codec::{decode_frame, encode_frame, Frame, Hello};

/// Version of the internal protocol; another one is refused.
const PROTOCOL_VERSION: u32 = 1;
/// Bytes of a nonce.
const NONCE_BYTES: usize = 32;
/// Longest time for the whole handshake.
const HANDSHAKE_TIME: Duration = Duration::from_secs(5);
/// What the MAC of the connecting side starts with.
const CONNECTING: &[u8] = b"pinerill connecting";
/// What the MAC of the accepting side starts with.
const ACCEPTING: &[u8] = b"pinerill accepting";

/// Proves both sides, as the one that connected.
pub(super) async fn connect(
    stream: &mut TcpStream,
    identity: &Identity,
    address: SocketAddr,
) -> Result<Peer, ConnectionError> {
    within_time(async {
        let own = encode_frame(&Frame::Hello(hello(identity)));
        write_bytes(stream, &own).await?;
        let (other_bytes, other) = read_hello(stream).await?;
        check_hello(identity, &other)?;
        let proof = mac(identity, CONNECTING, &own, &other_bytes);
        write_frame(
            stream,
            &Frame::Proof(proof.finalize().into_bytes().to_vec()),
        )
        .await?;
        let expected = mac(identity, ACCEPTING, &own, &other_bytes);
        check_proof(stream, expected).await?;
        Ok(peer(other, address))
    })
    .await
}

/// Proves both sides, as the one that accepted.
pub(super) async fn accept(
    stream: &mut TcpStream,
    identity: &Identity,
    address: SocketAddr,
) -> Result<Peer, ConnectionError> {
    let result = within_time(async {
        let (other_bytes, other) = read_hello(stream).await?;
        check_hello(identity, &other)?;
        let own = encode_frame(&Frame::Hello(hello(identity)));
        write_bytes(stream, &own).await?;
        let expected = mac(identity, CONNECTING, &other_bytes, &own);
        check_proof(stream, expected).await?;
        let proof = mac(identity, ACCEPTING, &other_bytes, &own);
        write_frame(
            stream,
            &Frame::Proof(proof.finalize().into_bytes().to_vec()),
        )
        .await?;
        Ok(peer(other, address))
    })
    .await;
    if let Err(error) = &result {
        let goodbye = Frame::Goodbye(format!("handshake: {error}"));
        // The connection is given up either way.
        let _ = write_frame(stream, &goodbye).await;
    }
    result
}

async fn within_time<T>(
    work: impl std::future::Future<Output = Result<T, ConnectionError>>,
) -> Result<T, ConnectionError> {
    timeout(HANDSHAKE_TIME, work)
        .await
        .unwrap_or_else(|_| Err(ConnectionError::TimedOut(HANDSHAKE_TIME.as_millis())))
}

fn hello(identity: &Identity) -> Hello {
    let mut nonce = vec![0; NONCE_BYTES];
    rand::thread_rng().fill_bytes(&mut nonce);
    Hello {
        protocol: PROTOCOL_VERSION,
        cluster: identity.cluster.clone(),
        role: identity.role,
        name: identity.name.clone(),
        zone: identity.zone.clone(),
        replica: identity.replica,
        cluster_id: identity.cluster_id(),
        listen: identity.listen,
        nonce,
    }
}

async fn write_bytes(stream: &mut TcpStream, message: &[u8]) -> Result<(), ConnectionError> {
    use tokio::io::AsyncWriteExt;
    let bytes = super::framing::message_bytes(0, message);
    stream.write_all(&bytes).await?;
    Ok(())
}

async fn read_hello(stream: &mut TcpStream) -> Result<(Vec<u8>, Hello), ConnectionError> {
    let (_, bytes) = read_message(stream, HANDSHAKE_FRAME_LIMIT).await?;
    match decode_frame(&bytes)? {
        Frame::Hello(hello) => Ok((bytes, hello)),
        Frame::Goodbye(reason) => Err(ConnectionError::Goodbye(reason)),
        _ => Err(ConnectionError::Unexpected("frame instead of a hello")),
    }
}

fn check_hello(identity: &Identity, other: &Hello) -> Result<(), ConnectionError> {
    let refuse = |message: String| Err(ConnectionError::Refused(message));
    if other.protocol != PROTOCOL_VERSION {
        return refuse(format!(
            "protocol version {} is spoken here, not {}",
            PROTOCOL_VERSION, other.protocol
        ));
    }
    if other.cluster != identity.cluster {
        return refuse(format!(
            "this is cluster `{}`, not `{}`",
            identity.cluster, other.cluster
        ));
    }
    if other.nonce.len() != NONCE_BYTES {
        return refuse(format!("a nonce has {NONCE_BYTES} bytes"));
    }
    let own = identity.cluster_id();
    let both_controls = identity.role == Role::Control && other.role == Role::Control;
    if both_controls && own != 0 && other.cluster_id != 0 && own != other.cluster_id {
        return refuse(format!(
            "cluster identity {own:016x} here, {:016x} there",
            other.cluster_id
        ));
    }
    Ok(())
}

fn mac(identity: &Identity, direction: &[u8], connecting: &[u8], accepting: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(identity.key.bytes())
        .expect("HMAC takes a key of any length");
    mac.update(direction);
    for message in [connecting, accepting] {
        mac.update(&(message.len() as u64).to_le_bytes());
        mac.update(message);
    }
    mac
}

async fn check_proof(
    stream: &mut TcpStream,
    expected: Hmac<Sha256>,
) -> Result<(), ConnectionError> {
    let (_, bytes) = read_message(stream, HANDSHAKE_FRAME_LIMIT.min(FRAME_LIMIT)).await?;
    match decode_frame(&bytes)? {
        Frame::Proof(proof) => expected
            .verify_slice(&proof)
            .map_err(|_| ConnectionError::Refused("the peer does not know the cluster key".into())),
        Frame::Goodbye(reason) => Err(ConnectionError::Goodbye(reason)),
        _ => Err(ConnectionError::Unexpected("frame instead of a proof")),
    }
}

fn peer(hello: Hello, address: SocketAddr) -> Peer {
    Peer {
        role: hello.role,
        name: hello.name,
        zone: hello.zone,
        replica: hello.replica,
        cluster_id: hello.cluster_id,
        address: hello.listen.unwrap_or(address),
    }
}
