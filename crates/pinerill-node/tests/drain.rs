//! Guards the draining of a node (requests cut or repeated, leases not returned)
//! and the handling of workers that leave (work still sent to them).

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

/// Waits for the node to stop and returns the result its process would end with.
async fn wait_for_stop(mut node: TestNode) -> Result<(), RunError> {
    let ended = (&mut node.task).await.expect("no panic");
    ended.map_err(|error| error.downcast().expect("an error of the stop"))
}

fn count(node: &TestNode, state: ItemState) -> usize {
    node.control.jobs.lock().count(state)
}

#[tokio::test]
async fn a_draining_node_rejects_new_requests_and_finishes_those_in_flight() {
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
    assert!(wait_for_stop(node).await.is_ok());
}

#[tokio::test]
async fn a_node_keeps_serving_for_the_lead_time_after_it_reports_draining() {
    let worker = FakeWorker::start("worker-1", 1).await;
    let control = Arc::new(FakeControl::new(bundle()));
    control.list_workers(vec![worker.record()]);
    // The lead time is longer than the test, so only the second signal ends it.
    let node = TestNode::start_with(control, |settings| settings.drain_lead_ms = 600_000).await;
    until("reported", || worker.model.lock().reports >= 2).await;
    node.signals.planned.cancel();
    node.until_ready(503).await;
    assert_eq!(node.readiness().await.1, "draining\n");
    assert_eq!(answer(online(&node, "p")).await.0, 200);
    let batch = node.submit("k", line("a", "p")).await;
    assert_eq!(batch.0, 200);
    node.signals.forced.cancel();
    assert!(wait_for_stop(node).await.is_ok());
}

/// Guards against a drain that loses work or runs it twice: a leased item that may
/// be repeated is returned, one that must not be repeated finishes.
#[tokio::test]
async fn draining_returns_leases_and_finishes_at_most_once_items() {
    let (node, worker) = start().await;
    let control = node.control.clone();
    node.submit("k", line("a", "p") + &once("once", "q")).await;
    until("both run", || worker.count(true, Stage::Running) == 2).await;
    let blocker = tokio::spawn(answer(online(&node, "crew")));
    // One of the four slots is free, and the engine has preempted.
    worker.change(|model| (model.online_elsewhere, model.preemptions) = (2, 1));
    until("one is paused", || worker.count(true, Stage::Paused) == 1).await;
    node.signals.planned.cancel();
    until("one item is cancelled and one runs", || {
        let cancelled = worker.count(true, Stage::Cancelled);
        cancelled == 1 && worker.count(true, Stage::Running) == 1
    })
    .await;
    worker.change(|model| model.hold_after = None);
    assert_eq!(blocker.await.expect("ends").0, 200);
    assert!(wait_for_stop(node).await.is_ok());
    let jobs = control.jobs.lock();
    let items: Vec<_> = jobs.jobs.values().flat_map(|job| &job.items).collect();
    assert_eq!(items[0].state, ItemState::Pending);
    assert_eq!(items[1].state, ItemState::Completed);
}

/// Guards against a node that stops listening while an item that must not be
/// repeated still runs: callers would get a refused connection, not `draining`.
#[tokio::test]
async fn draining_waits_for_an_at_most_once_item() {
    let (node, worker) = start().await;
    let control = node.control.clone();
    node.submit("k", once("once", "q")).await;
    until("it runs", || worker.count(true, Stage::Running) == 1).await;
    node.signals.planned.cancel();
    // After these reports, a node with nothing in flight would have closed its
    // listener.
    for _ in 0..20 {
        wait_for_reports(&[&worker]).await;
    }
    let refused = answer(online(&node, "p")).await;
    assert_eq!(error_of(&refused.1), ("draining", "not_run"));
    worker.change(|model| model.hold_after = None);
    assert!(wait_for_stop(node).await.is_ok());
    assert_eq!(control.jobs.lock().count(ItemState::Completed), 1);
}

/// Guards against an item that stays leased to a stopped node. It happens when the
/// control group grants a lease and the answer to the node is lost.
#[tokio::test]
async fn draining_returns_a_lease_whose_answer_was_lost() {
    let (node, _worker) = start().await;
    let control = node.control.clone();
    let is_lease = |request: &Request| matches!(request, Request::LeaseItems(_));
    for _ in 0..3 {
        control.fault(is_lease, support::control::Fault::AnswerLost);
    }
    node.submit("k", once("once", "p")).await;
    until("it is leased", || count(&node, ItemState::Leased) == 1).await;
    node.signals.planned.cancel();
    assert!(wait_for_stop(node).await.is_ok());
    assert_eq!(control.jobs.lock().count(ItemState::Pending), 1);
}

