//! Guards the reconstruction of a request's history from the logs of several processes.

use pinerill_process::logging::{Explanation, SourcedLine};

const NODE: &str = r#"
2026-12-02T11:00:00.1+00:00 INFO n event=started node=n1
2026-12-02T11:00:00.2+00:00 INFO n event=table_in_force version=3
2026-12-02T11:00:00.3+00:00 INFO n event=table_in_force version=4
2026-12-02T11:00:01.0+00:00 INFO n event=call_answered id=other attempts="0 ms w1 (occupied 1.0)"
2026-12-02T11:00:02.0+00:00 INFO n event=attempt_broke id=abc worker=w2 reason="silent for too long"
2026-12-02T11:00:02.1+00:00 INFO n event=directory_taken source=control workers=3
2026-12-02T11:00:02.5+00:00 INFO n event=call_refused id=abc attempts="0 ms w2 (far) > silent" reason="no answer in time"
2026-12-02T11:00:03.0+00:00 INFO n event=table_in_force version=5
not a line of the log
"#;
const CONTROL: &str = r#"
2026-12-02T11:00:00.4+00:00 INFO c event=role_changed term=7
2026-12-02T11:00:02.2+00:00 INFO c event=role_changed term=8
"#;

fn lines() -> Vec<SourcedLine> {
    let node = NODE
        .lines()
        .filter_map(|text| SourcedLine::parse("node", text));
    let control = CONTROL
        .lines()
        .filter_map(|text| SourcedLine::parse("control", text));
    control.chain(node).collect()
}

#[test]
fn the_state_in_force_precedes_the_lines_of_the_request() {
    let explained = Explanation::for_id("abc", lines()).expect("a line mentions the id");
    let events: Vec<(&str, Option<&str>)> = explained
        .lines
        .iter()
        .map(|one| (one.line.event().expect("event"), one.line.field("version")))
        .collect();
    let expected = [
        ("started", None),
        ("table_in_force", Some("4")),
        ("attempt_broke", None),
        ("directory_taken", None),
        ("call_refused", None),
    ];
    assert_eq!(events, expected);
}

#[test]
fn the_verdict_states_outcome_and_reason() {
    let explained = Explanation::for_id("abc", lines()).expect("a line mentions the id");
    assert_eq!(
        explained.verdict,
        "abc: call_refused at node; reason no answer in time; attempts 0 ms w2 (far) > silent"
    );
}

#[test]
fn a_prefix_of_an_id_does_not_match() {
    assert_eq!(Explanation::for_id("ab", lines()), None);
    assert!(
        Explanation::for_id("w2", lines()).is_some(),
        "a worker's id can be explained too"
    );
}

#[test]
fn the_prefix_of_a_log_collector_names_the_process() {
    let text = "  -1.5 front-1 2026-12-02T11:00:00.1+00:00 INFO n event=started node=n1";
    let parsed = SourcedLine::parse("all.log", text).expect("a line");
    assert_eq!(parsed.source, "front-1");
    assert_eq!(parsed.line.event(), Some("started"));
}
