//! The scripts of the review: `standins CASE RECORD`, from the root of the repository. With the
//! variable TROUBLE=0 a script does the same without its disruption.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod crash_series;
mod end_overtakes;
mod support;
mod unsigned_answers;

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

use support::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Record::create(path);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!(
        "case {case}, {}",
        if trouble {
            "with the disruption"
        } else {
            "without the disruption"
        }
    ));
    let played = catch_unwind(AssertUnwindSafe(|| play(case, &record, trouble)));
    played.unwrap_or_else(|_| not_run(&record, "a stand-in failed"))
}

fn play(case: &str, record: &Record, trouble: bool) -> ExitCode {
    match case {
        "crash-series" => crash_series::run(record, trouble),
        "end-overtakes" => end_overtakes::run(record, trouble),
        "unsigned-answers" => unsigned_answers::run(record, trouble),
        _ => not_run(record, "no such case"),
    }
}

fn broken(record: &Record, what: &str) -> ExitCode {
    record.line(&format!("BROKEN: {what}"));
    ExitCode::from(1)
}

fn held(record: &Record, what: &str) -> ExitCode {
    record.line(&format!("HELD: {what}"));
    ExitCode::SUCCESS
}

fn not_run(record: &Record, why: &str) -> ExitCode {
    record.line(&format!("NOT RUN: {why}"));
    ExitCode::from(2)
}
