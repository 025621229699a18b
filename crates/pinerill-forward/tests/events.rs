//! Scanning of a worker's event stream: incomplete events, event order, size limit and arbitrary
//! chunk boundaries.

use pinerill_forward::exchange::{BreakReason, EventOrderError, EventScanner, EventText};
use proptest::prelude::*;

fn series(from: u64, to: u64) -> Vec<u8> {
    let events = (from..=to).map(|number| format!("id: {number}\ndata: text {number}\n\n"));
    events.collect::<String>().into_bytes()
}

#[test]
fn only_complete_events_are_returned() {
    let mut scanner = EventScanner::default();
    let batch = scanner
        .push(b"id: 1\ndata: a\n\nid: 2\nda")
        .expect("in order");
    assert_eq!(&batch.bytes[..], b"id: 1\ndata: a\n\n");
    assert_eq!(scanner.last(), Some(1));
    assert!(scanner.has_partial_event());
    let batch = scanner.push(b"ta: b\n\n").expect("in order");
    assert_eq!(&batch.bytes[..], b"id: 2\ndata: b\n\n");
    assert!(!scanner.has_partial_event());
}

#[test]
fn missing_and_duplicate_events_are_rejected() {
    for second in [1, 3] {
        let mut scanner = EventScanner::default();
        scanner.push(&series(1, 1)).expect("in order");
        let expected = EventOrderError::OutOfOrder {
            last: 1,
            found: second,
        };
        assert_eq!(scanner.push(&series(second, second)), Err(expected));
        assert_eq!(scanner.last(), Some(1), "only returned events count");
    }
}

#[test]
fn a_resumed_stream_must_continue_after_the_last_event() {
    let mut right = EventScanner::after(Some(4));
    assert!(right.push(&series(5, 6)).is_ok());
    let mut again = EventScanner::after(Some(4));
    assert!(again.push(&series(4, 5)).is_err());
}

#[test]
fn events_without_an_id_are_accepted() {
    let mut scanner = EventScanner::after(Some(1));
    let batch = scanner.push(b": comment\n\ndata: x\n\n").expect("passes");
    assert_eq!(batch.count, 2);
    assert_eq!(scanner.last(), Some(1));
}

/// A stream that a worker framed as empty must not end as if all events had come.
#[test]
fn a_stream_without_events_is_whole_only_behind_the_last_event() {
    let fresh = EventScanner::default();
    assert_eq!(fresh.check_end(), Err(BreakReason::NoEvents));
    let mut begun = EventScanner::default();
    begun.push(&series(1, 1)).expect("in order");
    assert_eq!(begun.check_end(), Ok(()));
    begun.push(b"id: 2\nda").expect("in order");
    assert_eq!(begun.check_end(), Err(BreakReason::Truncated));
    let resumed = EventScanner::after(Some(4));
    assert_eq!(resumed.check_end(), Ok(()));
}

#[test]
fn events_over_the_size_limit_are_rejected() {
    let mut scanner = EventScanner::default();
    let piece = vec![b'x'; 700 << 10];
    assert!(scanner.push(&piece).is_ok());
    assert_eq!(scanner.push(&piece), Err(EventOrderError::TooLong));
}

/// Empty lines and comments without end must not pass as a stream that goes on.
#[test]
fn bytes_without_events_are_bounded() {
    for unit in ["\n\n", ": x\n\n"] {
        let mut scanner = EventScanner::default();
        let few = unit.repeat((32 << 10) / unit.len());
        assert!(scanner.push(few.as_bytes()).is_ok());
        assert_eq!(scanner.check_end(), Err(BreakReason::NoEvents));
        assert!(scanner.push(&series(1, 1)).is_ok());
        assert!(
            scanner.push(few.as_bytes()).is_ok(),
            "counted from the event"
        );
        let many = unit.repeat((40 << 10) / unit.len());
        let pushed = scanner.push(many.as_bytes());
        assert_eq!(pushed, Err(EventOrderError::Empty));
    }
}

#[test]
fn event_text_joins_the_data_of_all_events() {
    let mut text = EventText::default();
    text.append(b"id: 1\ndata:\n\nid: 2\ndata: b c\n\n");
    text.append(b"x-version: 3\nid: 3\ndata:d\n\n");
    assert_eq!(text.into_bytes(), b"\nb c\nd");
}

proptest! {
    #[test]
    fn the_result_does_not_depend_on_chunk_boundaries(
        count in 1u64..30,
        cuts in proptest::collection::vec(1usize..40, 1..40),
    ) {
        let whole = series(1, count);
        let mut scanner = EventScanner::default();
        let mut returned = Vec::new();
        let mut rest = &whole[..];
        let mut cuts = cuts.iter().cycle();
        while !rest.is_empty() {
            let length = rest.len().min(*cuts.next().expect("endless"));
            let (piece, left) = rest.split_at(length);
            rest = left;
            returned.extend_from_slice(&scanner.push(piece).expect("in order").bytes);
        }
        prop_assert_eq!(returned, whole);
        prop_assert_eq!(scanner.last(), Some(count));
    }
}
