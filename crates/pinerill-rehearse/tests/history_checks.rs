//! The checks of histories find each kind of broken promise, and nothing in a
//! history that keeps them all.

mod common;

use common::records::{ledger_line, online_record};
use pinerill_rehearse::check::{
    check_history, yield_times, Cancel, History, ItemObservation, JobHistory, KilledWorker,
    LeavingWorker, LedgerIndex, Verdict, CANCEL_GRACE, LEAVING_LIMIT,
};
use pinerill_rehearse::engine::messages::Priority;
use pinerill_rehearse::ledger::{LedgerEvent, LedgerLine};
use pinerill_rehearse::load::content::{AnsweredBy, BatchItem, ContentContext};
use pinerill_rehearse::load::profile::load_profile;
use pinerill_rehearse::load::record::{OnlineEnd, OnlineRecord};
use pinerill_rehearse::preset::PresetName;
use pinerill_types::job::{ItemState, JobState};

const TOKENS: u32 = 48;
const SECOND_US: u64 = 1_000_000;

fn line(content: &str, event: LedgerEvent, engine: &str, time_us: u64) -> LedgerLine {
    LedgerLine {
        time_us,
        arrived_us: time_us,
        engine: engine.to_owned(),
        request_id: format!("{content}-{engine}"),
        content: content.to_owned(),
        generated: if event == LedgerEvent::Started {
            0
        } else {
            TOKENS
        },
        ..ledger_line(0, event)
    }
}

/// A run that started at `from_us` and finished a second later.
fn run(content: &str, engine: &str, from_us: u64) -> [LedgerLine; 2] {
    [
        line(content, LedgerEvent::Started, engine, from_us),
        line(content, LedgerEvent::Finished, engine, from_us + SECOND_US),
    ]
}

fn record(content: &str, end: OnlineEnd) -> OnlineRecord {
    OnlineRecord {
        request_id: format!("request-{content}"),
        at_most_once: true,
        content: content.to_owned(),
        first_token_us: Some(1),
        tokens: TOKENS,
        ..online_record(0, end)
    }
}

fn items() -> Vec<BatchItem> {
    let context = ContentContext {
        tag: "test".to_owned(),
        service: "fanar".to_owned(),
        model: "fanar-8b".to_owned(),
        adapter: String::new(),
        answered_by: AnsweredBy::Engines,
    };
    let profile = load_profile(PresetName::Lumadar).batch;
    (0..2)
        .map(|number| context.batch_item(&profile, "job", number))
        .collect()
}

/// A job whose two items ran once each and were read twice.
fn good_job() -> (JobHistory, Vec<LedgerLine>) {
    let items = items();
    let mut job = JobHistory::new("key", &items);
    job.id = Some("job-1-1".to_owned());
    job.state = Some(JobState::Completed);
    let reading: Vec<ItemObservation> = job
        .items
        .iter()
        .enumerate()
        .map(|(index, item)| ItemObservation {
            custom_id: item.custom_id.clone(),
            index: index as u32,
            state: ItemState::Completed,
            digest: Some(item.digest.clone()),
        })
        .collect();
    job.readings = vec![reading.clone(), reading];
    let runs = job
        .items
        .iter()
        .flat_map(|item| run(&item.content, "w/0", 10));
    let runs = runs.collect();
    (job, runs)
}

fn good() -> (History, Vec<LedgerLine>) {
    let (job, mut lines) = good_job();
    lines.extend(run("a", "w/0", 100));
    let not_run = OnlineEnd::NotRun(Box::default());
    let history = History {
        online: vec![record("a", OnlineEnd::Completed), record("b", not_run)],
        jobs: vec![job],
        leaving: vec![LeavingWorker {
            worker: "w".to_owned(),
            sign_us: 200,
            back_us: None,
        }],
        ..History::default()
    };
    (history, lines)
}

/// A cancel that left no item indeterminate.
fn cancel(answered_us: u64) -> Option<Cancel> {
    Some(Cancel {
        answered_us,
        indeterminate: 0,
    })
}

/// The verdict over the good history after a change.
fn verdict(change: impl FnOnce(&mut History, &mut Vec<LedgerLine>)) -> Verdict {
    let (mut history, mut lines) = good();
    change(&mut history, &mut lines);
    check_history(&history, &LedgerIndex::new(&lines))
}

