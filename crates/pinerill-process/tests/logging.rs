//! Guards the rate limit of log lines and the parsing of written lines.

use pinerill_process::logging::{Admission, Line, LineBudget};

const WRITTEN: Admission = Admission::Write { left_out: 0 };

#[test]
fn lines_beyond_a_burst_are_suppressed_and_counted() {
    let mut budget = LineBudget::default();
    let admitted = (0..1_000).map(|_| budget.admit("call", false, 0));
    let written = admitted.filter(|one| *one != Admission::LeaveOut).count();
    assert_eq!(written, 40);
    assert_eq!(
        budget.admit("call", false, 100),
        Admission::Write { left_out: 960 }
    );
    assert_eq!(budget.admit("call", false, 100), Admission::LeaveOut);
}

#[test]
fn each_kind_has_its_own_budget() {
    let mut budget = LineBudget::default();
    for _ in 0..1_000 {
        budget.admit("call", false, 0);
    }
    assert_eq!(budget.admit("leader", false, 0), WRITTEN);
}

#[test]
fn warnings_and_errors_have_a_higher_limit() {
    let count = |serious: bool| {
        let mut budget = LineBudget::default();
        let seconds = (0..60_000).step_by(10);
        let admitted = seconds.map(|now| budget.admit("x", serious, now));
        admitted.filter(|one| *one != Admission::LeaveOut).count()
    };
    assert_eq!(count(false), 639);
    assert_eq!(count(true), 3_199);
}

#[test]
fn a_line_is_parsed_with_its_values_unescaped() {
    let text = r#"2026-12-02T11:00:00.5+00:00 INFO a::b event=call id=7 why="no \"room\" = \\ at\nall" last="""#;
    let line = Line::parse(text).expect("a line");
    assert_eq!(line.event(), Some("call"));
    assert_eq!(line.field("id"), Some("7"));
    assert_eq!(line.field("why"), Some("no \"room\" = \\ at\nall"));
    assert_eq!(line.field("last"), Some(""));
    assert_eq!(line.target, "a::b");
}

#[test]
fn other_text_is_not_parsed_as_a_line() {
    for text in ["", "hello", "thread 'x' panicked at y", "a b c d=e"] {
        assert_eq!(Line::parse(text), None);
    }
}
