//! Tests batch items end to end on one node, with simulated workers and a simple
//! model of the job groups.

mod support;

use std::sync::Arc;

use pinerill_types::bundle::Bundle;
use pinerill_types::job::{AttemptEnd, ItemState};
use pinerill_wire::message::Request;
use serde_json::{json, Value};
use support::control::Fault;
use support::proxy::Proxy;
use support::worker::{text, FakeWorker, Stage};
use support::{bundle, line, once, until, FakeControl, TestNode, KEY};

/// Starts a node with one simulated worker that has one engine.
async fn start_node(bundle: Bundle) -> (TestNode, FakeWorker) {
    let worker = FakeWorker::start("worker-1", 1).await;
    let control = Arc::new(FakeControl::new(bundle));
    control.list_workers(vec![worker.record()]);
    (TestNode::start(control).await, worker)
}

fn bundle_with_tail_weight(tail_weight: f64) -> Bundle {
    let mut bundle = bundle();
    let service = bundle.services.get_mut(&"fanar".into()).expect("a service");
    service.sharing.tail_weight = tail_weight;
    bundle
}

fn lines(count: usize) -> String {
    (0..count)
        .map(|at| line(&format!("item-{at}"), &format!("p{at}")))
        .collect()
}

fn count_items(node: &TestNode, state: ItemState) -> usize {
    node.control.jobs.lock().count(state)
}

/// Returns the ends of all attempts that were reported, including reports that
/// the group did not count.
fn reports(node: &TestNode) -> Vec<AttemptEnd> {
    let jobs = node.control.jobs.lock();
    let items = jobs.jobs.values().flat_map(|job| &job.items);
    items.flat_map(|item| item.reports.clone()).collect()
}

/// Sends an online request in a background task, which returns the status and the
/// body of its response.
fn send_online(node: &TestNode) -> tokio::task::JoinHandle<(u16, Value)> {
    let body = json!({"model": "fanar", "prompt": "crew", "max_tokens": 4});
    let request = node.http.post(node.url("/v1/completions"));
    let request = request.bearer_auth(KEY).json(&body);
    tokio::spawn(support::answer(request))
}

#[tokio::test]
async fn every_item_of_a_job_completes_once_with_its_own_answer() {
    let (node, worker) = start_node(bundle()).await;
    node.submit("k", lines(40)).await;
    until("all complete", || {
        count_items(&node, ItemState::Completed) == 40
    })
    .await;
    let jobs = node.control.jobs.lock();
    for item in jobs.jobs.values().flat_map(|job| &job.items) {
        let answer: Value = serde_json::from_str(&item.body).expect("JSON");
        let prompt = item.input.custom_id.replace("item-", "p");
        assert_eq!(answer["choices"][0]["text"], text(&prompt, 4));
        assert_eq!(
            (answer["model"].as_str(), item.reports.len()),
            (Some("fanar"), 1)
        );
    }
    assert_eq!(worker.model.lock().arrivals.len(), 40);
}

#[tokio::test]
async fn online_request_pauses_batch_items_which_resume_afterwards() {
    let (node, worker) = start_node(bundle_with_tail_weight(1.0)).await;
    worker.change(|model| model.hold_after = Some(1));
    // At tail weight 1.0 one of the four slots of an idle engine stays free for the
    // next arrival.
    node.submit("k", lines(3)).await;
    until("three run", || worker.count(true, Stage::Running) == 3).await;
    let answer = send_online(&node);
    until("all are paused", || worker.count(true, Stage::Paused) == 3).await;
    assert_eq!(worker.count(true, Stage::Cancelled), 0);
    worker.change(|model| model.hold_after = None);
    assert_eq!(answer.await.expect("ends").0, 200);
    until("all complete", || {
        count_items(&node, ItemState::Completed) == 3
    })
    .await;
    assert_eq!(
        worker.model.lock().arrivals.len(),
        4,
        "a request was sent twice"
    );
    assert!(node.metric("batch_yields_total").await >= 3.0);
    assert!(node.metric("batch_yield_seconds_count").await >= 3.0);
}

