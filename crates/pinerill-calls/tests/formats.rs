//! Conversion of messages to and from older formats, verified against golden files that builds of
//! each format have written.

#[path = "support/golden.rs"]
mod golden;

use pinerill_calls::compression::{compress, decompress};
use pinerill_calls::directory::{Directory, DirectoryChange, WorkerId};
use pinerill_calls::encoding::{format_of, Format};
use pinerill_calls::formats::{
    convert_call, decode_request, decode_response, directory_position, encode_positioned_watch,
    encode_request, encode_response,
};
use pinerill_calls::job::{CallJobId, ItemCall, ItemRef};
use pinerill_calls::message::{
    decode_any, encode, CallsRequest, CallsResponse, LeaseRequest, MessageError, ServiceCapacity,
    SlowStartRequest,
};

/// Whether the request contains a directory position, which only the leader that assigned it can
/// interpret, so that encoding it again does not give the same bytes.
fn has_directory_position(format: u8, request: &CallsRequest) -> bool {
    format == 4 && matches!(request, CallsRequest::Watch(_))
}

#[test]
fn requests_round_trip_in_every_format() {
    for golden in golden::all() {
        for bytes in golden.entries("request") {
            let (format, request) = decode_request(bytes).expect("a request");
            assert_eq!(format.byte(), golden.format);
            if has_directory_position(golden.format, &request) {
                continue;
            }
            let written = encode_request(request.clone(), format).expect("expressible");
            assert_eq!(written, bytes, "format {format}: {request:?}");
        }
    }
}

#[test]
fn responses_round_trip_in_every_format() {
    for golden in golden::all() {
        let format = Format::from_byte(golden.format).expect("a format");
        for bytes in golden.entries("response") {
            let response = decode_response(bytes).expect("a response");
            let is_watch = matches!(response, CallsResponse::Watch(_));
            if is_watch && golden.format == 4 {
                continue;
            }
            let written = encode_response(response.clone(), format).expect("expressible");
            assert_eq!(written, bytes, "format {format}: {response:?}");
        }
    }
}

#[test]
fn a_watch_of_format_4_returns_the_position_that_the_leader_sent() {
    let golden = &golden::all()[0];
    let answer = golden.entries("response").next().expect("an answer");
    let position = directory_position(answer);
    assert!(position.is_some());
    let asked = golden.entries("request").next().expect("a watch");
    let (_, request) = decode_request(asked).expect("a watch");
    let CallsRequest::Watch(watch) = request else {
        panic!("{request:?}");
    };
    let written = encode_positioned_watch(watch, position);
    let (_, again) = decode_request(&written).expect("a watch");
    let CallsRequest::Watch(again) = again else {
        panic!("{again:?}");
    };
    assert_eq!(again.directory.map(|digest| digest.number()), Some(9));
}

#[test]
fn directory_digests_equal_those_of_builds_of_each_format() {
    for golden in golden::all().into_iter().skip(1) {
        let format = Format::from_byte(golden.format).expect("a format");
        let answer = golden.entries("response").next().expect("an answer");
        let CallsResponse::Watch(watch) = decode_response(answer).expect("an answer") else {
            panic!("not a watch");
        };
        let update = watch.directory.expect("a directory").unpack();
        let update = update.expect("a directory");
        let DirectoryChange::Whole(workers) = update.change else {
            panic!("{update:?}");
        };
        let directory = Directory::new(workers);
        assert_eq!(
            directory.digest_in_format(format),
            update.digest,
            "format {format}"
        );
    }
}

#[test]
fn calls_of_items_are_decoded_and_converted_in_every_format() {
    for golden in golden::all() {
        let stored = golden.entries("item_call").next().expect("a call");
        let call: ItemCall = decode_any(stored).expect("a call");
        assert_eq!((call.path.as_str(), call.body.len()), ("/b/x", 3));
        for format in Format::newest_first() {
            let sent = convert_call(compress(stored), format);
            let plain = decompress(&sent).expect("a call");
            assert_eq!(format_of(&plain), Ok(format));
            assert_eq!(decode_any::<ItemCall>(&plain).as_ref(), Ok(&call));
        }
    }
}

#[test]
fn messages_that_an_older_format_lacks_are_not_expressible() {
    let permits = || {
        CallsRequest::BorrowSlowStarts(SlowStartRequest {
            node: "n".to_owned(),
            workers: Vec::new(),
        })
    };
    for format in Format::newest_first().filter(|format| format.byte() < 8) {
        assert!(
            encode_request(permits(), format).is_err(),
            "format {format}"
        );
        let lent = CallsResponse::SlowStarts(vec![WorkerId::new("w", None)]);
        assert!(encode_response(lent, format).is_err(), "format {format}");
    }
    for format in Format::newest_first().skip_while(|format| *format >= Format::WORKER_VERSIONS) {
        let versions = encode_request(CallsRequest::ReadVersions, format);
        assert!(versions.is_err(), "format {format}");
        let read = CallsResponse::Versions(Vec::new());
        assert!(encode_response(read, format).is_err(), "format {format}");
    }
    let document = encode_request(CallsRequest::ReadDocument, Format::OLDEST);
    assert!(document.is_err());
}

/// Guards against lease requests that change their meaning on the way to an older build: it gets what
/// its format has, and states nothing that it does not.
#[test]
fn a_lease_request_keeps_what_an_older_format_has() {
    let item = |index| ItemRef {
        job: CallJobId::new(None, "j"),
        index,
    };
    let newest = LeaseRequest {
        node: "n".to_owned(),
        zone: "z".to_owned(),
        held: vec![item(1)],
        want: 3,
        run_ms: 700,
        wait_ms: 500,
        services: Some(vec![ServiceCapacity {
            service: "svc".to_owned(),
            items: 3,
        }]),
        returned: vec![item(2)],
        number: 9,
    };
    for format in Format::newest_first().skip(1) {
        let request = CallsRequest::LeaseItems(newest.clone());
        let bytes = encode_request(request, format).expect("expressible");
        let zone = match format >= Format::ZONES {
            true => newest.zone.clone(),
            false => String::new(),
        };
        let expected = LeaseRequest {
            zone,
            services: None,
            returned: Vec::new(),
            number: 0,
            ..newest.clone()
        };
        let decoded = decode_request(&bytes);
        assert_eq!(decoded, Ok((format, CallsRequest::LeaseItems(expected))));
    }
}

#[test]
fn an_unsupported_format_is_reported_with_its_byte() {
    let mut bytes = encode(&CallsRequest::ReadDocument);
    for byte in [0, 3, 11, 255] {
        bytes[0] = byte;
        let error = Err(MessageError::Format(Some(byte)));
        assert_eq!(decode_request(&bytes).map(|_| ()), error);
    }
    assert_eq!(
        decode_request(&[]).map(|_| ()),
        Err(MessageError::Format(None))
    );
}

#[test]
fn truncated_messages_are_rejected() {
    for golden in golden::all() {
        for bytes in golden.entries("request") {
            for length in 0..bytes.len() {
                assert!(decode_request(&bytes[..length]).is_err());
            }
        }
        for bytes in golden.entries("response") {
            for length in 0..bytes.len() {
                assert!(decode_response(&bytes[..length]).is_err());
            }
        }
    }
}
