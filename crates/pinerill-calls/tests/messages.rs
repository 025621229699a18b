//! Encoding, compression and packing of messages, and parsing of the forwarding settings.

use pinerill_calls::compression::{compress, decompress};
use pinerill_calls::job::{CallJobId, ItemRef};
use pinerill_calls::message::{
    decode, encode, CallsRequest, LeaseRequest, MessageError, ServiceCapacity,
};
use pinerill_calls::packed::Packed;
use pinerill_calls::settings::{ForwardingSettings, SettingsError, EXAMPLE};
use proptest::prelude::*;

fn request() -> CallsRequest {
    CallsRequest::LeaseItems(LeaseRequest {
        node: "n".to_owned(),
        zone: "z".to_owned(),
        held: vec![ItemRef {
            job: CallJobId::new(None, "j"),
            index: 3,
        }],
        want: 2,
        run_ms: 900,
        wait_ms: 500,
        services: Some(vec![ServiceCapacity {
            service: "svc".to_owned(),
            items: 2,
        }]),
        returned: vec![ItemRef {
            job: CallJobId::new(None, "j"),
            index: 4,
        }],
        number: 7,
    })
}

#[test]
fn a_message_round_trips() {
    let decoded: Result<CallsRequest, MessageError> = decode(&encode(&request()));
    assert_eq!(decoded, Ok(request()));
}

#[test]
fn an_unsupported_format_is_rejected_with_its_byte() {
    let mut bytes = encode(&request());
    bytes[0] = 11;
    let decoded: Result<CallsRequest, MessageError> = decode(&bytes);
    assert_eq!(decoded, Err(MessageError::Format(Some(11))));
    let empty: Result<CallsRequest, MessageError> = decode(&[]);
    assert_eq!(empty, Err(MessageError::Format(None)));
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_cause_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode::<CallsRequest>(&bytes);
        let _ = decompress(&bytes);
    }

    #[test]
    fn compressed_bytes_round_trip(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        prop_assert_eq!(decompress(&compress(&bytes)).ok(), Some(bytes));
    }
}

#[test]
fn the_example_settings_are_valid() {
    let settings = ForwardingSettings::read(EXAMPLE).expect("the example is sound");
    assert_eq!(
        settings.control.map(|control| control.min_voters()),
        Some(3)
    );
    assert!(settings.node.is_some());
}

#[test]
fn the_seed_port_setting_overrides_the_ports_of_the_seeds() {
    let text = EXAMPLE.replace("stop_s", "seed_port = 99\nstop_s");
    let node = ForwardingSettings::read(&text).expect("sound").node;
    let seeds = node.expect("the example has a node").seed_addresses();
    assert!(seeds.iter().all(|seed| seed.port() == 99));
}

#[test]
fn the_advertised_address_defaults_to_the_listen_address() {
    let advertised = |text: &str| {
        let control = ForwardingSettings::read(text).expect("sound").control;
        let control = control.expect("the example has a control machine");
        control.advertised_address().to_string()
    };
    assert_eq!(advertised(EXAMPLE), "10.0.0.1:7720");
    let text = EXAMPLE.replace(
        "found = false",
        "advertise = \"10.0.0.8:99\"\nfound = false",
    );
    assert_eq!(advertised(&text), "10.0.0.8:99");
}

#[test]
fn an_invalid_value_is_reported_with_its_field() {
    let cases = [
        ("name = \"node-1\"", "name = \"\"", "node.name"),
        (
            "batch_share = 0.84",
            "batch_share = 1.5",
            "node.batch_share",
        ),
        ("stop_s = 8.0", "stop_s = 0.0", "node.stop_s"),
        (
            "poll_ms = 1000",
            "poll_ms = 0",
            "control.worker_list.poll_ms",
        ),
        ("window_s = 5.0", "window_s = 0.5", "control.quota.window_s"),
        ("overage = 0.1", "overage = -0.1", "control.quota.overage"),
        ("slack = 0.0", "slack = nan", "control.quota.slack"),
        ("10.0.0.1:7721", "10.0.0.1:7720", "control.listen"),
    ];
    for (right, wrong, expected) in cases {
        let text = EXAMPLE.replace(right, wrong);
        match ForwardingSettings::read(&text) {
            Err(SettingsError::Field { field, .. }) => assert_eq!(field, expected),
            other => panic!("{wrong}: {other:?}"),
        }
    }
}

#[test]
fn an_unknown_field_is_rejected() {
    let text = EXAMPLE.replace("found = false", "fuond = false");
    let read = ForwardingSettings::read(&text);
    assert!(matches!(read, Err(SettingsError::Malformed(message)) if message.contains("fuond")));
}

#[test]
fn a_packed_value_round_trips_and_other_bytes_are_rejected() {
    let names: Vec<String> = (0..200).map(|number| format!("worker-{number}")).collect();
    let packed = Packed::new(&names);
    assert!(packed.size() < encode(&names).len() / 2);
    assert_eq!(packed.unpack(), Ok(names));
    let spoilt: Packed<Vec<String>> = decode(&encode(&vec![1_u8, 2, 3])).expect("its layout");
    assert!(spoilt.unpack().is_err());
    let other: Packed<(u64, u64, String)> =
        decode(&encode(&Packed::new(&vec![1_u8]))).expect("its layout");
    assert!(other.unpack().is_err());
}
