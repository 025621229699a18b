//! Tests the HTTP API for batch jobs against a simple model of the job groups.

mod support;

use std::sync::atomic::Ordering;
use std::sync::Arc;

use pinerill_types::job::ItemState;
use pinerill_wire::message::Request;
use serde_json::Value;
use support::control::Fault;
use support::{bundle, line, FakeControl, TestNode, KEY};

async fn node() -> TestNode {
    TestNode::start(Arc::new(FakeControl::new(bundle()))).await
}

fn lines(count: usize, bytes: usize) -> String {
    let prompt = "x".repeat(bytes);
    (0..count)
        .map(|at| line(&format!("item-{at}"), &prompt))
        .collect()
}

fn error(answer: &(u16, Value)) -> (u16, &str, &str, &str) {
    let error = &answer.1["error"];
    let text = |field: &str| error[field].as_str().unwrap_or("missing");
    (answer.0, text("code"), text("outcome"), text("message"))
}

fn is_submit_job(request: &Request) -> bool {
    matches!(request, Request::SubmitJob(_))
}

#[tokio::test]
async fn resubmitted_job_is_the_same_job_and_another_body_is_a_conflict() {
    let node = node().await;
    let first = node.submit("night-1", lines(3, 8)).await;
    assert_eq!((first.0, &first.1["counts"]["total"]), (200, &3.into()));
    assert_eq!(node.submit("night-1", lines(3, 8)).await, first);
    let other = node.submit("night-1", lines(4, 8)).await;
    let (status, code, outcome, _) = error(&other);
    assert_eq!(
        (status, code, outcome),
        (409, "idempotency_conflict", "not_run")
    );
    assert_eq!(node.control.jobs.lock().jobs.len(), 1);
}

#[tokio::test]
async fn each_invalid_line_is_reported_by_number_and_nothing_is_submitted() {
    let node = node().await;
    let good = line("a", "p");
    let wrong = |from: &str, to: &str| line("b", "p").replacen(from, to, 1);
    let cases = [
        ("{\n".to_owned(), "invalid_json", "line 2: "),
        (
            wrong("\"url\"", "\"uri\""),
            "invalid_request",
            "line 2: unknown field `uri`",
        ),
        (
            wrong("POST", "GET"),
            "invalid_request",
            "line 2: method: POST",
        ),
        (
            wrong("/v1/completions", "/v1/x"),
            "invalid_request",
            "line 2: url: ",
        ),
        (
            wrong("\"b\"", "\"\""),
            "invalid_request",
            "line 2: custom_id: ",
        ),
        (
            wrong("\"prompt\":", "\"prompt_\":"),
            "invalid_request",
            "line 2: body: prompt",
        ),
        (
            wrong("fanar", "other"),
            "invalid_request",
            "line 2: body.model: `fanar`",
        ),
        (
            wrong("\"b\"", "\"a\""),
            "duplicate_custom_id",
            "line 2: custom_id: `a` stands in line 1",
        ),
    ];
    for (second, code, message) in cases {
        let answer = node.submit("k", good.clone() + &second).await;
        let found = error(&answer);
        assert_eq!(
            (found.0, found.1, found.2),
            (400, code, "not_run"),
            "{found:?}"
        );
        assert!(found.3.starts_with(message), "{found:?}");
    }
    let foreign = node.submit("k", good.replace("fanar", "other")).await;
    assert_eq!((foreign.0, error(&foreign).1), (403, "service_not_allowed"));
    let empty = node.submit("k", "\n\n".to_owned()).await;
    assert_eq!(error(&empty).1, "invalid_request");
    assert_eq!(node.submit("", good).await.0, 400);
    assert_eq!(node.control.count(is_submit_job), 0);
}

