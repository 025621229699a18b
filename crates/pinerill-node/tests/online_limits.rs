//! Online requests that meet limits: overload, deadlines, callers who go,
//! engines that fail, and a node that is cut off.

mod support;

use std::sync::atomic::Ordering;
use std::sync::Arc;

use pinerill_types::bundle::{Bundle, Service};
use serde_json::json;
use support::proxy::Proxy;
use support::worker::{text, FakeWorker, Stage};
use support::{answer, bundle, error_of, online, until, FakeControl, TestNode};

/// A node with one worker of one engine of four slots.
async fn start(change: impl FnOnce(&mut Service)) -> (TestNode, FakeWorker) {
    let worker = FakeWorker::start("worker-1", 1).await;
    let control = Arc::new(FakeControl::new(changed(change)));
    control.list_workers(vec![worker.record()]);
    (TestNode::start(control).await, worker)
}

fn changed(change: impl FnOnce(&mut Service)) -> Bundle {
    let mut bundle = bundle();
    change(bundle.services.get_mut(&"fanar".into()).expect("a service"));
    bundle
}

/// Starts requests that fill all slots and do not end.
async fn fill(node: &TestNode, worker: &FakeWorker) {
    worker.change(|model| model.hold_after = Some(1));
    for _ in 0..4 {
        tokio::spawn(online(node, "full").send());
    }
    until("all slots are taken", || {
        worker.count(false, Stage::Running) == 4
    })
    .await;
}

#[tokio::test]
async fn overload_is_answered_at_once_when_the_queue_is_full() {
    let (node, worker) =
        start(|service| (service.queue_limit, service.queue_ms) = (1, 60_000)).await;
    fill(&node, &worker).await;
    let waits = tokio::spawn(answer(online(&node, "waits")));
    node.until_metric("requests_queued", |value| value >= 1.0)
        .await;
    let refused = online(&node, "shed").send().await.expect("an answer");
    assert!(refused.headers().contains_key("Retry-After"));
    let body = refused.json().await.expect("JSON");
    assert_eq!(error_of(&body), ("overloaded", "not_run"));
    assert!(!waits.is_finished());
    worker.change(|model| model.hold_after = None);
    assert_eq!(waits.await.expect("ends").0, 200);
    assert_eq!(
        worker.model.lock().arrivals.len(),
        5,
        "the shed one was never sent"
    );
}

#[tokio::test]
async fn a_wait_ends_with_the_patience_of_the_service() {
    let (node, worker) = start(|service| service.queue_ms = 100).await;
    fill(&node, &worker).await;
    let (status, body) = answer(online(&node, "waits")).await;
    assert_eq!((status, error_of(&body)), (503, ("overloaded", "not_run")));
    assert_eq!(worker.model.lock().arrivals.len(), 4);
}

#[tokio::test]
async fn a_deadline_ends_the_request_at_its_engine() {
    let (node, worker) = start(|_| ()).await;
    worker.change(|model| model.hold_after = Some(1));
    let request = online(&node, "p").header("Pinerill-Deadline-Ms", "200");
    let (status, body) = answer(request).await;
    assert_eq!(
        (status, error_of(&body)),
        (504, ("deadline_exceeded", "unknown"))
    );
    assert_eq!(worker.count(false, Stage::Cancelled), 1);
}

#[tokio::test]
async fn a_deadline_before_the_start_is_not_run_when_the_engine_says_so() {
    let (node, worker) = start(|_| ()).await;
    worker.change(|model| model.hold_heads = true);
    let request = online(&node, "p").header("Pinerill-Deadline-Ms", "200");
    let (status, body) = answer(request).await;
    assert_eq!(
        (status, error_of(&body)),
        (504, ("deadline_exceeded", "not_run"))
    );
}

#[tokio::test]
async fn a_caller_who_goes_ends_the_request_at_its_engine() {
    let (node, worker) = start(|_| ()).await;
    worker.change(|model| model.hold_after = Some(1));
    let gone = tokio::spawn(online(&node, "p").send());
    until("it runs", || worker.count(false, Stage::Running) == 1).await;
    gone.abort();
    until("it is ended", || worker.count(false, Stage::Cancelled) == 1).await;
    node.until_metric("requests_total{end=\"caller_gone\"}", |value| value >= 1.0)
        .await;
    assert_eq!(node.metric("requests_in_flight").await, 0.0);
}