#[tokio::test]
async fn a_second_signal_stops_the_node_and_reports_the_number_of_cut_requests() {
    let (node, worker) = start().await;
    node.submit("k", once("once", "q")).await;
    until("an item runs", || worker.count(true, Stage::Running) == 1).await;
    let cut = tokio::spawn(online(&node, "p").send());
    until("both run", || worker.count(false, Stage::Running) == 1).await;
    node.signals.planned.cancel();
    node.until_ready(503).await;
    node.signals.forced.cancel();
    let ended = wait_for_stop(node).await;
    assert!(matches!(ended, Err(RunError::Cut { cut: 2 })), "{ended:?}");
    let _ = cut.await;
}

#[tokio::test]
async fn the_drain_limit_stops_the_node_and_reports_the_number_of_cut_requests() {
    let worker = FakeWorker::start("worker-1", 1).await;
    let control = Arc::new(FakeControl::new(bundle()));
    control.list_workers(vec![worker.record()]);
    let node = TestNode::start_with(control, |settings| settings.drain_ms = 300).await;
    worker.change(|model| model.hold_after = Some(1));
    let cut = tokio::spawn(online(&node, "p").send());
    until("it runs", || worker.count(false, Stage::Running) == 1).await;
    node.signals.planned.cancel();
    let ended = wait_for_stop(node).await;
    assert!(matches!(ended, Err(RunError::Cut { cut: 1 })), "{ended:?}");
    let _ = cut.await;
}

/// Starts a node with two workers, both of which have reported. The tests then
/// let the first one leave.
async fn start_with_two_workers() -> (TestNode, FakeWorker, FakeWorker) {
    let (first, second) = (
        FakeWorker::start("first", 1).await,
        FakeWorker::start("second", 1).await,
    );
    let control = Arc::new(FakeControl::new(bundle()));
    control.list_workers(vec![first.record(), second.record()]);
    let node = TestNode::start(control).await;
    wait_for_reports(&[&first, &second]).await;
    (node, first, second)
}

/// Waits for two more reports of each worker, so that at least one was made after
/// this call.
async fn wait_for_reports(workers: &[&FakeWorker]) {
    for worker in workers {
        let seen = worker.model.lock().reports;
        until("two reports", || worker.model.lock().reports >= seen + 2).await;
    }
}

/// Sends online requests and batch items, all of which must succeed. Returns how
/// many of them reached the first worker.
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

/// Guards against a worker that gets work again because a later report of the
/// same incarnation omits that it is leaving.
#[tokio::test]
async fn a_worker_that_reports_leaving_gets_no_work_until_its_next_incarnation() {
    let (node, first, second) = start_with_two_workers().await;
    assert!(load(&node, &first, "a").await > 0);
    first.change(|model| model.leaving = true);
    wait_for_reports(&[&first, &second]).await;
    assert_eq!(load(&node, &first, "b").await, 0);
    until("control has the leaving report", || {
        let signs = node.control.leaving.lock();
        signs
            .iter()
            .any(|sign| sign.worker.as_str() == "first" && sign.incarnation == 1)
    })
    .await;
    first.change(|model| model.leaving = false);
    wait_for_reports(&[&first, &second]).await;
    assert_eq!(load(&node, &first, "c").await, 0, "still leaving");
    first.change(|model| model.incarnation = 2);
    wait_for_reports(&[&first, &second]).await;
    assert!(load(&node, &first, "d").await > 0, "next incarnation");
}

fn reject_as_leaving_without_a_report(worker: &FakeWorker) {
    worker.change(|model| (model.frozen_report, model.refusal) = (true, Some((503, "leaving"))));
}

/// Guards against further requests to a leaving worker whose report has not yet
/// arrived: the first rejection must be enough.
#[tokio::test]
async fn one_online_request_rejected_as_leaving_stops_routing_to_the_worker() {
    let (node, first, _second) = start_with_two_workers().await;
    reject_as_leaving_without_a_report(&first);
    assert_eq!(load_online(&node, &first).await, 1);
    assert_eq!(load(&node, &first, "a").await, 0);
}

#[tokio::test]
async fn one_batch_item_rejected_as_leaving_stops_routing_to_the_worker() {
    let (node, first, _second) = start_with_two_workers().await;
    reject_as_leaving_without_a_report(&first);
    let met = load_batch(&node, &first, "a").await;
    assert!(
        met <= 6,
        "only those in flight when the first was rejected: {met}"
    );
    assert_eq!(load(&node, &first, "b").await, 0);
}

#[tokio::test]
async fn a_leaving_report_from_another_node_applies_to_that_incarnation() {
    let (node, first, second) = start_with_two_workers().await;
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
    wait_for_reports(&[&first, &second]).await;
    assert!(load(&node, &first, "b").await > 0);
}