#[tokio::test]
async fn online_load_and_preemptions_reported_by_the_engine_shrink_the_window() {
    let (node, worker) = start_node(bundle_with_tail_weight(0.5)).await;
    worker.change(|model| model.hold_after = Some(1));
    node.submit("k", lines(4)).await;
    until("four run", || worker.count(true, Stage::Running) == 4).await;
    worker.change(|model| model.online_elsewhere = 3);
    until("one runs and one waits at the engine", || {
        worker.count(true, Stage::Running) == 2
    })
    .await;
    worker.change(|model| model.preemptions = 1);
    until("none waits there", || {
        worker.count(true, Stage::Paused) == 3
    })
    .await;
    worker.change(|model| model.online_elsewhere = 4);
    until("none runs", || worker.count(true, Stage::Paused) == 4).await;
}

/// A pause that reaches the engine before its request finds nothing to pause.
/// Without a retry the item would keep running beside the online request.
#[tokio::test]
async fn pause_that_overtakes_its_request_is_retried_until_applied() {
    let (node, worker) = start_node(bundle_with_tail_weight(1.0)).await;
    worker.change(|model| (model.hold_after, model.hold_heads) = (Some(1), true));
    node.submit("k", lines(1)).await;
    until("it is sent", || worker.model.lock().arrivals.len() == 1).await;
    // Removes the request from the engine, as if it had not arrived yet.
    let (id, came) = worker
        .model
        .lock()
        .came
        .pop_first()
        .expect("a request at the engine");
    let answer = send_online(&node);
    until("the window closes", || {
        worker.model.lock().arrivals.len() == 2
    })
    .await;
    node.until_metric("batch_yields_total", |value| value >= 1.0)
        .await;
    worker.change(|model| {
        model.came.insert(id.clone(), came);
        model.hold_heads = false;
    });
    until("it is paused", || {
        worker.model.lock().came[&id].stage == Stage::Paused
    })
    .await;
    worker.change(|model| model.hold_after = None);
    assert_eq!(answer.await.expect("ends").0, 200);
    until("it completes", || {
        count_items(&node, ItemState::Completed) == 1
    })
    .await;
}

#[tokio::test]
async fn broken_stream_is_resumed_without_a_second_request() {
    let (node, worker) = start_node(bundle()).await;
    worker.change(|model| model.hold_after = Some(2));
    node.submit("k", lines(2) + &once("once", "p")).await;
    until("three run", || worker.count(true, Stage::Running) == 3).await;
    worker.change(|model| (model.cuts, model.hold_after) = (1, None));
    until("all complete", || {
        count_items(&node, ItemState::Completed) == 3
    })
    .await;
    assert_eq!(worker.model.lock().arrivals.len(), 3);
}

#[tokio::test]
async fn engine_crash_moves_repeatable_items_and_leaves_at_most_once_items_indeterminate() {
    let control = Arc::new(FakeControl::new(bundle()));
    let (dying, other) = (
        FakeWorker::start("dying", 1).await,
        FakeWorker::start("other", 1).await,
    );
    let proxy = Proxy::start(dying.address).await;
    control.list_workers(vec![dying.record_at(proxy.address)]);
    let node = TestNode::start(control).await;
    dying.change(|model| model.hold_after = Some(2));
    node.submit("k", line("item-1", "p1") + &once("once", "p2"))
        .await;
    until("both run", || dying.count(true, Stage::Running) == 2).await;
    until("tokens were sent", || {
        dying.model.lock().came.values().all(|one| one.sent == 2)
    })
    .await;
    node.control
        .list_workers(vec![dying.record_at(proxy.address), other.record()]);
    proxy.gone();
    until("one is indeterminate", || {
        count_items(&node, ItemState::Indeterminate) == 1
    })
    .await;
    until("one completes", || {
        count_items(&node, ItemState::Completed) == 1
    })
    .await;
    let model = other.model.lock();
    assert_eq!(model.came.len(), 1, "the at-most-once item was sent again");
    let went_on = model.came.values().next().expect("one");
    assert_eq!((went_on.prompt.as_str(), went_on.continued_from), ("p1", 2));
}

#[tokio::test]
async fn rejected_at_most_once_item_is_retried() {
    let control = Arc::new(FakeControl::new(bundle()));
    let worker = FakeWorker::start("worker-1", 2).await;
    control.list_workers(vec![worker.record()]);
    let node = TestNode::start(control).await;
    worker.change(|model| model.refusal = Some((429, "queue_full")));
    node.submit("k", once("once", "p")).await;
    until("it is refused", || worker.model.lock().arrivals.len() >= 2).await;
    worker.change(|model| model.refusal = None);
    until("it completes", || {
        count_items(&node, ItemState::Completed) == 1
    })
    .await;
    assert_eq!(
        worker.model.lock().came.len(),
        1,
        "the item ran more than once"
    );
}