/// Asserts that exactly one check found exactly one violation, with `detail`.
fn assert_found(verdict: &Verdict, check: &str, detail: &str) {
    let found: Vec<_> = verdict
        .findings
        .iter()
        .flat_map(|finding| {
            finding
                .violations
                .iter()
                .map(move |one| (finding.check, one))
        })
        .collect();
    assert_eq!(found.len(), 1, "{verdict}");
    assert_eq!(found[0].0, check);
    assert!(found[0].1.detail.contains(detail), "{}", found[0].1.detail);
}

#[test]
fn a_history_that_keeps_all_promises_is_clean() {
    let verdict = verdict(|_, _| {});
    assert!(verdict.is_clean(), "{verdict}");
    assert!(verdict.checked() > 0);
}

#[test]
fn a_crossed_answer_is_found() {
    let found = verdict(|history, _| {
        history.online[0].end = OnlineEnd::WrongAnswer("other text".to_owned());
    });
    assert_found(&found, "answers of online requests", "not its own");
}

#[test]
fn a_request_that_ran_after_not_run_is_found() {
    let found = verdict(|_, lines| lines.extend(run("b", "w/1", 100)));
    assert_found(&found, "answers of online requests", "ran 1 times");
}

#[test]
fn an_answer_that_no_engine_finished_is_found() {
    let found = verdict(|_, lines| {
        lines.retain(|line| line.content != "a" || line.event == LedgerEvent::Started);
    });
    assert_found(&found, "answers of online requests", "no engine finished");
}

#[test]
fn a_second_run_of_an_at_most_once_request_is_found() {
    let found = verdict(|_, lines| lines.extend(run("a", "w/1", 100)));
    assert_found(&found, "at most once", "ran 2 times, at w/0, w/1");
}

#[test]
fn a_second_run_of_an_at_most_once_item_is_found() {
    let found = verdict(|history, lines| {
        let content = history.jobs[0].items[0].content.clone();
        lines.extend(run(&content, "w/1", 100));
    });
    assert_found(&found, "at most once", "ran 2 times");
}

#[test]
fn a_lost_result_is_found() {
    let found = verdict(|history, _| {
        for reading in &mut history.jobs[0].readings {
            reading.pop();
        }
    });
    assert_found(&found, "items of batch jobs", "has 0 results");
}

#[test]
fn a_doubled_result_is_found() {
    let found = verdict(|history, _| {
        let reading = &mut history.jobs[0].readings[1];
        reading.push(reading[0].clone());
    });
    assert_found(&found, "items of batch jobs", "has 2 results");
}

#[test]
fn another_items_result_is_found() {
    let found = verdict(|history, _| {
        let other = history.jobs[0].items[1].digest.clone();
        for reading in &mut history.jobs[0].readings {
            reading[0].digest = Some(other.clone());
        }
    });
    assert_found(&found, "items of batch jobs", "not its own");
}

#[test]
fn a_result_that_changed_or_vanished_is_found() {
    let changed = verdict(|history, _| history.jobs[0].readings[0][0].digest = None);
    assert_found(&changed, "items of batch jobs", "has changed");
    let vanished = verdict(|history, _| {
        let mut stranger = history.jobs[0].readings[0][0].clone();
        stranger.custom_id = "once there".to_owned();
        history.jobs[0].readings[0].push(stranger);
    });
    assert_found(&vanished, "items of batch jobs", "is gone");
}

#[test]
fn an_item_that_ended_wrongly_is_found() {
    let ends = [
        (ItemState::Failed, "failed"),
        (ItemState::Pending, "has not ended"),
        (ItemState::Cancelled, "its job was not"),
        (ItemState::Indeterminate, "nothing was lost"),
    ];
    for (state, detail) in ends {
        let found = verdict(|history, _| {
            for reading in &mut history.jobs[0].readings {
                reading[0].state = state;
            }
        });
        assert_found(&found, "items of batch jobs", detail);
    }
}

