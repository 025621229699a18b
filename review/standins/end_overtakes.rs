//! The leading store is killed while clients hand in batch jobs and end them again, each call on a
//! connection of its own. Both calls wait at front nodes for the next leader, and come through in any
//! order.
//! Rule UNASKED: no item may reach a worker later than `cancel_ms` after the end of its batch job was
//! acknowledged.

use std::process::ExitCode;
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::support::{call, config, job_body, job_headers, ms, Fleet, Record, Size};
use crate::{broken, held, not_run};

const JOBS: usize = 12;
const ITEMS: usize = 8;
/// `cancel_ms` and `contact_ms` of the small sites, in seconds.
const CANCEL_S: f64 = 3.0;
const CONTACT_S: f64 = 3.0;
/// Time for which the store is down, as the site file has it.
const DOWN_S: f64 = 2.8;
/// Time after which a client ends its batch job.
const PATIENCE: Duration = Duration::from_millis(250);
/// Time for which runs are watched after the last end was acknowledged.
const WATCH: Duration = Duration::from_secs(30);

/// What a client got for a batch job.
struct Job {
    id: String,
    /// When the 202 came, if it came.
    accepted_at: Option<f64>,
    /// When the 200 for the end came, if it came.
    ended_at: Option<f64>,
}

pub fn run(record: &Record, trouble: bool) -> ExitCode {
    let size = Size {
        fronts: 3,
        workers: 3,
        slots: 4,
        item_events: 40,
        event_time: ms(50),
    };
    let mut fleet = match Fleet::start(&size, record) {
        Ok(fleet) => fleet,
        Err(error) => return not_run(record, &error),
    };
    let ready = fleet
        .put_config(&config(7, true), ms(20_000))
        .and_then(|()| fleet.wait_until_serving(ms(20_000)));
    if let Err(error) = ready {
        return not_run(record, &error);
    }
    // All machines are in touch before the kill.
    sleep(Duration::from_secs_f64(CONTACT_S));
    let Some(leader) = fleet.leading_store() else {
        return not_run(record, "no store says that it leads");
    };
    let began = record.now();
    if trouble {
        fleet.kill(&crate::support::store_name(leader));
    }
    let jobs = hand_in_and_end(&fleet, record);
    if trouble {
        let left = DOWN_S - (record.now() - began);
        sleep(Duration::from_secs_f64(left.max(0.0)));
        if let Err(error) = fleet.restart_store(leader) {
            return not_run(record, &error);
        }
    }
    let whole_at = record.now();
    sleep(WATCH);
    judge(&fleet, record, &jobs, whole_at)
}

/// Each client hands in a batch job at one node and ends it at another.
fn hand_in_and_end(fleet: &Fleet, record: &Record) -> Vec<Job> {
    let clients: Vec<_> = (0..JOBS)
        .map(|number| {
            let nodes = [
                fleet.front(1 + number % 3),
                fleet.front(1 + (number + 1) % 3),
            ];
            let record = record.clone();
            spawn(move || {
                let id = format!(
                    "{:016x}",
                    0x51d0_c3a9_7b00_0000_u64 + (number as u64) * 0x10_0000
                );
                let (job, own_record) = (id.clone(), record.clone());
                let handing_in = spawn(move || {
                    let body = job_body(&job, ITEMS, "9c2e41");
                    let answer = call(
                        nodes[0],
                        "POST",
                        "/pule252/51d0c3",
                        &job_headers(&job),
                        &body,
                        ms(4_000),
                    );
                    let status = answer.map(|answer| answer.status);
                    own_record.line(&format!(
                        "batch job {job}, {ITEMS} items: handing in is answered {status:?}"
                    ));
                    (status == Ok(202)).then(|| own_record.now())
                });
                sleep(PATIENCE);
                let answer = call(
                    nodes[1],
                    "DELETE",
                    &format!("/pinerill/lots/{id}"),
                    &[],
                    "",
                    ms(4_000),
                );
                let status = answer.map(|answer| answer.status);
                record.line(&format!("batch job {id}: the end is answered {status:?}"));
                let ended_at = (status == Ok(200)).then(|| record.now());
                Job {
                    id,
                    accepted_at: handing_in.join().expect("a call ends"),
                    ended_at,
                }
            })
        })
        .collect();
    let ended = clients.into_iter().map(|client| client.join());
    ended.map(|job| job.expect("a client ends")).collect()
}

/// Counts the runs that began too late, at a time at which all machines were in touch again.
fn judge(fleet: &Fleet, record: &Record, jobs: &[Job], whole_at: f64) -> ExitCode {
    let runs = fleet.runs.lock().expect("lock");
    let (mut late, mut late_after_both) = (0, 0);
    for job in jobs {
        let of_job: Vec<_> = runs
            .iter()
            .filter(|run| run.request.starts_with(&job.id[..12]))
            .collect();
        let Some(ended_at) = job.ended_at else {
            record.line(&format!(
                "batch job {}: {} runs, its end was not acknowledged",
                job.id,
                of_job.len()
            ));
            continue;
        };
        let bound = (ended_at + CANCEL_S).max(whole_at + CONTACT_S);
        let late_here = of_job.iter().filter(|run| run.began > bound).count();
        late += late_here;
        let accepted_first = job.accepted_at.is_some_and(|at| at <= ended_at);
        late_after_both += if accepted_first { late_here } else { 0 };
        record.line(&format!(
            "batch job {}: {} runs, {late_here} of them later than {bound:.3} s, when cancel_ms has passed and all machines are in touch; 202 {} the 200 for the end",
            job.id,
            of_job.len(),
            if accepted_first { "came before" } else { "did not come before" }
        ));
    }
    record.line(&format!("{late} runs too late in all, {late_after_both} of batch jobs whose 202 came before the 200 for the end"));
    match late {
        0 => held(record, "no item reached a worker too late"),
        _ => broken(
            record,
            "UNASKED: items reach workers later than cancel_ms after the acknowledged end",
        ),
    }
}
