//! What callers get who send what they should not, and what others notice of
//! it: nothing.

mod support;

use std::sync::Arc;

use reqwest::RequestBuilder;
use serde_json::{json, Value};
use support::worker::{FakeWorker, Stage};
use support::{answer, bundle, line, online, until, FakeControl, TestNode, KEY};

const KIB: usize = 1_024;

/// A node that takes bodies of 8 KiB, with one worker.
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

/// A call and how it must fail: status, code, step.
struct Case {
    request: RequestBuilder,
    expected: (u16, &'static str, &'static str),
}

fn case(request: RequestBuilder, status: u16, code: &'static str, step: &'static str) -> Case {
    Case {
        request,
        expected: (status, code, step),
    }
}

fn post(node: &TestNode, path: &str) -> RequestBuilder {
    node.http.post(node.url(path)).bearer_auth(KEY)
}

fn to(service: &str) -> String {
    json!({"model": service, "prompt": "p"}).to_string()
}

fn wrong_bodies(node: &TestNode) -> Vec<Case> {
    let mut cases = Vec::new();
    for path in ["/v1/completions", "/v1/chat/completions"] {
        let large = "x".repeat(8 * KIB + 1);
        let body = |body: String| post(node, path).body(body);
        cases.push(case(body(large), 413, "body_too_large", "read body"));
        for text in ["", "not JSON", "[]", "{\"model\":", "\u{0}"] {
            cases.push(case(body(text.into()), 400, "invalid_json", "read body"));
        }
        for text in ["{}", r#"{"model":7}"#, r#"{"model":"fanar"}"#] {
            cases.push(case(body(text.into()), 400, "invalid_request", "read body"));
        }
    }
    let body = |body: String| post(node, "/v1/completions").body(body);
    cases.push(case(
        body(to("fanal")),
        404,
        "unknown_service",
        "find service",
    ));
    cases.push(case(
        body(to("other")),
        403,
        "service_not_allowed",
        "find service",
    ));
    cases
}

fn wrong_batches(node: &TestNode) -> Vec<Case> {
    let submit = |body: String| {
        let request = post(node, "/v1/batches").body(body);
        request.header("Idempotency-Key", "k")
    };
    let large = line("a", &"x".repeat(8 * KIB));
    let unknown = line("a", "p").replace("fanar", "fanal");
    let without_key = post(node, "/v1/batches").body(line("a", "p"));
    let (key, head) = ("missing_idempotency_key", "read headers");
    vec![
        case(submit(large), 413, "body_too_large", "read body"),
        case(
            submit("not JSON\n".into()),
            400,
            "invalid_json",
            "read lines",
        ),
        case(submit(unknown), 404, "unknown_service", "find service"),
        case(without_key, 400, key, head),
    ]
}

fn strangers(node: &TestNode) -> Vec<Case> {
    let calls = [
        node.http
            .post(node.url("/v1/completions"))
            .body(to("fanar")),
        node.http
            .post(node.url("/v1/chat/completions"))
            .body(to("fanar")),
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
        let again = || call.try_clone().expect("a body in memory");
        let forms = [
            again(),
            again().bearer_auth("a-guess"),
            again().bearer_auth(""),
            again().header("Authorization", format!("Basic {KEY}")),
            again().header("Authorization", KEY),
        ];
        let refused = |form| case(form, 401, "unauthorized", "authenticate");
        cases.extend(forms.into_iter().map(refused));
    }
    cases
}

fn wrong_heads(node: &TestNode) -> Vec<Case> {
    let with = |name: &str, value: &str| online(node, "p").header(name, value);
    let refused = |request| case(request, 400, "invalid_request", "read headers");
    vec![
        refused(with("Pinerill-Request-Id", "a b")),
        refused(with("Pinerill-Request-Id", &"x".repeat(129))),
        refused(with("Pinerill-At-Most-Once", "yes")),
        refused(with("Pinerill-Deadline-Ms", "soon")),
        refused(with("Pinerill-Deadline-Ms", "0")),
        case(post(node, "/v1/nonsense"), 404, "unknown_path", "route"),
        case(node.http.get(node.url("/")), 404, "unknown_path", "route"),
    ]
}

/// The failure is typed, says that nothing ran, and names step and peer.
async fn assert_refused(one: Case) {
    let shown = format!("{:?}", one.request);
    let (status, body) = answer(one.request).await;
    let error = &body["error"];
    let text = |field: &str| error[field].as_str().unwrap_or("missing").to_owned();
    let found = (status, text("code"), text("step"));
    let (status, code, step) = one.expected;
    assert_eq!(
        found,
        (status, code.to_owned(), step.to_owned()),
        "{shown}: {body}"
    );
    assert_eq!(text("outcome"), "not_run", "{shown}: {body}");
    assert_eq!(text("peer"), "node", "{shown}: {body}");
    assert!(!body.to_string().contains(KEY), "{body}");
}

/// Sends bad calls while a good request runs; it gets its whole answer, and
/// its worker hears of nothing else.
async fn harm_nothing(cases: impl FnOnce(&TestNode) -> Vec<Case>) {
    let (node, worker) = start().await;
    worker.change(|model| model.hold_after = Some(1));
    let good = tokio::spawn(answer(online(&node, "good")));
    until("it runs", || worker.count(false, Stage::Running) == 1).await;
    for one in cases(&node) {
        assert_refused(one).await;
    }
    worker.change(|model| model.hold_after = None);
    let (status, body) = good.await.expect("ends");
    assert_eq!(
        (status, &body["usage"]["completion_tokens"]),
        (200, &json!(4)),
        "{body}"
    );
    assert_eq!(worker.model.lock().arrivals.len(), 1);
    assert_eq!(node.control.jobs.lock().jobs.len(), 0);
}

#[tokio::test]
async fn a_body_that_is_too_large_or_no_request_is_refused_and_harms_nothing() {
    harm_nothing(wrong_bodies).await;
}

#[tokio::test]
async fn a_batch_that_is_too_large_or_none_is_refused_and_harms_nothing() {
    harm_nothing(wrong_batches).await;
}

#[tokio::test]
async fn a_caller_without_a_known_key_gets_nowhere_and_harms_nothing() {
    harm_nothing(strangers).await;
}

#[tokio::test]
async fn wrong_headers_and_paths_are_refused_and_harm_nothing() {
    harm_nothing(wrong_heads).await;
}

#[tokio::test]
async fn a_tenant_sees_its_own_services_and_jobs_alone() {
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

    let names = |models: &Value| -> Vec<String> {
        let list = models["data"].as_array().expect("a list");
        list.iter()
            .map(|one| one["id"].as_str().expect("text").to_owned())
            .collect()
    };
    assert_eq!(names(&node.get("/v1/models").await.1), ["fanar"]);
    let (_, models) = as_rival(node.http.get(node.url("/v1/models"))).await;
    assert_eq!(names(&models), ["fanar", "other"]);
}
