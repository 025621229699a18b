//! Tests of online requests at their limits: overload, deadlines, disconnected
//! callers, failing engines, tenant quotas, and a node without a connection to
//! the control plane.

mod support;

use std::sync::atomic::Ordering;
use std::sync::Arc;

use pinerill_types::bundle::{Bundle, Service};
use serde_json::json;
use support::proxy::Proxy;
use support::worker::{text, FakeWorker, Stage};
use support::{answer, bundle, error_of, online, until, FakeControl, TestNode};

/// Starts a node with one worker, whose only engine has four slots. `change`
/// modifies the service `fanar`.
async fn start(change: impl FnOnce(&mut Service)) -> (TestNode, FakeWorker) {
    let worker = FakeWorker::start("worker-1", 1).await;
    let control = Arc::new(FakeControl::new(changed(change)));
    control.list_workers(vec![worker.record()]);
    (TestNode::start(control).await, worker)
}

/// Returns the default bundle with the service `fanar` modified by `change`.
fn changed(change: impl FnOnce(&mut Service)) -> Bundle {
    let mut bundle = bundle();
    change(
        bundle
            .services
            .get_mut(&"fanar".into())
            .expect("the service exists"),
    );
    bundle
}

/// Starts requests that occupy all four slots and stay in flight.
async fn fill_slots(node: &TestNode, worker: &FakeWorker) {
    worker.change(|model| model.hold_after = Some(1));
    for _ in 0..4 {
        tokio::spawn(online(node, "full").send());
    }
    until("all slots are occupied", || {
        worker.count(false, Stage::Running) == 4
    })
    .await;
}

// Guards against requests that wait in vain: a full queue must reject the next request
// with a retry delay instead of holding it.
#[tokio::test]
async fn a_full_queue_rejects_requests_immediately() {
    let (node, worker) =
        start(|service| (service.queue_limit, service.queue_ms) = (1, 60_000)).await;
    fill_slots(&node, &worker).await;
    let queued = tokio::spawn(answer(online(&node, "waits")));
    node.until_metric("requests_queued", |value| value >= 1.0)
        .await;
    let rejected = online(&node, "shed")
        .send()
        .await
        .expect("a response arrives");
    assert!(rejected.headers().contains_key("Retry-After"));
    let body = rejected.json().await.expect("JSON");
    assert_eq!(error_of(&body), ("overloaded", "not_run"));
    assert!(!queued.is_finished());
    worker.change(|model| model.hold_after = None);
    assert_eq!(queued.await.expect("ends").0, 200);
    assert_eq!(
        worker.model.lock().arrivals.len(),
        5,
        "the rejected request was never sent to the engine"
    );
}

// Guards against requests that wait longer than `queue_ms` of their service.
#[tokio::test]
async fn a_queued_request_is_rejected_after_the_queue_time_of_its_service() {
    let (node, worker) = start(|service| service.queue_ms = 100).await;
    fill_slots(&node, &worker).await;
    let (status, body) = answer(online(&node, "waits")).await;
    assert_eq!((status, error_of(&body)), (503, ("overloaded", "not_run")));
    assert_eq!(worker.model.lock().arrivals.len(), 4);
}

