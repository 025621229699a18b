//! The outermost union: what one frame on a connection holds.

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize;

use super::list::{decode_structs, encode_structs};
use super::text::{optional_address, optional_address_text, string};
use super::{envelope, request, response, CodecError};
use crate::api::Role;
use crate::message::{Notification, Request, Response};
use crate::wire_capnp as wire;

/// Words that a reader may traverse, per word received: a list of pointers
/// to one struct must not blow up a small frame.
const TRAVERSAL_FACTOR: usize = 2;
/// Words that any message may traverse.
const TRAVERSAL_MINIMUM: usize = 1024;

/// What one frame holds.
#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    /// First frame of each side.
    Hello(Hello),
    /// Second frame of each side: HMAC over both nonces.
    Proof(Vec<u8>),
    /// A request; the answer has its correlation number.
    Request(Request),
    /// The answer.
    Response(Response),
    /// A message without an answer.
    Notification(Notification),
    /// Why the sender closes the connection.
    Goodbye(String),
}

/// Who a process says it is, before it proves that it knows the cluster key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
    /// Version of the protocol.
    pub protocol: u32,
    /// The cluster's name.
    pub cluster: String,
    /// Role of the process.
    pub role: Role,
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Identity of its data folder; 0 without one.
    pub replica: u64,
    /// Identity of its cluster; 0 when it has none yet.
    pub cluster_id: u64,
    /// Where it listens, if it does.
    pub listen: Option<std::net::SocketAddr>,
    /// Random bytes that the other side's proof must cover.
    pub nonce: Vec<u8>,
}

/// A frame as bytes.
pub fn encode_frame(frame: &Frame) -> Vec<u8> {
    let mut message = Builder::new_default();
    let mut root = message.init_root::<wire::frame::Builder<'_>>();
    match frame {
        Frame::Hello(hello) => encode_hello(hello, root.init_hello()),
        Frame::Proof(mac) => root.init_proof().set_mac(mac),
        Frame::Request(one) => request::encode(one, root.init_request()),
        Frame::Response(one) => response::encode(one, root.init_response()),
        Frame::Notification(Notification::Replica(envelopes)) => {
            let notification = root.init_notification();
            let list = notification.init_replica(envelopes.len() as u32);
            encode_structs(list, envelopes, envelope::encode);
        }
        Frame::Goodbye(reason) => root.set_goodbye(reason),
    }
    serialize::write_message_to_words(&message)
}

/// A frame from bytes.
///
/// # Errors
/// [`CodecError`] for bytes that are not a frame of this version.
pub fn decode_frame(bytes: &[u8]) -> Result<Frame, CodecError> {
    let words = bytes.len() / size_of::<u64>();
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(words * TRAVERSAL_FACTOR + TRAVERSAL_MINIMUM));
    let mut rest = bytes;
    let message = serialize::read_message_from_flat_slice(&mut rest, options)?;
    let root = message.get_root::<wire::frame::Reader<'_>>()?;
    use wire::frame::Which;
    Ok(match root.which()? {
        Which::Hello(hello) => Frame::Hello(decode_hello(hello?)?),
        Which::Proof(proof) => Frame::Proof(proof?.get_mac()?.to_vec()),
        Which::Request(one) => Frame::Request(request::decode(one?)?),
        Which::Response(one) => Frame::Response(response::decode(one?)?),
        Which::Notification(one) => Frame::Notification(decode_notification(one?)?),
        Which::Goodbye(reason) => Frame::Goodbye(string(reason?)?),
    })
}

fn decode_notification(reader: wire::notification::Reader<'_>) -> Result<Notification, CodecError> {
    use wire::notification::Which;
    match reader.which()? {
        Which::Replica(list) => {
            let envelopes = decode_structs(list?, envelope::decode)?;
            Ok(Notification::Replica(envelopes))
        }
        Which::None(()) => Ok(Notification::Replica(Vec::new())),
    }
}

fn encode_hello(hello: &Hello, mut builder: wire::hello::Builder<'_>) {
    builder.set_protocol(hello.protocol);
    builder.set_cluster(&hello.cluster);
    builder.set_role(match hello.role {
        Role::Control => wire::Role::Control,
        Role::Node => wire::Role::Node,
        Role::Operator => wire::Role::Operator,
    });
    builder.set_name(&hello.name);
    builder.set_zone(&hello.zone);
    builder.set_replica(hello.replica);
    builder.set_cluster_id(hello.cluster_id);
    builder.set_listen(optional_address_text(hello.listen));
    builder.set_nonce(&hello.nonce);
}

fn decode_hello(reader: wire::hello::Reader<'_>) -> Result<Hello, CodecError> {
    Ok(Hello {
        protocol: reader.get_protocol(),
        cluster: string(reader.get_cluster()?)?,
        role: match reader.get_role()? {
            wire::Role::Control => Role::Control,
            wire::Role::Node => Role::Node,
            wire::Role::Operator => Role::Operator,
        },
        name: string(reader.get_name()?)?,
        zone: string(reader.get_zone()?)?,
        replica: reader.get_replica(),
        cluster_id: reader.get_cluster_id(),
        listen: optional_address("listen", reader.get_listen()?)?,
        nonce: reader.get_nonce()?.to_vec(),
    })
}
