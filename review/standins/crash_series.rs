//! Workers crash one after another, each while it runs items of one batch job, and start again.
//! Rule LOST: every item of the job must be listed when the time to finish is over.

use std::collections::HashSet;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::support::{
    call, config, item_id, job_body, job_headers, listed, ms, stream_request, Fleet, Record, Size,
    Worker,
};
use crate::{broken, held, not_run};

const JOB: &str = "7c41e09b52d6a3f8";
const ITEMS: usize = 2;
/// How often workers crash at most. Each time it is 2 of 12, the share of the small sites (0.17).
const CRASHES: usize = 5;
const WORKERS: usize = 12;
const SLOTS: usize = 17;
/// Time between two crashes.
const CRASH_GAP: Duration = Duration::from_millis(600);
/// Time in which workers crash.
const CRASH_TIME: Duration = Duration::from_secs(6);
/// Time for which a crashed worker is down.
const DOWN_TIME: Duration = Duration::from_millis(1_500);
/// Time for which online requests come.
const TRAFFIC_S: f64 = 12.0;
/// `finish_s` of the small sites.
const FINISH_S: f64 = 18.0;
/// Longest wait for an answer to the last read of the results.
const READ_S: f64 = 10.0;
/// The last seconds in which no worker may have had an unlisted item, for the rule to apply.
const UNTOUCHED_S: f64 = 5.0;
/// Seconds in which a failure at a worker excuses an item.
const FAILED_S: f64 = 20.0;