#[tokio::test]
async fn a_caller_who_goes_while_waiting_leaves_the_queue() {
    let (node, worker) = start(|service| service.queue_ms = 60_000).await;
    fill(&node, &worker).await;
    let gone = tokio::spawn(online(&node, "p").send());
    node.until_metric("requests_queued", |value| value >= 1.0)
        .await;
    gone.abort();
    node.until_metric("requests_queued", |value| value <= 0.0)
        .await;
    assert_eq!(worker.model.lock().arrivals.len(), 4);
}

#[tokio::test]
async fn retries_end_with_the_budget_and_the_answer_goes_out() {
    let control = Arc::new(FakeControl::new(changed(|service| {
        service.retry_budget_percent = 10
    })));
    let worker = FakeWorker::start("worker-1", 4).await;
    control.list_workers(vec![worker.record()]);
    let node = TestNode::start(control).await;
    worker.change(|model| model.refusal = Some((429, "queue_full")));
    for _ in 0..30 {
        let (status, body) = answer(online(&node, "p")).await;
        assert_eq!((status, error_of(&body)), (503, ("overloaded", "not_run")));
    }
    // 20 saved up, and a tenth of the 30 fresh ones.
    let retries = node.metric("retries_total").await;
    assert!((20.0..=23.0).contains(&retries), "{retries}");
    assert_eq!(worker.model.lock().arrivals.len(), 30 + retries as usize);
}

#[tokio::test]
async fn a_refusal_after_a_prefill_elsewhere_is_not_called_not_run() {
    let control = Arc::new(FakeControl::new(changed(|service| {
        service.retry_budget_percent = 0
    })));
    let prefiller = FakeWorker::start("prefiller", 1).await;
    let decoder = FakeWorker::start("decoder", 1).await;
    prefiller.change(|model| model.role = "prefill");
    decoder.change(|model| (model.role, model.refusal) = ("decode", Some((429, "queue_full"))));
    control.list_workers(vec![prefiller.record(), decoder.record()]);
    let node = TestNode::start(control).await;
    node.until_metric("workers{state=\"reporting\"}", |value| value >= 2.0)
        .await;
    let (_, body) = answer(online(&node, "short")).await;
    assert_eq!(error_of(&body), ("overloaded", "not_run"));
    let (_, body) = answer(online(&node, &"long".repeat(1_000))).await;
    assert_eq!(prefiller.model.lock().arrivals.len(), 1);
    assert_eq!(error_of(&body), ("overloaded", "unknown"));
}

#[tokio::test]
async fn a_prompt_of_a_few_prefill_steps_is_prefilled_where_it_decodes() {
    let control = Arc::new(FakeControl::new(bundle()));
    let prefiller = FakeWorker::start("prefiller", 1).await;
    let decoder = FakeWorker::start("decoder", 1).await;
    prefiller.change(|model| model.role = "prefill");
    decoder.change(|model| model.role = "decode");
    control.list_workers(vec![prefiller.record(), decoder.record()]);
    let node = TestNode::start(control).await;
    node.until_metric("workers{state=\"reporting\"}", |value| value >= 2.0)
        .await;
    let arrived = || prefiller.model.lock().arrivals.len();
    assert_eq!(answer(online(&node, &"tap ".repeat(600))).await.0, 200);
    assert_eq!(arrived(), 0, "600 tokens");
    assert_eq!(answer(online(&node, &"tap ".repeat(6_000))).await.0, 200);
    assert_eq!(arrived(), 1, "6,000 tokens");
}

#[tokio::test]
async fn a_stream_goes_on_elsewhere_when_its_engine_dies_unless_it_must_not() {
    let control = Arc::new(FakeControl::new(bundle()));
    let (dying, other) = (
        FakeWorker::start("dying", 1).await,
        FakeWorker::start("other", 1).await,
    );
    let proxy = Proxy::start(dying.address).await;
    control.list_workers(vec![dying.record_at(proxy.address)]);
    let node = TestNode::start(control).await;
    dying.change(|model| model.hold_after = Some(2));
    let repeatable = tokio::spawn(answer(online(&node, "again")));
    let once = online(&node, "once").header("Pinerill-At-Most-Once", "true");
    let once = tokio::spawn(answer(once));
    until("both run", || dying.count(false, Stage::Running) == 2).await;
    node.control
        .list_workers(vec![dying.record_at(proxy.address), other.record()]);
    node.until_metric("workers{state=\"reporting\"}", |value| value >= 2.0)
        .await;
    proxy.gone();
    let (status, body) = repeatable.await.expect("ends");
    assert_eq!(
        (status, body["choices"][0]["text"].as_str()),
        (200, Some(&*text("again", 4)))
    );
    let (status, body) = once.await.expect("ends");
    assert_eq!(
        (status, error_of(&body)),
        (502, ("backend_failed", "unknown"))
    );
    assert_eq!(other.model.lock().came.len(), 1);
}

