//! Events of a worker's answer, however they are cut into pieces.

use pinerill_forward::exchange::{EventOrderError, EventScanner, EventText};
use proptest::prelude::*;

fn series(from: u64, to: u64) -> Vec<u8> {
    let events = (from..=to).map(|number| format!("id: {number}\ndata: text {number}\n\n"));
    events.collect::<String>().into_bytes()
}

#[test]
fn only_whole_events_are_handed_on() {
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
fn a_missing_or_doubled_event_ends_the_series() {
    for second in [1, 3] {
        let mut scanner = EventScanner::default();
        scanner.push(&series(1, 1)).expect("in order");
        let expected = EventOrderError::OutOfOrder {
            last: 1,
            found: second,
        };
        assert_eq!(scanner.push(&series(second, second)), Err(expected));
        assert_eq!(scanner.last(), Some(1), "what was handed on counts");
    }
}

#[test]
fn a_series_goes_on_behind_the_last_event_only() {
    let mut right = EventScanner::after(Some(4));
    assert!(right.push(&series(5, 6)).is_ok());
    let mut again = EventScanner::after(Some(4));
    assert!(again.push(&series(4, 5)).is_err());
}

#[test]
fn events_without_a_number_pass() {
    let mut scanner = EventScanner::after(Some(1));
    let batch = scanner.push(b": comment\n\ndata: x\n\n").expect("passes");
    assert_eq!(batch.count, 2);
    assert_eq!(scanner.last(), Some(1));
}

#[test]
fn an_endless_event_is_refused() {
    let mut scanner = EventScanner::default();
    let piece = vec![b'x'; 700 << 10];
    assert!(scanner.push(&piece).is_ok());
    assert_eq!(scanner.push(&piece), Err(EventOrderError::TooLong));
}

#[test]
fn a_text_joins_the_data_of_all_events() {
    let mut text = EventText::default();
    text.append(b"id: 1\ndata:\n\nid: 2\ndata: b c\n\n");
    text.append(b"x-version: 3\nid: 3\ndata:d\n\n");
    assert_eq!(text.into_bytes(), b"\nb c\nd");
}

proptest! {
    #[test]
    fn pieces_make_no_difference(
        count in 1u64..30,
        cuts in proptest::collection::vec(1usize..40, 1..40),
    ) {
        let whole = series(1, count);
        let mut scanner = EventScanner::default();
        let mut handed_on = Vec::new();
        let mut rest = &whole[..];
        let mut cuts = cuts.iter().cycle();
        while !rest.is_empty() {
            let length = rest.len().min(*cuts.next().expect("endless"));
            let (piece, left) = rest.split_at(length);
            rest = left;
            handed_on.extend_from_slice(&scanner.push(piece).expect("in order").bytes);
        }
        prop_assert_eq!(handed_on, whole);
        prop_assert_eq!(scanner.last(), Some(count));
    }
}
