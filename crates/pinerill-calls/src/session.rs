//! Negotiates the message format with peers that run another build.
//!
//! Nodes and control machines send their [`CallsRequest`]s through [`PeerFormats`]. A peer
//! refuses a request in a format that it does not know with [`RefusalCode::Invalid`] and has
//! then executed nothing. Requests are sent in the newest format. After such a refusal the peer
//! is probed with a request without side effects, from the newest format to the oldest, and
//! the first format that it accepts is used for a limited time. Between processes of the same
//! build the negotiation costs no extra request.

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

/// Time for which requests to a peer use a detected older format before the newest format is
/// attempted again. It is short because the peer may be replaced by a newer build meanwhile,
/// and data that only newer formats carry, such as evacuations of zones, is missing until then.
const OLDER_FORMAT_TTL: Duration = Duration::from_secs(2);

/// Remembers which peers need an older format, by address.
#[derive(Debug, Default)]
pub struct PeerFormats {
    older: Mutex<HashMap<SocketAddr, OlderPeer>>,
}

#[derive(Debug, Clone, Copy)]
struct OlderPeer {
    format: Format,
    until: BootTime,
}

/// A decoded answer together with the format in which it arrived.
#[derive(Debug)]
pub struct FormattedAnswer {
    /// The answer, converted to the newest form.
    pub response: CallsResponse,
    /// The format in which the peer encoded the answer.
    pub format: Format,
}

impl PeerFormats {
    /// Returns the format in which the next request to a peer is sent: an older
    /// format if it was detected recently, otherwise the newest.
    pub fn assumed(&self, peer: SocketAddr) -> Format {
        let older = self.older.lock();
        let known = older
            .get(&peer)
            .filter(|entry| !entry.until.remaining().is_zero());
        known.map_or(Format::NEWEST, |entry| entry.format)
    }

    /// Records the format that a peer accepted. An older format is kept for
    /// [`OLDER_FORMAT_TTL`]; the newest format removes the peer's record.
    fn record_format(&self, peer: SocketAddr, format: Format) {
        let mut older = self.older.lock();
        if format == Format::NEWEST {
            older.remove(&peer);
            return;
        }
        let until = BootTime::now() + OLDER_FORMAT_TTL;
        let known = older.insert(peer, OlderPeer { format, until });
        if known.is_none_or(|known| known.format != format) {
            log::info!(event = "peer_reads_older_format", peer:%, format:%; "");
        }
    }

    /// Sends a request in a format that the peer reads. Returns the format and the undecoded
    /// bytes of the answer.
    ///
    /// `encode` writes the request in a given format, and `send` transmits it to the peer. Both
    /// may be called more than once.
    ///
    /// # Errors
    /// The peer's refusal, the error of `send`, [`RefusalCode::Unavailable`] if the peer's
    /// format cannot express the request, or [`CallErrorKind::Unknown`] if the answer is not a
    /// calls message of a known format.
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
            // The assumed format cannot express the request. The peer may have been replaced
            // by a newer build since that format was recorded.
            Err(_) => (Format::NEWEST, encode(Format::NEWEST)?),
        };
        let refused = match send(Request::Calls(bytes)).await {
            Err(error) if is_invalid(&error) => error,
            answered => return calls_payload(peer, answered?),
        };
        let found = self.detect_format(peer, &send).await?;
        if found == assumed {
            return Err(refused);
        }
        self.record_format(peer, found);
        let answered = send(Request::Calls(encode(found)?)).await?;
        calls_payload(peer, answered)
    }

    /// Probes for the newest format that a peer reads.
    ///
    /// # Errors
    /// [`CallErrorKind::NotSent`] if the connection to the peer fails, and
    /// [`RefusalCode::Unavailable`] if it reads no format that this build writes. In both cases
    /// the caller's request was not executed.
    async fn detect_format<Sent>(
        &self,
        peer: SocketAddr,
        send: &impl Fn(Request) -> Sent,
    ) -> Result<Format, CallError>
    where
        Sent: Future<Output = Result<Response, CallError>>,
    {
        for format in Format::newest_first() {
            let probe = encode_for(probe_request(), format, peer)?;
            match send(Request::Calls(probe)).await {
                Err(error) if is_invalid(&error) => {}
                Err(error) if !is_refusal(&error) => return Err(detection_failed(peer, error)),
                // Any other answer or refusal means that the peer could decode the request.
                Ok(_) | Err(_) => return Ok(format),
            }
        }
        Err(refuse_unsent(peer, "it reads no format that is known here"))
    }

    /// Sends a request like [`PeerFormats::ask`], but always attempts the newest format first,
    /// even if an older format is recorded for the peer. A peer that receives the request in an
    /// older format can then conclude that it refused the newer ones.
    ///
    /// # Errors
    /// Same as [`PeerFormats::exchange`].
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

    /// Sends a request that needs no conversion other than that of its encoding, and decodes the
    /// answer.
    ///
    /// # Errors
    /// Same as [`PeerFormats::exchange`], and [`CallErrorKind::Unknown`] if the answer cannot
    /// be decoded.
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

/// Encodes a request in the format that a peer reads.
///
/// # Errors
/// [`RefusalCode::Unavailable`] if that format cannot express the request, which is then not
/// sent.
pub fn encode_for(
    request: CallsRequest,
    format: Format,
    peer: SocketAddr,
) -> Result<Vec<u8>, CallError> {
    encode_request(request, format).map_err(|error| refuse_unsent(peer, error))
}

/// Logs and returns the refusal of a request that was not sent because the peer cannot decode it.
fn refuse_unsent(peer: SocketAddr, reason: impl std::fmt::Display) -> CallError {
    log::warn!(event = "request_not_expressible", peer:%, reason:%; "");
    let step = "write for a peer of another build";
    Refusal::new(RefusalCode::Unavailable, step, peer.to_string(), reason).into()
}

/// Returns the error for a connection that failed during format detection. The caller's request
/// was not executed, so the error kind is [`CallErrorKind::NotSent`].
fn detection_failed(peer: SocketAddr, error: CallError) -> CallError {
    CallError {
        kind: CallErrorKind::NotSent,
        step: "find the peer's format".to_owned(),
        peer: peer.to_string(),
        message: error.to_string(),
    }
}

/// Returns the error for an answer that cannot be decoded. The peer may have executed the
/// request, so the error kind is [`CallErrorKind::Unknown`].
pub fn unreadable_answer(peer: SocketAddr, error: impl std::fmt::Display) -> CallError {
    CallError {
        kind: CallErrorKind::Unknown,
        step: "read answer".to_owned(),
        peer: peer.to_string(),
        message: error.to_string(),
    }
}

/// Returns a request without side effects that exists in every format.
fn probe_request() -> CallsRequest {
    CallsRequest::RetirementState(String::new())
}

fn is_invalid(error: &CallError) -> bool {
    matches!(&error.kind, CallErrorKind::Refused(refusal) if refusal.code == RefusalCode::Invalid)
}

fn is_refusal(error: &CallError) -> bool {
    matches!(error.kind, CallErrorKind::Refused(_))
}

fn calls_payload(peer: SocketAddr, response: Response) -> Result<(Format, Vec<u8>), CallError> {
    let Response::Calls(bytes) = response else {
        return Err(unreadable_answer(peer, "an answer of another kind"));
    };
    let format = format_of(&bytes).map_err(|error| unreadable_answer(peer, error))?;
    Ok((format, bytes))
}
