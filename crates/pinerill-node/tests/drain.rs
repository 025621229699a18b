//! Planned stops of a node, and workers that leave.

mod support;

use std::sync::Arc;

use pinerill_node::RunError;
use pinerill_types::job::ItemState;
use pinerill_wire::message::Request;
use support::worker::{FakeWorker, Stage};
use support::{answer, bundle, error_of, line, once, online, until, FakeControl, TestNode};

async fn start() -> (TestNode, FakeWorker) {
    let worker = FakeWorker::start("worker-1", 1).await;
    let control = Arc::new(FakeControl::new(bundle()));
    control.list_workers(vec![worker.record()]);
    let node = TestNode::start(control).await;
    worker.change(|model| model.hold_after = Some(1));
    (node, worker)
}

/// How the node's process would end.
async fn end_of(mut node: TestNode) -> Result<(), RunError> {
    let ended = (&mut node.task).await.expect("no panic");
    ended.map_err(|error| error.downcast().expect("an error of the stop"))
}

fn count(node: &TestNode, state: ItemState) -> usize {
    node.control.jobs.lock().count(state)
}

#[tokio::test]
async fn a_planned_stop_refuses_what_is_new_and_cuts_nothing() {
    let (node, worker) = start().await;
    let begun = tokio::spawn(answer(online(&node, "p")));
    until("it runs", || worker.count(false, Stage::Running) == 1).await;
    node.signals.planned.cancel();
    node.until_ready(503).await;
    let refused = online(&node, "q").send().await.expect("an answer");
    let headers = refused.headers();
    assert_eq!(headers["Retry-After"], "1");
    assert_eq!(headers["Connection"], "close");
    let body = refused.json().await.expect("JSON");
    assert_eq!(error_of(&body), ("draining", "not_run"));
    let batch = node.submit("k", line("a", "p")).await;
    assert_eq!(error_of(&batch.1), ("draining", "not_run"));
    assert!(!node.task.is_finished());
    worker.change(|model| model.hold_after = None);
    assert_eq!(begun.await.expect("ends").0, 200);
    assert!(end_of(node).await.is_ok());
}

#[tokio::test]
async fn a_stopping_node_serves_on_until_load_balancers_had_time_to_see_it() {
    let worker = FakeWorker::start("worker-1", 1).await;
    let control = Arc::new(FakeControl::new(bundle()));
    control.list_workers(vec![worker.record()]);
    // Longer than the test: only the second signal ends the lead.
    let node = TestNode::start_with(control, |settings| settings.drain_lead_ms = 600_000).await;
    until("reported", || worker.model.lock().reports >= 2).await;
    node.signals.planned.cancel();
    node.until_ready(503).await;
    assert_eq!(node.readiness().await.1, "draining\n");
    assert_eq!(answer(online(&node, "p")).await.0, 200);
    let batch = node.submit("k", line("a", "p")).await;
    assert_eq!(batch.0, 200);
    node.signals.forced.cancel();
    assert!(end_of(node).await.is_ok());
}

#[tokio::test]
async fn a_planned_stop_gives_leases_back_and_ends_what_must_not_be_repeated() {
    let (node, worker) = start().await;
    let control = node.control.clone();
    node.submit("k", line("a", "p") + &once("once", "q")).await;
    until("both run", || worker.count(true, Stage::Running) == 2).await;
    let blocker = tokio::spawn(answer(online(&node, "crew")));
    // One of four slots is free, and the engine had to preempt.
    worker.change(|model| (model.online_elsewhere, model.preemptions) = (2, 1));
    until("one steps aside", || worker.count(true, Stage::Paused) == 1).await;
    node.signals.planned.cancel();
    until("both are decided", || {
        let cancelled = worker.count(true, Stage::Cancelled);
        cancelled == 1 && worker.count(true, Stage::Running) == 1
    })
    .await;
    worker.change(|model| model.hold_after = None);
    assert_eq!(blocker.await.expect("ends").0, 200);
    assert!(end_of(node).await.is_ok());
    let jobs = control.jobs.lock();
    let items: Vec<_> = jobs.jobs.values().flat_map(|job| &job.items).collect();
    assert_eq!(items[0].state, ItemState::Pending);
    assert_eq!(items[1].state, ItemState::Completed);
}

#[tokio::test]
async fn a_planned_stop_waits_for_an_item_that_must_not_be_repeated() {
    let (node, worker) = start().await;
    let control = node.control.clone();
    node.submit("k", once("once", "q")).await;
    until("it runs", || worker.count(true, Stage::Running) == 1).await;
    node.signals.planned.cancel();
    // By then a node with nothing in flight has closed its listener.
    for _ in 0..20 {
        reports(&[&worker]).await;
    }
    let refused = answer(online(&node, "p")).await;
    assert_eq!(error_of(&refused.1), ("draining", "not_run"));
    worker.change(|model| model.hold_after = None);
    assert!(end_of(node).await.is_ok());
    assert_eq!(control.jobs.lock().count(ItemState::Completed), 1);
}

#[tokio::test]
async fn a_lease_whose_answer_was_lost_is_given_back_before_the_end() {
    let (node, _worker) = start().await;
    let control = node.control.clone();
    let is_lease = |request: &Request| matches!(request, Request::LeaseItems(_));
    for _ in 0..3 {
        control.fault(is_lease, support::control::Fault::AnswerLost);
    }
    node.submit("k", once("once", "p")).await;
    until("it is leased", || count(&node, ItemState::Leased) == 1).await;
    node.signals.planned.cancel();
    assert!(end_of(node).await.is_ok());
    assert_eq!(control.jobs.lock().count(ItemState::Pending), 1);
}