#[tokio::test]
async fn large_body_is_split_into_bounded_parts_and_oversized_one_is_rejected() {
    let change = |settings: &mut pinerill_types::settings::NodeSettings| {
        settings.batch_limit_kib = 4 * 1_024;
    };
    let control = Arc::new(FakeControl::new(bundle()));
    let node = TestNode::start_with(control, change).await;
    let accepted = node.submit("k", lines(30, 100_000)).await;
    assert_eq!(
        (accepted.0, &accepted.1["counts"]["total"]),
        (200, &30.into())
    );
    let mut next = 0;
    for call in node.control.calls.lock().iter() {
        if let Request::SubmitJob(part) = call {
            assert_eq!(part.first_index, next);
            next += part.items.len() as u32;
            let bytes: usize = part.items.iter().map(|item| item.body.len()).sum();
            assert!(bytes <= 1024 * 1024, "{bytes} bytes in a part");
        }
    }
    assert_eq!(next, 30);
    let refused = node.submit("l", lines(50, 100_000)).await;
    assert_eq!((refused.0, error(&refused).1), (413, "body_too_large"));
}

#[tokio::test]
async fn retry_with_the_same_key_after_a_lost_response_creates_one_job() {
    let node = node().await;
    node.control.fault(is_submit_job, Fault::AnswerLost);
    let lost = node.submit("k", lines(3, 8)).await;
    let (status, code, outcome, _) = error(&lost);
    assert_eq!(
        (status, code, outcome),
        (503, "control_unavailable", "unknown")
    );
    let again = node.submit("k", lines(3, 8)).await;
    assert_eq!(again.0, 200);
    assert_eq!(node.control.jobs.lock().jobs.len(), 1);
    assert_eq!(node.control.jobs.lock().count(ItemState::Pending), 3);
}

#[tokio::test]
async fn output_streams_all_pages_and_shows_cancelled_items() {
    let node = node().await;
    let job = node.submit("k", lines(8, 8)).await.1;
    let path = format!("/v1/batches/{}", job["id"].as_str().expect("an id"));
    for job in node.control.jobs.lock().jobs.values_mut() {
        for item in job.items.iter_mut().take(7) {
            item.state = ItemState::Completed;
            item.body = format!("{{\"answer\":\"{}\"}}", item.input.custom_id);
        }
    }
    let cancelled = node.post(&format!("{path}/cancel")).await;
    assert_eq!(cancelled.1["state"], "cancelled");
    assert_eq!(node.get(&path).await, cancelled);
    let listed = node.get("/v1/batches").await.1;
    assert_eq!(listed["data"][0], cancelled.1);
    let is_page = |request: &Request| matches!(request, Request::JobOutput(_));
    node.control.fault(is_page, Fault::AnswerLost);
    let output = node
        .http
        .get(node.url(&format!("{path}/output")))
        .bearer_auth(KEY);
    let text = output
        .send()
        .await
        .expect("answers")
        .text()
        .await
        .expect("a body");
    let results: Vec<Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect();
    assert_eq!(results.len(), 8);
    for (at, result) in results.iter().enumerate() {
        assert_eq!(result["custom_id"], format!("item-{at}"));
    }
    assert_eq!(results[6]["response"]["body"]["answer"], "item-6");
    assert_eq!(results[6]["error"], Value::Null);
    assert_eq!(results[7]["error"]["code"], "cancelled");
    assert_eq!(node.get("/v1/batches/job-1-99").await.0, 404);
}

#[tokio::test]
async fn node_without_a_confirmed_bundle_rejects_jobs() {
    let mut bundle = bundle();
    bundle.policy.configuration_lease_ms = 200;
    let node = TestNode::start(Arc::new(FakeControl::new(bundle))).await;
    node.control.cut_off.store(true, Ordering::Relaxed);
    while node.readiness().await.1.lines().next() != Some("the bundle is not confirmed") {
        tokio::task::yield_now().await;
    }
    let answer = node.submit("k", line("a", "p")).await;
    let (status, code, outcome, _) = error(&answer);
    assert_eq!(
        (status, code, outcome),
        (503, "configuration_unconfirmed", "not_run")
    );
    let listed = node.get("/v1/batches").await;
    assert_eq!(error(&listed).1, "configuration_unconfirmed");
    assert_eq!(node.control.count(|_| true), 0);
}