// Guards against engines that keep working on a request after its deadline.
#[tokio::test]
async fn a_missed_deadline_cancels_the_request_at_its_engine() {
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

// Guards against an unknown outcome when the engine confirms that a request never
// started; callers may safely repeat such a request.
#[tokio::test]
async fn a_missed_deadline_is_not_run_if_the_engine_had_not_started() {
    let (node, worker) = start(|_| ()).await;
    worker.change(|model| model.hold_heads = true);
    let request = online(&node, "p").header("Pinerill-Deadline-Ms", "200");
    let (status, body) = answer(request).await;
    assert_eq!(
        (status, error_of(&body)),
        (504, ("deadline_exceeded", "not_run"))
    );
}

// Guards against engines that keep generating an answer that nobody reads.
#[tokio::test]
async fn a_disconnected_caller_cancels_the_request_at_its_engine() {
    let (node, worker) = start(|_| ()).await;
    worker.change(|model| model.hold_after = Some(1));
    let call = tokio::spawn(online(&node, "p").send());
    until("request runs", || worker.count(false, Stage::Running) == 1).await;
    call.abort();
    until("a cancel", || worker.count(false, Stage::Cancelled) == 1).await;
    node.until_metric("requests_total{end=\"caller_gone\"}", |value| value >= 1.0)
        .await;
    assert_eq!(node.metric("requests_in_flight").await, 0.0);
}

// Guards against queue entries that outlive their caller and take up queue space.
#[tokio::test]
async fn a_disconnected_caller_is_removed_from_the_queue() {
    let (node, worker) = start(|service| service.queue_ms = 60_000).await;
    fill_slots(&node, &worker).await;
    let call = tokio::spawn(online(&node, "p").send());
    node.until_metric("requests_queued", |value| value >= 1.0)
        .await;
    call.abort();
    node.until_metric("requests_queued", |value| value <= 0.0)
        .await;
    assert_eq!(worker.model.lock().arrivals.len(), 4);
}

// Guards against retries that multiply the load while all engines are overloaded.
#[tokio::test]
async fn an_exhausted_retry_budget_ends_the_retries_and_reports_the_failure() {
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
    // 20 retries of the initial budget, and 10 % of the 30 requests.
    let retries = node.metric("retries_total").await;
    assert!((20.0..=23.0).contains(&retries), "{retries}");
    assert_eq!(worker.model.lock().arrivals.len(), 30 + retries as usize);
}

// Guards against the outcome `not_run` after part of the request, its prefill, has run at
// another engine.
#[tokio::test]
async fn a_refusal_after_a_prefill_at_another_engine_has_an_unknown_outcome() {
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

// Guards against a transfer of the KV cache for prompts that are too short to profit.
#[tokio::test]
async fn a_short_prompt_is_prefilled_at_the_decoding_engine() {
    let control = Arc::new(FakeControl::new(bundle()));
    let prefiller = FakeWorker::start("prefiller", 1).await;
    let decoder = FakeWorker::start("decoder", 1).await;
    prefiller.change(|model| model.role = "prefill");
    decoder.change(|model| model.role = "decode");
    control.list_workers(vec![prefiller.record(), decoder.record()]);
    let node = TestNode::start(control).await;
    node.until_metric("workers{state=\"reporting\"}", |value| value >= 2.0)
        .await;
    let prefills = || prefiller.model.lock().arrivals.len();
    assert_eq!(answer(online(&node, &"tap ".repeat(600))).await.0, 200);
    assert_eq!(
        prefills(),
        0,
        "a prompt of 600 tokens is not prefilled elsewhere"
    );
    assert_eq!(answer(online(&node, &"tap ".repeat(6_000))).await.0, 200);
    assert_eq!(
        prefills(),
        1,
        "a prompt of 6,000 tokens is prefilled elsewhere"
    );
}

// Guards against two failures after an engine dies in the middle of an answer: losing an
// answer that another engine could continue, and repeating an at-most-once request.
#[tokio::test]
async fn an_answer_continues_at_another_engine_unless_it_is_at_most_once() {
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
    let at_most_once = online(&node, "once").header("Pinerill-At-Most-Once", "true");
    let at_most_once = tokio::spawn(answer(at_most_once));
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
    let (status, body) = at_most_once.await.expect("ends");
    assert_eq!(
        (status, error_of(&body)),
        (502, ("backend_failed", "unknown"))
    );
    assert_eq!(other.model.lock().came.len(), 1);
}

// Guards against serving with an expired configuration: without the control plane, a node
// must reject requests unless their service has `serve_when_cut_off`.
#[tokio::test]
async fn a_disconnected_node_rejects_requests_unless_the_service_allows_them() {
    let mut bundle = changed(|service| service.serve_when_cut_off = true);
    bundle.policy.configuration_lease_ms = 300;
    let other = bundle
        .services
        .get_mut(&"other".into())
        .expect("the service exists");
    other.serve_when_cut_off = false;
    let worker = FakeWorker::start("worker-1", 1).await;
    let control = Arc::new(FakeControl::new(bundle));
    control.list_workers(vec![worker.record()]);
    let node = TestNode::start(control).await;
    until("reported", || worker.model.lock().reports >= 2).await;
    let lease_bound_request = || {
        let body = json!({"model": "other", "prompt": "p", "max_tokens": 4});
        let request = node.http.post(node.url("/v1/completions"));
        request.bearer_auth("rival-key").json(&body)
    };
    assert_eq!(answer(lease_bound_request()).await.0, 200);
    node.control.cut_off.store(true, Ordering::Relaxed);
    node.until_reason("the bundle is not confirmed").await;
    let rejected = lease_bound_request()
        .send()
        .await
        .expect("a response arrives");
    assert!(rejected.headers().contains_key("Retry-After"));
    let body = rejected.json().await.expect("JSON");
    assert_eq!(error_of(&body), ("configuration_unconfirmed", "not_run"));
    assert_eq!(
        answer(online(&node, "p")).await.0,
        200,
        "this service is served while disconnected"
    );
    let unknown_key_request = node
        .http
        .post(node.url("/v1/completions"))
        .bearer_auth("new-key");
    let (status, body) =
        answer(unknown_key_request.json(&json!({"model": "fanar", "prompt": "p"}))).await;
    assert_eq!(
        (status, error_of(&body).0),
        (503, "configuration_unconfirmed")
    );
    node.control.cut_off.store(false, Ordering::Relaxed);
    node.until_ready(200).await;
    assert_eq!(answer(lease_bound_request()).await.0, 200);
}

// Guards against failed requests after a disconnect: the node must report that it is not
// ready, so that traffic moves away, while it still serves requests.
#[tokio::test]
async fn a_disconnected_node_is_not_ready_before_it_rejects_requests() {
    let mut bundle = bundle();
    // The lease outlasts the test, so only readiness changes.
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

// Guards against one tenant that uses up the capacity of others.
#[tokio::test]
async fn a_tenant_over_its_quota_is_rejected_and_another_is_not() {
    let mut bundle = bundle();
    let crew = bundle
        .tenants
        .get_mut(&"crew".into())
        .expect("the tenant exists");
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
    let in_flight =
        [online(&node, "a"), online(&node, "b")].map(|request| tokio::spawn(answer(request)));
    until("two run", || worker.count(false, Stage::Running) == 2).await;
    let (status, body) = answer(online(&node, "c")).await;
    assert_eq!(
        (status, error_of(&body)),
        (429, ("tenant_concurrency", "not_run"))
    );
    worker.change(|model| model.hold_after = None);
    for call in in_flight {
        assert_eq!(call.await.expect("ends").0, 200);
    }
    assert_eq!(answer(online(&node, "d")).await.0, 200);
    let (status, body) = answer(online(&node, "e")).await;
    assert_eq!((status, error_of(&body)), (429, ("tenant_rate", "not_run")));
    let rival = json!({"model": "fanar", "prompt": "p", "max_tokens": 4});
    let rival = node.http.post(node.url("/v1/completions")).json(&rival);
    assert_eq!(answer(rival.bearer_auth("rival-key")).await.0, 200);
}