pub fn run(record: &Record, trouble: bool) -> ExitCode {
    let size = Size {
        fronts: 3,
        workers: WORKERS,
        slots: SLOTS,
        item_events: 120,
        event_time: ms(30),
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
    let traffic = Traffic::start(&fleet);
    let body = job_body(JOB, ITEMS, "9c2e41");
    let accepted = call(
        fleet.front(1),
        "POST",
        "/pule252/7c41e0",
        &job_headers(JOB),
        &body,
        ms(5_000),
    );
    match accepted {
        Ok(answer) if answer.status == 202 => {
            record.line(&format!("batch job {JOB} of {ITEMS} items is answered 202"))
        }
        other => {
            return not_run(
                record,
                &format!("the batch job was not accepted: {other:?}"),
            )
        }
    }
    if trouble && !crash_in_series(&fleet) {
        return not_run(record, "no worker ran items of the batch job");
    }
    let left = TRAFFIC_S - traffic.began.elapsed().as_secs_f64();
    sleep(Duration::from_secs_f64(left.max(0.0)));
    traffic.stop(record);
    let end = record.now() + FINISH_S;
    let mut unlisted = unlisted_items(&fleet);
    // A read that no node is sure of says nothing; the last one must be answered.
    while (record.now() < end && unlisted.as_ref().is_none_or(|items| !items.is_empty()))
        || (unlisted.is_none() && record.now() < end + READ_S)
    {
        sleep(ms(500));
        unlisted = unlisted_items(&fleet);
    }
    let Some(unlisted) = unlisted else {
        return not_run(record, "the results of the batch job can't be read");
    };
    record.line(&format!(
        "results read at front-2: {} of {ITEMS} items are listed",
        ITEMS - unlisted.len()
    ));
    for front in 1..=size.fronts {
        for event in ["part_blocked", "item_withheld"] {
            let lines = fleet.log_lines(&format!("front-{front}"), event);
            record.line(&format!(
                "front-{front} has {} log lines with {event}",
                lines.len()
            ));
        }
    }
    judge(&fleet, &unlisted, record)
}

/// Judges by the rule: what is unlisted counts unless a worker had an item in the last seconds, or
/// one failed there lately, or the workers were half full.
fn judge(fleet: &Fleet, unlisted: &[String], record: &Record) -> ExitCode {
    if unlisted.is_empty() {
        return held(record, "all items are listed");
    }
    let now = record.now();
    let runs = fleet.runs.lock().expect("lock");
    let of_job = runs
        .iter()
        .filter(|run| run.request.starts_with(&JOB[..12]));
    let ends: Vec<f64> = of_job
        .map(|run| run.ended.map_or(now, |(at, _)| at))
        .collect();
    let last = ends.iter().fold(0.0, |last: f64, at| last.max(*at));
    let active: usize = fleet.workers.iter().map(|worker| worker.active()).sum();
    record.line(&format!(
        "{} of {ITEMS} items are unlisted; the last run of any item ended {:.1} s ago; workers run {active} requests on {} slots",
        unlisted.len(),
        now - last,
        WORKERS * SLOTS
    ));
    let excused = now - last < UNTOUCHED_S.max(FAILED_S) || active * 2 >= WORKERS * SLOTS;
    if excused {
        return not_run(
            record,
            "the workers had an item too lately for the rule to apply",
        );
    }
    broken(record, "LOST: items of an open batch job are neither completed nor dead, and no worker has had them")
}

/// Items that the results do not list; none if no node is sure of them.
fn unlisted_items(fleet: &Fleet) -> Option<Vec<String>> {
    let entries = listed(fleet.front(2), JOB)?;
    let entries: HashSet<String> = entries.into_iter().map(|entry| entry.id).collect();
    let items = (1..=ITEMS).map(|number| item_id(JOB, number));
    Some(items.filter(|id| !entries.contains(id)).collect())
}

/// Crashes the workers that run items of the batch job, again and again. A crashed worker starts
/// again with a new id. Returns whether any crashed.
fn crash_in_series(fleet: &Fleet) -> bool {
    let began = Instant::now();
    let mut crashes = 0;
    while crashes < CRASHES && began.elapsed() < CRASH_TIME {
        sleep(CRASH_GAP);
        let running = workers_of_job(fleet);
        let found = fleet
            .workers
            .iter()
            .filter(|worker| running.contains(&worker.id()));
        let found: Vec<_> = found.cloned().collect();
        for worker in &found {
            worker.crash();
        }
        crashes += usize::from(!found.is_empty());
        spawn(move || {
            sleep(DOWN_TIME);
            found.iter().for_each(Worker::restart);
        });
    }
    crashes > 0
}

/// Identifiers of the workers that run items of the batch job.
fn workers_of_job(fleet: &Fleet) -> HashSet<String> {
    let runs = fleet.runs.lock().expect("lock");
    let open = runs.iter().filter(|run| run.ended.is_none());
    let of_job = open.filter(|run| run.request.starts_with(&JOB[..12]));
    of_job.map(|run| run.worker.clone()).collect()
}

/// Online requests with prompts of their own.
struct Traffic {
    began: Instant,
    stopped: Arc<AtomicBool>,
    thread: std::thread::JoinHandle<(usize, usize)>,
}

impl Traffic {
    fn start(fleet: &Fleet) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let is_stopped = stopped.clone();
        let fronts = [fleet.front(1), fleet.front(2), fleet.front(3)];
        let record = fleet.record.clone();
        let thread = spawn(move || {
            let (mut sent, mut whole) = (0, 0);
            while !is_stopped.load(Ordering::SeqCst) {
                let id = format!("{:016x}", 0x5100_0000_0000_0000_u64 + sent as u64);
                let prompt = format!("3f21:155,{:x}:491", 0xa000 + sent);
                let answer = stream_request(fronts[sent % fronts.len()], &id, &prompt, ms(6_000));
                let status = answer.map(|answer| answer.status);
                record.line(&format!("online request {id} is answered {status:?}"));
                sent += 1;
                whole += usize::from(status == Ok(200));
                sleep(ms(100));
            }
            (sent, whole)
        });
        Traffic {
            began: Instant::now(),
            stopped,
            thread,
        }
    }

    fn stop(self, record: &Record) {
        self.stopped.store(true, Ordering::SeqCst);
        let (sent, whole) = self.thread.join().expect("the traffic ends");
        record.line(&format!(
            "traffic has ended: {sent} online requests sent, {whole} answered whole"
        ));
    }
}
