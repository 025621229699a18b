//! Finds the newest format that a peer reads, and speaks it.
//!
//! A peer refuses a request of a format that it does not know as one that can't be right, and
//! has then carried out nothing. Requests go out in the newest format; after such a refusal
//! the peer is asked something harmless in the older ones, one after the other, and what it
//! understood is used for a while. Between processes of one build that costs nothing.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use pinerill_process::clock::BootTime;
use pinerill_wire::api::{CallError, CallErrorKind};
use pinerill_wire::message::{Refusal, RefusalCode, Request, Response};

use crate::encoding::{format_of, Format};
use crate::formats::{decode_response, encode_request};
use crate::message::{CallsRequest, CallsResponse};

/// Time for which a peer is spoken to in an older format before the newest is tried again:
/// short, since the machine there may have been replaced meanwhile, and what came with a newer
/// format, as orders about zones, is told in it alone.
const OLDER_FOR: Duration = Duration::from_secs(2);

/// What is read and written by peers of an older build.
#[derive(Debug, Default)]
pub struct PeerFormats {
    older: Mutex<HashMap<SocketAddr, OlderPeer>>,
}

#[derive(Debug, Clone, Copy)]
struct OlderPeer {
    format: Format,
    until: BootTime,
}

/// An answer with the format in which it came.
#[derive(Debug)]
pub struct FormattedAnswer {
    /// The answer.
    pub response: CallsResponse,
    /// Its format.
    pub format: Format,
}

impl PeerFormats {
    /// The format in which a peer is asked.
    pub fn assumed(&self, peer: SocketAddr) -> Format {
        let older = self.older.lock();
        let known = older
            .get(&peer)
            .filter(|one| !one.until.remaining().is_zero());
        known.map_or(Format::NEWEST, |one| one.format)
    }

    /// Takes in the format that a peer understood.
    fn take_in(&self, peer: SocketAddr, format: Format) {
        let mut older = self.older.lock();
        if format == Format::NEWEST {
            older.remove(&peer);
            return;
        }
        let until = BootTime::now() + OLDER_FOR;
        let known = older.insert(peer, OlderPeer { format, until });
        if known.is_none_or(|known| known.format != format) {
            log::info!(event = "peer_reads_older_format", peer:%, format:%; "");
        }
    }

    /// Sends a request in a format that the peer reads, and reads the answer.
    ///
    /// # Errors
    /// As the peer refuses, as `send` fails, or [`RefusalCode::Unavailable`] if the peer's
    /// format has no such request.
    pub async fn exchange<Sent>(
        &self,
        peer: SocketAddr,
        encode: impl Fn(Format) -> Result<Vec<u8>, CallError>,
        send: impl Fn(Request) -> Sent,
    ) -> Result<(Format, Vec<u8>), CallError>
    where
        Sent: Future<Output = Result<Response, CallError>>,
    {
        self.exchange_from(self.assumed(peer), peer, encode, send)
            .await
    }

    async fn exchange_from<Sent>(
        &self,
        assumed: Format,
        peer: SocketAddr,
        encode: impl Fn(Format) -> Result<Vec<u8>, CallError>,
        send: impl Fn(Request) -> Sent,
    ) -> Result<(Format, Vec<u8>), CallError>
    where
        Sent: Future<Output = Result<Response, CallError>>,
    {
        let (assumed, bytes) = match encode(assumed) {
            Ok(bytes) => (assumed, bytes),
            // The peer may have been replaced by a newer build meanwhile.
            Err(_) => (Format::NEWEST, encode(Format::NEWEST)?),
        };
        let refused = match send(Request::Calls(bytes)).await {
            Err(error) if is_invalid(&error) => error,
            answered => return bytes_of(peer, answered?),
        };
        let found = self.find(peer, &send).await?;
        if found == assumed {
            return Err(refused);
        }
        self.take_in(peer, found);
        let answered = send(Request::Calls(encode(found)?)).await?;
        bytes_of(peer, answered)
    }

