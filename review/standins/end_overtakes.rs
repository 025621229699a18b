//! A front node freezes while a client hands in a batch job there. The client gets no response,
//! ends the batch job at another node and gets 200. The frozen node wakes.
//! Rule UNASKED: no item may reach a worker later than `cancel_ms` after that 200.

use std::process::ExitCode;
use std::thread::sleep;
use std::time::Duration;

use crate::support::{
    call, config, job_body, job_headers, ms, read_answer, send, Fleet, Record, Size,
};
use crate::{broken, held, not_run};

const JOB: &str = "51d0c3a97be2f846";
const ITEMS: usize = 40;
/// `cancel_ms` and `contact_ms` of the small sites, in seconds.
const CANCEL_S: f64 = 3.0;
const CONTACT_S: f64 = 3.0;
/// Time for which the node stands still. The client still waits for its answer when the node wakes.
const FREEZE_S: f64 = 3.2;
/// Time without a response after which the client ends the batch job.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Time for which runs are watched.
const WATCH_S: f64 = 25.0;

pub fn run(record: &Record, trouble: bool) -> ExitCode {
    let size = Size {
        fronts: 3,
        workers: 3,
        slots: 4,
        item_events: 40,
        event_time: ms(50),
    };
    let fleet = match Fleet::start(&size, record) {
        Ok(fleet) => fleet,
        Err(error) => return not_run(record, &error),
    };
    let ready = fleet
        .put_config(&config(7, true), ms(20_000))
        .and_then(|()| fleet.wait_until_serving(ms(20_000)));
    if let Err(error) = ready {
        return not_run(record, &error);
    }
    // All machines are in touch before the freeze.
    sleep(Duration::from_secs_f64(CONTACT_S));
    if trouble {
        fleet.signal("front-1", "STOP");
    }
    let frozen_at = record.now();
    let body = job_body(JOB, ITEMS, "9c2e41");
    let sent = match send(
        fleet.front(1),
        "POST",
        "/pule252/51d0c3",
        &job_headers(JOB),
        &body,
    ) {
        Ok(stream) => stream,
        Err(error) => return not_run(record, &error),
    };
    record.line(&format!(
        "batch job {JOB} of {ITEMS} items is sent to front-1"
    ));
    sleep(PATIENCE);
    let ended = call(
        fleet.front(2),
        "DELETE",
        &format!("/pinerill/lots/{JOB}"),
        &[],
        "",
        ms(4_000),
    );
    let status = ended.as_ref().map(|answer| answer.status);
    record.line(&format!(
        "the end of batch job {JOB}, sent to front-2, is answered {status:?}"
    ));
    let ended_at = record.now();
    match ended {
        Ok(answer) if answer.status == 200 => {}
        _ => return not_run(record, "the end was not acknowledged"),
    }
    if trouble {
        let left = FREEZE_S - (record.now() - frozen_at);
        sleep(Duration::from_secs_f64(left.max(0.0)));
        fleet.signal("front-1", "CONT");
    }
    let woken_at = record.now();
    let answer = read_answer(sent, ms(3_000)).map(|answer| answer.status);
    record.line(&format!(
        "what the client still gets from front-1: {answer:?}"
    ));
    let left = WATCH_S - (record.now() - ended_at);
    sleep(Duration::from_secs_f64(left.max(0.0)));
    judge(&fleet, record, ended_at, woken_at)
}

/// Counts the runs that began too late, at a time at which all machines were in touch again.
fn judge(fleet: &Fleet, record: &Record, ended_at: f64, woken_at: f64) -> ExitCode {
    let bound = (ended_at + CANCEL_S).max(woken_at + CONTACT_S);
    let runs = fleet.runs.lock().expect("lock");
    let of_job: Vec<_> = runs
        .iter()
        .filter(|run| run.request.starts_with(&JOB[..12]))
        .collect();
    let late = of_job.iter().filter(|run| run.began > bound).count();
    record.line(&format!(
        "{} runs of items of the ended batch job, {late} of them later than {bound:.3} s, when cancel_ms has passed and all machines are in touch",
        of_job.len()
    ));
    match late {
        0 => held(record, "no item reached a worker too late"),
        _ => broken(
            record,
            "UNASKED: items reach workers later than cancel_ms after the acknowledged end",
        ),
    }
}