#[test]
fn a_cancelled_job_that_goes_on_is_found() {
    let late = CANCEL_GRACE.as_micros() as u64 + 1;
    let found = verdict(|history, _| {
        let job = &mut history.jobs[0];
        job.cancel = cancel(5);
        job.state = Some(JobState::InProgress);
    });
    assert_found(&found, "cancelled jobs stop", "its state is");
    let found = verdict(|history, lines| {
        history.jobs[0].cancel = cancel(5);
        for line in lines {
            line.time_us += late;
            line.arrived_us = 0;
            if line.content == history.jobs[0].items[1].content {
                line.time_us = 1;
            }
        }
    });
    assert_found(&found, "cancelled jobs stop", "after the cancel");
    let found = verdict(|history, lines| {
        history.jobs[0].cancel = cancel(20);
        let content = history.jobs[0].items[0].content.clone();
        history.jobs[0].readings.iter_mut().for_each(|reading| {
            reading[0].state = ItemState::Cancelled;
        });
        lines.retain(|line| line.content != content || line.event == LedgerEvent::Started);
    });
    assert_found(&found, "cancelled jobs stop", "still runs");
}

#[test]
fn what_ran_at_a_worker_when_it_was_killed_does_not_go_on() {
    let with_kill_at = |at_us| {
        verdict(move |history, lines| {
            history.jobs[0].cancel = cancel(20);
            let content = history.jobs[0].items[0].content.clone();
            history.jobs[0].readings.iter_mut().for_each(|reading| {
                reading[0].state = ItemState::Cancelled;
            });
            lines.retain(|line| line.content != content || line.event == LedgerEvent::Started);
            let started = lines.iter().find(|line| line.content == content);
            let started = started.expect("it ran");
            let worker = started.engine.split('/').next().expect("a worker");
            history.killed.push(KilledWorker {
                worker: worker.to_owned(),
                at_us: started.time_us + at_us - 1,
            });
        })
    };
    let before = with_kill_at(0);
    assert_found(&before, "cancelled jobs stop", "still runs");
    let after = with_kill_at(1);
    assert!(after.is_clean(), "{after}");
}

#[test]
fn an_item_that_becomes_indeterminate_after_the_cancel_is_found() {
    let with_counted = |counted| {
        verdict(move |history, _| {
            let job = &mut history.jobs[0];
            job.cancel = cancel(20);
            job.cancel
                .iter_mut()
                .for_each(|one| one.indeterminate = counted);
            for reading in &mut job.readings {
                reading[0].state = ItemState::Indeterminate;
            }
        })
    };
    let late = with_counted(0);
    assert_found(
        &late,
        "cancelled jobs stop",
        "1 indeterminate items, 0 when",
    );
    let forgotten = with_counted(2);
    assert_found(
        &forgotten,
        "cancelled jobs stop",
        "1 indeterminate items, 2 when",
    );
    let right = with_counted(1);
    assert!(right.is_clean(), "{right}");
}

#[test]
fn new_work_at_a_leaving_worker_is_found() {
    let late = 200 + LEAVING_LIMIT.as_micros() as u64 + 1;
    let found = verdict(|_, lines| lines.extend(run("c", "w/1", late)));
    assert_found(&found, "leaving workers", "after the sign");
    let elsewhere = verdict(|_, lines| lines.extend(run("c", "v/1", late)));
    assert!(elsewhere.is_clean(), "{elsewhere}");
}

#[test]
fn yield_times_are_those_of_online_requests_that_found_batch_running() {
    let batch = |event, time_us| LedgerLine {
        priority: Priority::Batch,
        ..line("batch", event, "w/0", time_us)
    };
    let online = |engine: &str, arrived_us, time_us| LedgerLine {
        arrived_us,
        ..line("online", LedgerEvent::Started, engine, time_us)
    };
    let lines = [
        online("w/0", 5, 6),
        batch(LedgerEvent::Started, 10),
        online("w/0", 20, 45),
        online("w/1", 20, 90),
        batch(LedgerEvent::Preempted, 50),
        online("w/0", 60, 61),
        batch(LedgerEvent::Resumed, 70),
        online("w/0", 80, 83),
        batch(LedgerEvent::Finished, 90),
        online("w/0", 95, 99),
    ];
    assert_eq!(yield_times(&lines), [25, 3]);
}