    /// The newest format that a peer reads.
    ///
    /// # Errors
    /// Nothing was carried out: the peer is gone, or it reads no format that is known here.
    async fn find<Sent>(
        &self,
        peer: SocketAddr,
        send: &impl Fn(Request) -> Sent,
    ) -> Result<Format, CallError>
    where
        Sent: Future<Output = Result<Response, CallError>>,
    {
        for format in Format::newest_first() {
            let probe = encode_for(harmless(), format, peer)?;
            match send(Request::Calls(probe)).await {
                Err(error) if is_invalid(&error) => {}
                Err(error) if !is_refusal(&error) => return Err(not_sent(peer, error)),
                // Whatever else it answers, it has read the request.
                Ok(_) | Err(_) => return Ok(format),
            }
        }
        Err(refused(peer, "it reads no format that is known here"))
    }

    /// The same, whatever the peer was found to read: what arrives in an older format then says
    /// that the sender was refused in the newer ones.
    ///
    /// # Errors
    /// As [`PeerFormats::exchange`].
    pub async fn ask_in_newest_format<Sent>(
        &self,
        peer: SocketAddr,
        request: &CallsRequest,
        send: impl Fn(Request) -> Sent,
    ) -> Result<FormattedAnswer, CallError>
    where
        Sent: Future<Output = Result<Response, CallError>>,
    {
        self.ask_from(Format::NEWEST, peer, request, send).await
    }

    /// Sends a request that needs no care beyond its form.
    ///
    /// # Errors
    /// As [`PeerFormats::exchange`].
    pub async fn ask<Sent>(
        &self,
        peer: SocketAddr,
        request: &CallsRequest,
        send: impl Fn(Request) -> Sent,
    ) -> Result<FormattedAnswer, CallError>
    where
        Sent: Future<Output = Result<Response, CallError>>,
    {
        self.ask_from(self.assumed(peer), peer, request, send).await
    }

    async fn ask_from<Sent>(
        &self,
        assumed: Format,
        peer: SocketAddr,
        request: &CallsRequest,
        send: impl Fn(Request) -> Sent,
    ) -> Result<FormattedAnswer, CallError>
    where
        Sent: Future<Output = Result<Response, CallError>>,
    {
        let encode = |format| encode_for(request.clone(), format, peer);
        let (format, bytes) = self.exchange_from(assumed, peer, encode, send).await?;
        let response = decode_response(&bytes).map_err(|error| unreadable_answer(peer, error))?;
        Ok(FormattedAnswer { response, format })
    }
}

/// Writes a request for a peer of a format.
///
/// # Errors
/// [`RefusalCode::Unavailable`] if that format has no such request: it was not sent.
pub fn encode_for(
    request: CallsRequest,
    format: Format,
    peer: SocketAddr,
) -> Result<Vec<u8>, CallError> {
    encode_request(request, format).map_err(|error| refused(peer, error))
}

/// A request that the peer would not understand, and that was not sent.
fn refused(peer: SocketAddr, reason: impl std::fmt::Display) -> CallError {
    log::warn!(event = "request_not_expressible", peer:%, reason:%; "");
    let step = "write for a peer of another build";
    Refusal::new(RefusalCode::Unavailable, step, peer.to_string(), reason).into()
}

/// The peer was lost while it was asked what it reads; the request itself was not carried out.
fn not_sent(peer: SocketAddr, error: CallError) -> CallError {
    CallError {
        kind: CallErrorKind::NotSent,
        step: "find the peer's format".to_owned(),
        peer: peer.to_string(),
        message: error.to_string(),
    }
}

/// The error of an answer that can't be read: what was asked may have been done.
pub fn unreadable_answer(peer: SocketAddr, error: impl std::fmt::Display) -> CallError {
    CallError {
        kind: CallErrorKind::Unknown,
        step: "read answer".to_owned(),
        peer: peer.to_string(),
        message: error.to_string(),
    }
}

/// Asks for something that changes nothing and that each format has.
fn harmless() -> CallsRequest {
    CallsRequest::RetirementState(String::new())
}

fn is_invalid(error: &CallError) -> bool {
    matches!(&error.kind, CallErrorKind::Refused(refusal) if refusal.code == RefusalCode::Invalid)
}

fn is_refusal(error: &CallError) -> bool {
    matches!(error.kind, CallErrorKind::Refused(_))
}

fn bytes_of(peer: SocketAddr, response: Response) -> Result<(Format, Vec<u8>), CallError> {
    let Response::Calls(bytes) = response else {
        return Err(unreadable_answer(peer, "an answer of another kind"));
    };
    let format = format_of(&bytes).map_err(|error| unreadable_answer(peer, error))?;
    Ok((format, bytes))
}