/// An at-most-once item whose connections all break before the engine begins it
/// may run elsewhere only after a cancel has confirmed that it never began.
#[tokio::test]
async fn at_most_once_item_cut_off_before_its_start_is_cancelled_and_runs_once_elsewhere() {
    let control = Arc::new(FakeControl::new(bundle()));
    let worker = FakeWorker::start("worker-1", 2).await;
    let proxy = Proxy::start(worker.address).await;
    control.list_workers(vec![worker.record_at(proxy.address)]);
    let node = TestNode::start(control).await;
    worker.change(|model| (model.hold_heads, model.hold_after) = (true, Some(0)));
    node.submit("k", once("once", "p")).await;
    until("it is sent", || worker.model.lock().arrivals.len() == 1).await;
    proxy.cut();
    for resumed in 1..=4 {
        node.until_metric("resumes_total", |value| value >= f64::from(resumed))
            .await;
        worker.change(|model| model.cuts += 1);
    }
    until("it is cancelled", || {
        worker.count(true, Stage::Cancelled) == 1
    })
    .await;
    worker.change(|model| (model.hold_heads, model.hold_after) = (false, None));
    until("it completes", || {
        count_items(&node, ItemState::Completed) == 1
    })
    .await;
    assert_eq!(worker.count(true, Stage::Finished), 1);
}

#[tokio::test]
async fn item_rejected_as_a_bad_request_ends_as_failed() {
    let (node, worker) = start_node(bundle()).await;
    worker.change(|model| model.refusal = Some((400, "bad_request")));
    node.submit("k", lines(1)).await;
    until("it fails", || count_items(&node, ItemState::Failed) == 1).await;
    let ends = reports(&node);
    let AttemptEnd::Failed(error) = &ends[0] else {
        panic!("{ends:?}");
    };
    let error: Value = serde_json::from_str(error).expect("JSON");
    assert_eq!(
        (error["step"].as_str(), error["peer"].as_str()),
        (Some("start"), Some("worker-1/0"))
    );
}

/// A request whose response is lost may have been carried out by the group. A
/// retry must neither lease an item twice nor use up an attempt.
#[tokio::test]
async fn lost_group_responses_neither_lose_nor_repeat_items() {
    let (node, worker) = start_node(bundle()).await;
    let is_lease = |request: &Request| matches!(request, Request::LeaseItems(_));
    let is_end = |request: &Request| matches!(request, Request::EndAttempts(_));
    for fault in [Fault::AnswerLost, Fault::NotSent, Fault::AnswerLost] {
        node.control.fault(is_lease, fault);
        node.control.fault(is_end, fault);
    }
    node.submit("k", lines(6) + &once("once", "p")).await;
    until("all complete", || {
        count_items(&node, ItemState::Completed) == 7
    })
    .await;
    assert_eq!(worker.model.lock().arrivals.len(), 7);
    let jobs = node.control.jobs.lock();
    let mut items = jobs.jobs.values().flat_map(|job| &job.items);
    assert!(items.all(|item| item.attempt == 1));
}

#[tokio::test]
async fn cancelling_a_job_ends_its_items_at_the_engine_and_sends_no_more() {
    let (node, worker) = start_node(bundle()).await;
    worker.change(|model| model.hold_after = Some(1));
    let job = node.submit("k", lines(30)).await.1;
    // The engine has four slots and holds one more item in its queue.
    until("the engine is full", || {
        worker.count(true, Stage::Running) == 5
    })
    .await;
    let path = format!("/v1/batches/{}/cancel", job["id"].as_str().expect("an id"));
    assert_eq!(node.post(&path).await.1["state"], "cancelled");
    let sent = worker.model.lock().arrivals.len();
    until("all are ended there", || {
        worker.count(true, Stage::Running) == 0
    })
    .await;
    assert_eq!(worker.model.lock().arrivals.len(), sent);
    assert_eq!(worker.count(true, Stage::Cancelled), sent);
    let completed = |end: &AttemptEnd| matches!(end, AttemptEnd::Completed(_));
    assert!(!reports(&node).iter().any(completed));
}
