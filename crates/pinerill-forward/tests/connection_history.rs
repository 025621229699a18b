//! Which request a response on a connection belongs to.

use pinerill_forward::exchange::history::{ConnectionHistory, Origin, ResponseIdentity};

fn named(id: &str) -> ResponseIdentity<'_> {
    ResponseIdentity {
        request: Some(id),
        is_stamped: true,
        is_health_answer: false,
        is_refusal: false,
    }
}

const HEALTH: ResponseIdentity<'_> = ResponseIdentity {
    request: None,
    is_stamped: false,
    is_health_answer: true,
    is_refusal: false,
};

const STAMPED_WITHOUT_ID: ResponseIdentity<'_> = ResponseIdentity {
    request: None,
    is_stamped: true,
    is_health_answer: false,
    is_refusal: false,
};

/// A refusal of a request whose id the worker could not read.
const REFUSAL_WITHOUT_ID: ResponseIdentity<'_> = ResponseIdentity {
    request: None,
    is_stamped: false,
    is_health_answer: false,
    is_refusal: true,
};

/// Bytes that no worker has marked as a response.
const UNMARKED: ResponseIdentity<'_> = ResponseIdentity {
    request: None,
    is_stamped: false,
    is_health_answer: false,
    is_refusal: false,
};

/// A connection that has carried these requests, each with a response; `None` is a health check.
fn carried(requests: &[Option<&str>]) -> ConnectionHistory {
    let mut history = ConnectionHistory::default();
    for request in requests {
        history.begin(*request);
        let response = request.map_or(HEALTH, named);
        assert_eq!(history.receive(response), Origin::Current);
    }
    history
}

#[test]
fn a_second_attempt_never_uses_the_connection_of_the_first() {
    let history = carried(&[Some("a"), Some("b")]);
    assert!(!history.may_carry(Some("a")));
    assert!(!history.may_carry(Some("b")));
    assert!(history.may_carry(Some("c")));
    assert!(history.may_carry(None));
}

#[test]
fn a_repetition_belongs_to_the_earlier_request_and_ends_the_reuse() {
    let mut history = carried(&[Some("a")]);
    history.begin(Some("b"));
    assert_eq!(history.receive(named("a")), Origin::Earlier);
    assert_eq!(history.receive(named("b")), Origin::Current);
    assert!(!history.is_usable());
    assert!(!history.may_carry(Some("c")));
}

#[test]
fn a_response_with_an_id_that_was_never_sent_belongs_to_no_request() {
    let mut history = carried(&[Some("a")]);
    history.begin(Some("b"));
    assert_eq!(history.receive(named("other")), Origin::Unknown);
    assert!(!history.is_usable());
}

#[test]
fn a_health_check_takes_no_repetition_for_its_own_answer() {
    let mut history = carried(&[Some("a")]);
    history.begin(None);
    assert_eq!(history.receive(named("a")), Origin::Earlier);
    assert_eq!(history.receive(HEALTH), Origin::Current);
    assert!(!history.is_usable());
    let history = carried(&[None]);
    assert!(!history.may_carry(None), "its answer may be repeated");
    assert!(history.may_carry(Some("a")));
}

#[test]
fn a_repeated_health_answer_is_not_the_answer_to_a_request() {
    let mut history = carried(&[Some("a"), None]);
    history.begin(Some("b"));
    assert_eq!(history.receive(HEALTH), Origin::Earlier);
    assert_eq!(history.receive(named("b")), Origin::Current);
    assert!(!history.is_usable());
}

#[test]
fn an_answer_without_an_id_counts_where_its_place_or_its_stamp_is_certain() {
    for response in [REFUSAL_WITHOUT_ID, STAMPED_WITHOUT_ID] {
        let mut fresh = ConnectionHistory::default();
        fresh.begin(Some("a"));
        assert_eq!(fresh.receive(response), Origin::Current);
        assert!(!fresh.is_usable(), "a repetition could not be told apart");
    }
    for earlier in [Some("b"), None] {
        let mut used = carried(&[earlier]);
        used.begin(Some("a"));
        assert_eq!(used.receive(STAMPED_WITHOUT_ID), Origin::Current);
        assert!(!used.is_usable());
    }
}

#[test]
fn unmarked_bytes_belong_to_no_request_on_a_new_connection_either() {
    let mut fresh = ConnectionHistory::default();
    fresh.begin(Some("a"));
    assert_eq!(fresh.receive(UNMARKED), Origin::Unknown);
    assert!(!fresh.is_usable());
}

#[test]
fn unmarked_bytes_behind_an_earlier_answer_belong_to_no_request() {
    for response in [UNMARKED, REFUSAL_WITHOUT_ID] {
        for earlier in [Some("b"), None] {
            let mut used = carried(&[earlier]);
            used.begin(Some("a"));
            assert_eq!(used.receive(response), Origin::Unknown);
            assert!(!used.is_usable());
        }
    }
}

#[test]
fn a_connection_keeps_a_bounded_number_of_ids() {
    let mut history = ConnectionHistory::default();
    while history.is_usable() {
        let id = history.carried().to_string();
        history.begin(Some(&id));
        assert_eq!(history.receive(named(&id)), Origin::Current);
    }
    assert_eq!(history.carried(), 256);
}
