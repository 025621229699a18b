//! Workers spoil a few of their answers: instead of the answer they send bytes that name no request
//! and carry no stamp, but begin like a success.
//! Rule MIXED: no client may get a success without a worker's stamp, and no item may be `completed`
//! without its whole text.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::support::{
    call, config, item_text, job_body, job_headers, listed, ms, stream_request, Fleet, Record, Size,
};
use crate::{broken, held, not_run};

const JOBS: usize = 8;
const ITEMS: usize = 12;
const ITEM_EVENTS: u64 = 40;
/// One answer of so many is spoiled: 0.059, within twice the share of the small sites (0.03).
const SPOILED_ONE_OF: usize = 17;
/// Clients that send online requests, each one after the other.
const CLIENTS: usize = 9;
const TRAFFIC_TIME: Duration = Duration::from_secs(40);
/// Time given to the batch jobs.
const FINISH_TIME: Duration = Duration::from_secs(30);

pub fn run(record: &Record, trouble: bool) -> ExitCode {
    let size = Size {
        fronts: 3,
        workers: 6,
        slots: 8,
        item_events: ITEM_EVENTS,
        event_time: ms(20),
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
    if trouble {
        fleet
            .spoiling
            .one_of
            .store(SPOILED_ONE_OF, Ordering::SeqCst);
        record.line(&format!("workers spoil one of {SPOILED_ONE_OF} answers"));
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (front, record) = (fleet.front(1 + client % 3), record.clone());
            spawn(move || send_requests(client, front, &record))
        })
        .collect();
    for job in 0..JOBS {
        let id = job_id(job);
        let body = job_body(&id, ITEMS, "9c2e41");
        let answer = call(
            fleet.front(1 + job % 3),
            "POST",
            "/pule252/7c41e0",
            &job_headers(&id),
            &body,
            ms(5_000),
        );
        let status = answer.map(|answer| answer.status);
        record.line(&format!("batch job {id} is answered {status:?}"));
        if status != Ok(202) {
            return not_run(record, "a batch job was not accepted");
        }
        sleep(ms(1_500));
    }
    let mut unsigned = 0;
    for client in clients {
        unsigned += client.join().expect("a client ends");
    }
    let wrong = wrong_items(&fleet, record);
    let spoiled = {
        let runs = fleet.runs.lock().expect("lock");
        let spoiled = runs
            .iter()
            .filter(|run| run.ended.is_some_and(|(_, end)| end == "spoiled"));
        format!("{} of {} runs were spoiled", spoiled.count(), runs.len())
    };
    record.line(&format!("{spoiled}; {unsigned} online requests got a success without a stamp; {wrong} items are completed without their text"));
    match unsigned + wrong {
        0 => held(record, "each success is a worker's whole answer"),
        _ => broken(
            record,
            "MIXED: successes that no worker has signed, or completed items without their text",
        ),
    }
}

fn job_id(job: usize) -> String {
    format!(
        "{:016x}",
        0xa1b2_c3d4_e500_0000_u64 + (job as u64) * 0x10_0000
    )
}

/// Sends online requests one after the other; returns how many got a success without a stamp.
fn send_requests(client: usize, front: SocketAddr, record: &Record) -> usize {
    let began = Instant::now();
    let mut unsigned = 0;
    for number in 0.. {
        if began.elapsed() > TRAFFIC_TIME {
            break;
        }
        let id = format!(
            "{:016x}",
            0x5100_0000_0000_0000_u64 + (client as u64) * 0x1_0000 + number
        );
        let prompt = format!("3f21:155,{:x}:491", 0xa000 + number);
        let answer = stream_request(front, &id, &prompt, ms(6_000));
        let status = answer.as_ref().map(|answer| answer.status);
        record.line(&format!("online request {id} is answered {status:?}"));
        if let Ok(answer) = answer {
            if answer.status / 100 == 2 && !answer.head.contains("x-server-stamp") {
                record.line(&format!(
                    "request {id} gets {} without a stamp, with a body of {} bytes",
                    answer.status,
                    answer.body.len()
                ));
                unsigned += 1;
            }
        }
    }
    unsigned
}

/// Waits until all items are listed, and counts those that are completed without their whole text.
fn wrong_items(fleet: &Fleet, record: &Record) -> usize {
    let deadline = Instant::now() + FINISH_TIME;
    let mut wrong = 0;
    for job in 0..JOBS {
        let id = job_id(job);
        let entries = loop {
            let entries = listed(fleet.front(2), &id).unwrap_or_default();
            if entries.len() == ITEMS || Instant::now() > deadline {
                break entries;
            }
            sleep(ms(500));
        };
        let is_wrong = |text: &str, item: &str| text != item_text(item, ITEM_EVENTS);
        for entry in entries.iter().filter(|entry| entry.state == "completed") {
            if is_wrong(&entry.text, &entry.id) {
                record.line(&format!(
                    "item {} is completed with the text {:?}",
                    entry.id, entry.text
                ));
                wrong += 1;
            }
        }
        record.line(&format!(
            "batch job {id}: {} of {ITEMS} items are listed",
            entries.len()
        ));
    }
    wrong
}
