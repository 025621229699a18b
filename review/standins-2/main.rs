//! Stand-ins of the second review's scripts. `standins-2 CASE RECORD` plays one case, from the
//! root of the repository, and writes its record.
//!
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.

mod jobs_at_once;
mod service_taken_away;
mod stopped_while_waiting;
mod support;

use std::io;
use std::panic::catch_unwind;
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use support::{end_all_processes, Record, Verdict};

const COULD_NOT_RUN: u8 = 2;
/// A run that takes longer is ended.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = arguments.as_slice() else {
        eprintln!("usage: standins-2 CASE RECORD");
        return ExitCode::from(COULD_NOT_RUN);
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case took longer than {TIME_LIMIT:?}");
        end_all_processes();
        std::process::exit(COULD_NOT_RUN.into());
    });
    match catch_unwind(|| play(case, Path::new(record))) {
        Ok(Ok(verdict)) => ExitCode::from(verdict as u8),
        Ok(Err(error)) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(COULD_NOT_RUN)
        }
        Err(_) => {
            end_all_processes();
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}

fn play(case: &str, path: &Path) -> io::Result<Verdict> {
    let record = Record::create(path)?;
    match case {
        "jobs-at-once" => jobs_at_once::run(&record),
        "service-taken-away" => service_taken_away::run(&record),
        "stopped-while-waiting" => stopped_while_waiting::run(&record),
        _ => Err(io::Error::other(format!("no case {case}"))),
    }
}