#[tokio::test]
async fn a_second_signal_ends_it_with_the_number_of_cuts() {
    let (node, worker) = start().await;
    node.submit("k", once("once", "q")).await;
    until("an item runs", || worker.count(true, Stage::Running) == 1).await;
    let cut = tokio::spawn(online(&node, "p").send());
    until("both run", || worker.count(false, Stage::Running) == 1).await;
    node.signals.planned.cancel();
    node.until_ready(503).await;
    node.signals.forced.cancel();
    let ended = end_of(node).await;
    assert!(matches!(ended, Err(RunError::Cut { cut: 2 })), "{ended:?}");
    let _ = cut.await;
}

#[tokio::test]
async fn the_limit_ends_it_with_the_number_of_cuts() {
    let worker = FakeWorker::start("worker-1", 1).await;
    let control = Arc::new(FakeControl::new(bundle()));
    control.list_workers(vec![worker.record()]);
    let node = TestNode::start_with(control, |settings| settings.drain_ms = 300).await;
    worker.change(|model| model.hold_after = Some(1));
    let cut = tokio::spawn(online(&node, "p").send());
    until("it runs", || worker.count(false, Stage::Running) == 1).await;
    node.signals.planned.cancel();
    let ended = end_of(node).await;
    assert!(matches!(ended, Err(RunError::Cut { cut: 1 })), "{ended:?}");
    let _ = cut.await;
}

/// Two workers, of which the first has just begun to leave.
async fn one_leaves() -> (TestNode, FakeWorker, FakeWorker) {
    let (first, second) = (
        FakeWorker::start("first", 1).await,
        FakeWorker::start("second", 1).await,
    );
    let control = Arc::new(FakeControl::new(bundle()));
    control.list_workers(vec![first.record(), second.record()]);
    let node = TestNode::start(control).await;
    reports(&[&first, &second]).await;
    (node, first, second)
}

/// Waits for a report of each that was made after this call.
async fn reports(workers: &[&FakeWorker]) {
    for worker in workers {
        let seen = worker.model.lock().reports;
        until("two reports", || worker.model.lock().reports >= seen + 2).await;
    }
}

/// Sends online requests and batch items, all of which come through. Returns
/// how many met the first worker.
async fn load(node: &TestNode, first: &FakeWorker, key: &str) -> usize {
    load_batch(node, first, key).await + load_online(node, first).await
}

async fn load_online(node: &TestNode, first: &FakeWorker) -> usize {
    let before = first.model.lock().arrivals.len();
    for _ in 0..12 {
        assert_eq!(answer(online(node, "p")).await.0, 200);
    }
    first.model.lock().arrivals.len() - before
}

async fn load_batch(node: &TestNode, first: &FakeWorker, key: &str) -> usize {
    let before = first.model.lock().arrivals.len();
    let done = count(node, ItemState::Completed);
    let lines: String = (0..12).map(|at| line(&format!("item-{at}"), "p")).collect();
    assert_eq!(node.submit(key, lines).await.0, 200);
    until("all complete", || {
        count(node, ItemState::Completed) == done + 12
    })
    .await;
    first.model.lock().arrivals.len() - before
}

#[tokio::test]
async fn a_worker_that_reports_it_leaves_gets_nothing_more_until_it_is_started_again() {
    let (node, first, second) = one_leaves().await;
    assert!(load(&node, &first, "a").await > 0);
    first.change(|model| model.leaving = true);
    reports(&[&first, &second]).await;
    assert_eq!(load(&node, &first, "b").await, 0);
    until("control is told", || {
        let signs = node.control.leaving.lock();
        signs
            .iter()
            .any(|sign| sign.worker.as_str() == "first" && sign.incarnation == 1)
    })
    .await;
    first.change(|model| model.leaving = false);
    reports(&[&first, &second]).await;
    assert_eq!(load(&node, &first, "c").await, 0, "the sign sticks");
    first.change(|model| model.incarnation = 2);
    reports(&[&first, &second]).await;
    assert!(load(&node, &first, "d").await > 0, "another start of it");
}

fn refuse_without_a_report(worker: &FakeWorker) {
    worker.change(|model| (model.frozen_report, model.refusal) = (true, Some((503, "leaving"))));
}

#[tokio::test]
async fn one_refusal_of_an_online_request_as_leaving_is_sign_enough() {
    let (node, first, _second) = one_leaves().await;
    refuse_without_a_report(&first);
    assert_eq!(load_online(&node, &first).await, 1);
    assert_eq!(load(&node, &first, "a").await, 0);
}

#[tokio::test]
async fn one_refusal_of_a_batch_item_as_leaving_is_sign_enough() {
    let (node, first, _second) = one_leaves().await;
    refuse_without_a_report(&first);
    let met = load_batch(&node, &first, "a").await;
    assert!(
        met <= 6,
        "only those under way when the first was refused: {met}"
    );
    assert_eq!(load(&node, &first, "b").await, 0);
}

#[tokio::test]
async fn a_sign_that_another_node_saw_counts_for_that_incarnation() {
    let (node, first, second) = one_leaves().await;
    let mut record = first.record();
    record.leaving_incarnation = 1;
    let directory = vec![record, second.record()];
    let watches = node
        .control
        .watches
        .load(std::sync::atomic::Ordering::Relaxed);
    node.control.list_workers(directory);
    until("two watches", || {
        node.control
            .watches
            .load(std::sync::atomic::Ordering::Relaxed)
            >= watches + 2
    })
    .await;
    assert_eq!(load(&node, &first, "a").await, 0);
    first.change(|model| model.incarnation = 2);
    reports(&[&first, &second]).await;
    assert!(load(&node, &first, "b").await > 0);
}