#[tokio::test]
async fn a_node_cut_off_answers_not_run_at_once_unless_its_service_goes_on() {
    let mut bundle = changed(|service| service.serve_when_cut_off = true);
    bundle.policy.configuration_lease_ms = 300;
    let other = bundle.services.get_mut(&"other".into()).expect("a service");
    other.serve_when_cut_off = false;
    let worker = FakeWorker::start("worker-1", 1).await;
    let control = Arc::new(FakeControl::new(bundle));
    control.list_workers(vec![worker.record()]);
    let node = TestNode::start(control).await;
    until("reported", || worker.model.lock().reports >= 2).await;
    let strict = || {
        let body = json!({"model": "other", "prompt": "p", "max_tokens": 4});
        let request = node.http.post(node.url("/v1/completions"));
        request.bearer_auth("rival-key").json(&body)
    };
    assert_eq!(answer(strict()).await.0, 200);
    node.control.cut_off.store(true, Ordering::Relaxed);
    node.until_reason("the bundle is not confirmed").await;
    let refused = strict().send().await.expect("an answer");
    assert!(refused.headers().contains_key("Retry-After"));
    let body = refused.json().await.expect("JSON");
    assert_eq!(error_of(&body), ("configuration_unconfirmed", "not_run"));
    assert_eq!(
        answer(online(&node, "p")).await.0,
        200,
        "this service goes on"
    );
    let stranger = node
        .http
        .post(node.url("/v1/completions"))
        .bearer_auth("new-key");
    let (status, body) = answer(stranger.json(&json!({"model": "fanar", "prompt": "p"}))).await;
    assert_eq!(
        (status, error_of(&body).0),
        (503, "configuration_unconfirmed")
    );
    node.control.cut_off.store(false, Ordering::Relaxed);
    node.until_ready(200).await;
    assert_eq!(answer(strict()).await.0, 200);
}

#[tokio::test]
async fn a_node_cut_off_is_not_ready_before_it_refuses() {
    let mut bundle = bundle();
    // Longer than the test: what is seen is the end of readiness only.
    bundle.policy.configuration_lease_ms = 8_000;
    let worker = FakeWorker::start("worker-1", 1).await;
    let control = Arc::new(FakeControl::new(bundle));
    control.list_workers(vec![worker.record()]);
    let node = TestNode::start(control).await;
    until("reported", || worker.model.lock().reports >= 2).await;
    node.until_ready(200).await;
    node.control.cut_off.store(true, Ordering::Relaxed);
    node.until_reason("the bundle's confirmation runs out")
        .await;
    assert_eq!(answer(online(&node, "p")).await.0, 200);
    node.control.cut_off.store(false, Ordering::Relaxed);
    node.until_ready(200).await;
}

#[tokio::test]
async fn one_tenant_in_excess_is_refused_and_another_is_not() {
    let mut bundle = bundle();
    let crew = bundle.tenants.get_mut(&"crew".into()).expect("a tenant");
    (
        crew.requests_per_second,
        crew.burst,
        crew.concurrent_requests,
    ) = (0.001, 3, 2);
    let worker = FakeWorker::start("worker-1", 1).await;
    let control = Arc::new(FakeControl::new(bundle));
    control.list_workers(vec![worker.record()]);
    let node = TestNode::start(control).await;
    worker.change(|model| model.hold_after = Some(1));
    let held = [online(&node, "a"), online(&node, "b")].map(|one| tokio::spawn(answer(one)));
    until("two run", || worker.count(false, Stage::Running) == 2).await;
    let (status, body) = answer(online(&node, "c")).await;
    assert_eq!(
        (status, error_of(&body)),
        (429, ("tenant_concurrency", "not_run"))
    );
    worker.change(|model| model.hold_after = None);
    for one in held {
        assert_eq!(one.await.expect("ends").0, 200);
    }
    assert_eq!(answer(online(&node, "d")).await.0, 200);
    let (status, body) = answer(online(&node, "e")).await;
    assert_eq!((status, error_of(&body)), (429, ("tenant_rate", "not_run")));
    let rival = json!({"model": "fanar", "prompt": "p", "max_tokens": 4});
    let rival = node.http.post(node.url("/v1/completions")).json(&rival);
    assert_eq!(answer(rival.bearer_auth("rival-key")).await.0, 200);
}
