//! HTTP/1 responses, decoded from bytes that arrive in any pieces.

use bytes::BytesMut;
use http::{Method, StatusCode};
use pinerill_forward::exchange::response::{BodyPart, MalformedResponse, ResponseDecoder};
use proptest::prelude::*;

const MAX_HEAD_BYTES: usize = 1 << 10;

/// A decoded response: its status, its body, and whether the connection stays open.
type Decoded = Result<(StatusCode, Vec<u8>, bool), MalformedResponse>;

/// Decodes one response from bytes that arrive in these pieces, after which the connection ends.
/// Returns the bytes that follow the response too.
fn decode_pieces(method: &Method, pieces: &[&[u8]]) -> (Decoded, Vec<u8>) {
    let mut decoder = ResponseDecoder::new(MAX_HEAD_BYTES);
    let mut received = BytesMut::new();
    let decoded = decode(&mut decoder, method, pieces, &mut received);
    (decoded, received.to_vec())
}

fn decode(
    decoder: &mut ResponseDecoder,
    method: &Method,
    pieces: &[&[u8]],
    received: &mut BytesMut,
) -> Decoded {
    let mut pieces = pieces.iter();
    let head = loop {
        if let Some(head) = decoder.next_head(method, received)? {
            break head;
        }
        match pieces.next() {
            Some(piece) => received.extend_from_slice(piece),
            None => return Err(MalformedResponse::Truncated),
        }
    };
    let mut body = Vec::new();
    loop {
        let part = match decoder.next_part(received)? {
            Some(part) => part,
            None => match pieces.next() {
                Some(piece) => {
                    received.extend_from_slice(piece);
                    continue;
                }
                None => decoder.end_of_input()?,
            },
        };
        match part {
            BodyPart::Data(data) => body.extend_from_slice(&data),
            BodyPart::End => break,
        }
    }
    for piece in pieces {
        received.extend_from_slice(piece);
    }
    Ok((head.status, body, decoder.keeps_alive()))
}

fn decode_whole(text: &str) -> Decoded {
    decode_pieces(&Method::POST, &[text.as_bytes()]).0
}

fn ok(body: &str, keeps_alive: bool) -> Decoded {
    Ok((StatusCode::OK, body.as_bytes().to_vec(), keeps_alive))
}

#[test]
fn each_framing_ends_the_body_where_the_worker_did() {
    let cases = [
        ("content-length: 4\r\n\r\nbody", "body", true),
        ("content-length: 0\r\n\r\n", "", true),
        (
            "content-length: 4\r\nconnection: x, Close\r\n\r\nbody",
            "body",
            false,
        ),
        (
            "transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            "body",
            true,
        ),
        (
            "transfer-encoding: chunked\r\n\r\n2;x=y\r\nbo\r\n2 \r\ndy\r\n0\r\nt: 1\r\n\r\n",
            "body",
            true,
        ),
        (
            "transfer-encoding: gzip, chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n",
            "b",
            true,
        ),
        (
            "content-length: 9\r\ntransfer-encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n",
            "b",
            false,
        ),
        ("\r\nbody to the end", "body to the end", false),
    ];
    for (rest, body, keeps_alive) in cases {
        let decoded = decode_whole(&format!("HTTP/1.1 200 OK\r\n{rest}"));
        assert_eq!(decoded, ok(body, keeps_alive), "{rest:?}");
    }
    let old = "HTTP/1.0 200 OK\r\ncontent-length: 1\r\n";
    assert_eq!(decode_whole(&format!("{old}\r\nb")), ok("b", false));
    let kept = format!("{old}connection: keep-alive\r\n\r\nb");
    assert_eq!(decode_whole(&kept), ok("b", true));
}

#[test]
fn a_response_without_a_body_leaves_what_follows() {
    let next = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    for status in ["204 No Content", "304 Not Modified"] {
        let head = format!("HTTP/1.1 {status}\r\ncontent-length: 9\r\n\r\n");
        let (decoded, rest) = decode_pieces(&Method::GET, &[head.as_bytes(), next]);
        assert!(decoded.is_ok_and(|(_, body, keeps_alive)| body.is_empty() && keeps_alive));
        assert_eq!(rest, next);
    }
    let head = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n";
    let (decoded, rest) = decode_pieces(&Method::HEAD, &[head, next]);
    assert_eq!(decoded, ok("", true));
    assert_eq!(rest, next);
}

#[test]
fn interim_responses_are_skipped_and_upgrades_refused() {
    let whole = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb";
    assert_eq!(decode_whole(whole), ok("b", true));
    let upgrade = decode_whole("HTTP/1.1 101 Switching Protocols\r\n\r\n");
    assert!(matches!(upgrade, Err(MalformedResponse::Head(_))));
}

#[test]
fn a_response_that_ends_early_is_never_complete() {
    for cut in [
        "HTTP/1.1 200 OK\r\ncontent-le",
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbod",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbo",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nbo\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nbo\r\n0\r\n",
    ] {
        assert_eq!(
            decode_whole(cut),
            Err(MalformedResponse::Truncated),
            "{cut:?}"
        );
    }
}

