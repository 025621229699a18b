//! Negotiation of the message format with peers of other builds.

use std::net::SocketAddr;
use std::sync::Mutex;

use pinerill_calls::encoding::{format_of, Format};
use pinerill_calls::formats::{decode_request, encode_response};
use pinerill_calls::message::{CallsRequest, CallsResponse, RetirementState};
use pinerill_calls::session::PeerFormats;
use pinerill_wire::api::{CallError, CallErrorKind};
use pinerill_wire::message::{Refusal, RefusalCode, Request, Response};

/// A peer that supports a single format, or none that this build knows.
struct Peer {
    supported: Option<Format>,
    /// Number of requests that the peer answers before its connection closes.
    answers_until_lost: usize,
    asked: Mutex<Vec<Format>>,
}

fn address() -> SocketAddr {
    "127.0.0.1:7720".parse().expect("an address")
}

fn refusal(code: RefusalCode) -> CallError {
    Refusal::new(code, "read request", "peer", "a reason").into()
}

impl Peer {
    fn new(supported: Option<Format>) -> Self {
        Peer {
            supported,
            answers_until_lost: usize::MAX,
            asked: Mutex::default(),
        }
    }

    fn answer(&self, request: Request) -> Result<Response, CallError> {
        let Request::Calls(bytes) = request else {
            panic!("another request");
        };
        let format = format_of(&bytes).expect("a format");
        let mut asked = self.asked.lock().expect("not poisoned");
        asked.push(format);
        if asked.len() > self.answers_until_lost {
            return Err(CallError {
                kind: CallErrorKind::Unknown,
                step: "await answer".to_owned(),
                peer: "peer".to_owned(),
                message: "connection closed".to_owned(),
            });
        }
        if self.supported != Some(format) {
            return Err(refusal(RefusalCode::Invalid));
        }
        let (_, request) = decode_request(&bytes).expect("a request");
        let response = match request {
            CallsRequest::RetirementState(_) => CallsResponse::Retirement(RetirementState::Unknown),
            CallsRequest::StartRetirement(_) => return Err(refusal(RefusalCode::Invalid)),
            _ => CallsResponse::Done,
        };
        Ok(Response::Calls(
            encode_response(response, format).expect("expressible"),
        ))
    }

    fn asked(&self) -> Vec<u8> {
        let asked = self.asked.lock().expect("not poisoned");
        asked.iter().map(|format| format.byte()).collect()
    }
}

async fn ask(
    formats: &PeerFormats,
    peer: &Peer,
    request: CallsRequest,
) -> Result<(u8, CallsResponse), CallError> {
    let send = |request| std::future::ready(peer.answer(request));
    let answered = formats.ask(address(), &request, send).await?;
    Ok((answered.format.byte(), answered.response))
}

fn end_job() -> CallsRequest {
    CallsRequest::EndJob(pinerill_calls::job::CallJobId::new(None, "job"))
}

#[tokio::test]
async fn the_format_of_a_peer_is_detected_and_remembered() {
    for format in Format::newest_first() {
        let (formats, peer) = (PeerFormats::default(), Peer::new(Some(format)));
        for _ in 0..2 {
            let answered = ask(&formats, &peer, end_job()).await;
            assert_eq!(answered, Ok((format.byte(), CallsResponse::Done)));
        }
        let asked = peer.asked();
        let again = asked.last().copied();
        assert_eq!(again, Some(format.byte()), "{asked:?}");
        if format == Format::NEWEST {
            assert_eq!(
                asked.len(),
                2,
                "no extra request is sent between equal builds"
            );
        }
    }
}

#[tokio::test]
async fn the_refusal_of_an_invalid_request_is_returned_unchanged() {
    let (formats, peer) = (PeerFormats::default(), Peer::new(Some(Format::NEWEST)));
    let request = CallsRequest::StartRetirement("m".to_owned());
    let refused = ask(&formats, &peer, request).await;
    assert_eq!(refused, Err(refusal(RefusalCode::Invalid)));
}

#[tokio::test]
async fn a_peer_without_a_common_format_causes_a_retryable_refusal() {
    let (formats, peer) = (PeerFormats::default(), Peer::new(None));
    let error = ask(&formats, &peer, end_job()).await.expect_err("refused");
    let CallErrorKind::Refused(refusal) = error.kind else {
        panic!("{error:?}");
    };
    assert_eq!(refusal.code, RefusalCode::Unavailable);
}

#[tokio::test]
async fn a_connection_lost_during_format_detection_is_reported_as_not_sent() {
    for answers_until_lost in 1..5 {
        let peer = Peer {
            answers_until_lost,
            ..Peer::new(Some(Format::OLDEST))
        };
        let lost = ask(&PeerFormats::default(), &peer, end_job()).await;
        assert_eq!(
            lost.expect_err("lost").kind,
            CallErrorKind::NotSent,
            "{:?}",
            peer.asked()
        );
    }
}

#[tokio::test]
async fn a_request_that_the_remembered_format_lacks_is_sent_in_the_newest_format() {
    let formats = PeerFormats::default();
    let older = Peer::new(Some(Format::OLDEST));
    ask(&formats, &older, end_job()).await.expect("an answer");
    let order = CallsRequest::EvacuateZone("za".to_owned());
    let refused = ask(&formats, &older, order.clone()).await;
    assert!(refused.is_err(), "{refused:?}");
    let newer = Peer::new(Some(Format::NEWEST));
    let kept = ask(&formats, &newer, order).await;
    assert_eq!(kept, Ok((Format::NEWEST.byte(), CallsResponse::Done)));
}
