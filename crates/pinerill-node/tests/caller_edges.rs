//! Tests of invalid and unauthorized calls: each is rejected with a specific
//! error, and requests in flight are not affected.

mod support;

use std::sync::Arc;

use reqwest::RequestBuilder;
use serde_json::{json, Value};
use support::worker::{FakeWorker, Stage};
use support::{answer, bundle, line, online, until, FakeControl, TestNode, KEY};

const KIB: usize = 1_024;

/// Starts a node with one worker and a limit of 8 KiB for request bodies and
/// batches.
async fn start() -> (TestNode, FakeWorker) {
    let worker = FakeWorker::start("worker-1", 1).await;
    let control = Arc::new(FakeControl::new(bundle()));
    control.list_workers(vec![worker.record()]);
    let limits = |settings: &mut pinerill_types::settings::NodeSettings| {
        settings.body_limit_kib = 8;
        settings.batch_limit_kib = 8;
    };
    (TestNode::start_with(control, limits).await, worker)
}

/// A call and the expected HTTP status, error code and failed step.
struct Case {
    request: RequestBuilder,
    expected: (u16, &'static str, &'static str),
}

/// Builds a case from the request and the expected status, code and step.
fn case(request: RequestBuilder, status: u16, code: &'static str, step: &'static str) -> Case {
    Case {
        request,
        expected: (status, code, step),
    }
}

/// Returns a request with a valid API key.
fn post(node: &TestNode, path: &str) -> RequestBuilder {
    node.http.post(node.url(path)).bearer_auth(KEY)
}

/// Returns a valid completion body for `service`.
fn completion_body(service: &str) -> String {
    json!({"model": service, "prompt": "p"}).to_string()
}

fn invalid_bodies(node: &TestNode) -> Vec<Case> {
    let mut cases = Vec::new();
    for path in ["/v1/completions", "/v1/chat/completions"] {
        let oversized = "x".repeat(8 * KIB + 1);
        let body = |body: String| post(node, path).body(body);
        cases.push(case(body(oversized), 413, "body_too_large", "read body"));
        for text in ["", "not JSON", "[]", "{\"model\":", "\u{0}"] {
            cases.push(case(body(text.into()), 400, "invalid_json", "read body"));
        }
        for text in ["{}", r#"{"model":7}"#, r#"{"model":"fanar"}"#] {
            cases.push(case(body(text.into()), 400, "invalid_request", "read body"));
        }
    }
    let body = |body: String| post(node, "/v1/completions").body(body);
    cases.push(case(
        body(completion_body("fanal")),
        404,
        "unknown_service",
        "find service",
    ));
    cases.push(case(
        body(completion_body("other")),
        403,
        "service_not_allowed",
        "find service",
    ));
    cases
}

fn invalid_batches(node: &TestNode) -> Vec<Case> {
    let submit = |body: String| {
        let request = post(node, "/v1/batches").body(body);
        request.header("Idempotency-Key", "k")
    };
    let oversized = line("a", &"x".repeat(8 * KIB));
    let unknown_service = line("a", "p").replace("fanar", "fanal");
    let without_key = post(node, "/v1/batches").body(line("a", "p"));
    let (code, step) = ("missing_idempotency_key", "read headers");
    vec![
        case(submit(oversized), 413, "body_too_large", "read body"),
        case(
            submit("not JSON\n".into()),
            400,
            "invalid_json",
            "read lines",
        ),
        case(
            submit(unknown_service),
            404,
            "unknown_service",
            "find service",
        ),
        case(without_key, 400, code, step),
    ]
}

/// Returns the API calls with a missing, unknown or malformed API key.
fn unauthenticated_calls(node: &TestNode) -> Vec<Case> {
    let calls = [
        node.http
            .post(node.url("/v1/completions"))
            .body(completion_body("fanar")),
        node.http
            .post(node.url("/v1/chat/completions"))
            .body(completion_body("fanar")),
        node.http.get(node.url("/v1/models")),
        node.http
            .post(node.url("/v1/batches"))
            .header("Idempotency-Key", "k")
            .body(line("a", "p")),
        node.http.get(node.url("/v1/batches")),
        node.http.get(node.url("/v1/batches/job-1-1")),
        node.http.get(node.url("/v1/batches/job-1-1/output")),
        node.http.post(node.url("/v1/batches/job-1-1/cancel")),
    ];
    let mut cases = Vec::new();
    for call in calls {
        let copy = || call.try_clone().expect("the body is in memory");
        let variants = [
            copy(),
            copy().bearer_auth("a-guess"),
            copy().bearer_auth(""),
            copy().header("Authorization", format!("Basic {KEY}")),
            copy().header("Authorization", KEY),
        ];
        let rejected = |call| case(call, 401, "unauthorized", "authenticate");
        cases.extend(variants.into_iter().map(rejected));
    }
    cases
}