/// A head that is cut before its framing, but closed by an empty line, states no length.
#[test]
fn a_success_without_a_length_or_a_body_is_cut_off() {
    for cut in [
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nid: a\r\nstamp: s\r\n\r\n",
        "HTTP/1.0 200 OK\r\nid: a\r\n\r\n",
    ] {
        let decoded = decode_whole(cut);
        assert_eq!(decoded, Err(MalformedResponse::Truncated), "{cut:?}");
    }
    for whole in ["HTTP/1.1 503 Full\r\n\r\n", "HTTP/1.1 500 Oops\r\n\r\n"] {
        let (_, body, keeps_alive) = decode_whole(whole).expect("a failure needs no body");
        assert!(body.is_empty() && !keeps_alive);
    }
}

#[test]
fn a_transfer_coding_that_does_not_end_in_chunks_is_an_error() {
    for coding in ["chun", "gzip", "chunked, gzip", ""] {
        let response = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: {coding}\r\n\r\nbody");
        let decoded = decode_whole(&response);
        let is_length = matches!(decoded, Err(MalformedResponse::Length(_)));
        assert!(is_length, "{coding:?}: {decoded:?}");
    }
}

/// What still passes: a length cut short cannot be told from one with surplus bytes behind it.
#[test]
fn a_length_cut_short_ends_the_body_there_and_leaves_the_rest() {
    let cut = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody and its rest";
    let (decoded, rest) = decode_pieces(&Method::POST, &[cut]);
    assert_eq!(decoded, ok("body", true));
    assert_eq!(rest, b" and its rest");
}

#[test]
fn bytes_that_are_no_response_are_an_error() {
    for nonsense in [
        "this is no answer\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: four\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\ncontent-length: +4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nbody",
        "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nxyz\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nbody\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\nbo\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
    ] {
        let decoded = decode_whole(nonsense);
        assert!(
            matches!(decoded, Err(ref error) if *error != MalformedResponse::Truncated),
            "{nonsense:?}: {decoded:?}"
        );
    }
}

#[test]
fn what_a_worker_may_send_before_a_body_is_bounded() {
    let long = "x".repeat(MAX_HEAD_BYTES);
    let head = decode_whole(&format!("HTTP/1.1 200 OK\r\nname: {long}"));
    assert_eq!(head, Err(MalformedResponse::TooLong("the head")));
    let interim = "HTTP/1.1 100 Continue\r\n\r\n";
    let whole = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(decode_whole(&(interim.repeat(64) + whole)), ok("", true));
    assert_eq!(
        decode_whole(&(interim.repeat(65) + whole)),
        Err(MalformedResponse::TooLong(
            "the series of interim responses"
        ))
    );
    let line = "1".repeat(5_000);
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let size = decode_whole(&format!("{chunked}1;{line}"));
    assert_eq!(size, Err(MalformedResponse::TooLong("a line of the body")));
    let trailers = "t: 1\r\n".repeat(200);
    let trailer = decode_whole(&format!("{chunked}0\r\n{trailers}\r\n"));
    assert_eq!(trailer, Err(MalformedResponse::TooLong("the trailer")));
}

/// Writes a response with this body, in chunks where lengths are given.
fn encoded(body: &[u8], chunks: Option<&[usize]>) -> Vec<u8> {
    let Some(chunks) = chunks else {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        return [head.as_bytes(), body].concat();
    };
    let mut bytes = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    let mut rest = body;
    let lengths = chunks.iter().copied().chain([usize::MAX]);
    for length in lengths {
        let (chunk, left) = rest.split_at(length.min(rest.len()));
        rest = left;
        if !chunk.is_empty() {
            bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

proptest! {
    #[test]
    fn a_body_does_not_depend_on_the_pieces_in_which_it_arrives(
        body in proptest::collection::vec(any::<u8>(), 0..300),
        chunks in proptest::option::of(proptest::collection::vec(1_usize..40, 0..12)),
        cuts in proptest::collection::vec(1_usize..60, 0..40),
        following in proptest::collection::vec(any::<u8>(), 0..20),
    ) {
        let whole = [encoded(&body, chunks.as_deref()), following.clone()].concat();
        let mut pieces = Vec::new();
        let mut rest = &whole[..];
        for cut in cuts.into_iter().chain([usize::MAX]) {
            let (piece, left) = rest.split_at(cut.min(rest.len()));
            pieces.push(piece);
            rest = left;
        }
        let (decoded, left) = decode_pieces(&Method::POST, &pieces);
        prop_assert_eq!(decoded, Ok((StatusCode::OK, body, true)));
        prop_assert_eq!(left, following);
    }

    #[test]
    fn no_bytes_make_the_decoder_panic(
        head in proptest::option::of(Just(&b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"[..])),
        bytes in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let _ = decode_pieces(&Method::POST, &[head.unwrap_or_default(), &bytes]);
    }
}