fn invalid_headers_and_paths(node: &TestNode) -> Vec<Case> {
    let with_header = |name: &str, value: &str| online(node, "p").header(name, value);
    let rejected = |request| case(request, 400, "invalid_request", "read headers");
    vec![
        rejected(with_header("Pinerill-Request-Id", "a b")),
        rejected(with_header("Pinerill-Request-Id", &"x".repeat(129))),
        rejected(with_header("Pinerill-At-Most-Once", "yes")),
        rejected(with_header("Pinerill-Deadline-Ms", "soon")),
        rejected(with_header("Pinerill-Deadline-Ms", "0")),
        case(post(node, "/v1/nonsense"), 404, "unknown_path", "route"),
        case(node.http.get(node.url("/")), 404, "unknown_path", "route"),
    ]
}

/// Asserts that a call fails with the expected error, that the error says that
/// nothing ran, and that it names the node as peer. The API key must not occur
/// in the answer.
async fn assert_rejected(case: Case) {
    let request_text = format!("{:?}", case.request);
    let (status, body) = answer(case.request).await;
    let error = &body["error"];
    let text = |field: &str| error[field].as_str().unwrap_or("missing").to_owned();
    let actual = (status, text("code"), text("step"));
    let (status, code, step) = case.expected;
    assert_eq!(
        actual,
        (status, code.to_owned(), step.to_owned()),
        "{request_text}: {body}"
    );
    assert_eq!(text("outcome"), "not_run", "{request_text}: {body}");
    assert_eq!(text("peer"), "node", "{request_text}: {body}");
    assert!(!body.to_string().contains(KEY), "{body}");
}

/// Sends invalid calls while a valid request runs. The valid request must get its
/// complete answer, and no other request may reach the worker.
async fn assert_rejected_without_side_effects(cases: impl FnOnce(&TestNode) -> Vec<Case>) {
    let (node, worker) = start().await;
    worker.change(|model| model.hold_after = Some(1));
    let valid = tokio::spawn(answer(online(&node, "good")));
    until("request runs", || worker.count(false, Stage::Running) == 1).await;
    for case in cases(&node) {
        assert_rejected(case).await;
    }
    worker.change(|model| model.hold_after = None);
    let (status, body) = valid.await.expect("ends");
    assert_eq!(
        (status, &body["usage"]["completion_tokens"]),
        (200, &json!(4)),
        "{body}"
    );
    assert_eq!(worker.model.lock().arrivals.len(), 1);
    assert_eq!(node.control.jobs.lock().jobs.len(), 0);
}

#[tokio::test]
async fn oversized_and_invalid_bodies_are_rejected() {
    assert_rejected_without_side_effects(invalid_bodies).await;
}

#[tokio::test]
async fn oversized_and_invalid_batches_are_rejected() {
    assert_rejected_without_side_effects(invalid_batches).await;
}

#[tokio::test]
async fn calls_without_a_known_key_are_rejected() {
    assert_rejected_without_side_effects(unauthenticated_calls).await;
}

#[tokio::test]
async fn invalid_headers_and_unknown_paths_are_rejected() {
    assert_rejected_without_side_effects(invalid_headers_and_paths).await;
}

// Guards against access to the jobs and services of another tenant.
#[tokio::test]
async fn a_tenant_sees_only_its_own_services_and_jobs() {
    let (node, _worker) = start().await;
    let (status, job) = node.submit("k", line("a", "p")).await;
    assert_eq!(status, 200, "{job}");
    let id = job["id"].as_str().expect("text");
    let as_rival = |request: RequestBuilder| answer(request.bearer_auth("rival-key"));
    for path in [
        format!("/v1/batches/{id}"),
        format!("/v1/batches/{id}/output"),
    ] {
        let (status, body) = as_rival(node.http.get(node.url(&path))).await;
        assert_eq!(
            (status, &body["error"]["code"]),
            (404, &json!("unknown_job"))
        );
    }
    let cancel = node.url(&format!("/v1/batches/{id}/cancel"));
    let (status, body) = as_rival(node.http.post(cancel)).await;
    assert_eq!(
        (status, &body["error"]["code"]),
        (404, &json!("unknown_job"))
    );
    let (_, listed) = as_rival(node.http.get(node.url("/v1/batches"))).await;
    assert_eq!(listed["data"], json!([]));
    let (_, own) = node.get("/v1/batches").await;
    assert_eq!(own["data"][0]["id"], id);
    assert_ne!(
        node.get(&format!("/v1/batches/{id}")).await.1["state"],
        "cancelled"
    );

    let model_ids = |models: &Value| -> Vec<String> {
        let list = models["data"].as_array().expect("an array");
        list.iter()
            .map(|model| model["id"].as_str().expect("text").to_owned())
            .collect()
    };
    assert_eq!(model_ids(&node.get("/v1/models").await.1), ["fanar"]);
    let (_, models) = as_rival(node.http.get(node.url("/v1/models"))).await;
    assert_eq!(model_ids(&models), ["fanar", "other"]);
}
