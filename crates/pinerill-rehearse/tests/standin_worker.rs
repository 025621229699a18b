//! The worker stand-in over HTTP, as its own process.

mod common;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use common::{events, start_standin, text_of};
use pinerill_rehearse::answer::{content_name, Answer};
use pinerill_rehearse::fleet::ports::free_address;
use pinerill_rehearse::fleet::process::{log_tail, ChildProcess, Signal};
use pinerill_rehearse::ledger::{read_file, LedgerEvent, LedgerLine};
use reqwest::{Client, RequestBuilder, Response};
use serde_json::{json, Value};

struct Fixture {
    folder: tempfile::TempDir,
    address: SocketAddr,
    client: Client,
    process: ChildProcess,
}

impl Fixture {
    async fn start(flags: &[&str]) -> Self {
        let folder = tempfile::tempdir().expect("folder");
        let address = free_address().expect("port");
        let ledger = folder.path().join("ledger");
        let listen = address.to_string();
        let mut arguments = vec!["worker", "--name", "w", "--zone", "z", "--listen", &listen];
        arguments.extend(["--engines", "2", "--model", "m@1", "--adapter", "m/a@1"]);
        arguments.extend(["--ledger", ledger.to_str().expect("path")]);
        arguments.extend(flags);
        let process = start_standin(folder.path(), address, &arguments).await;
        Self {
            process,
            address,
            client: Client::new(),
            folder,
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    async fn post(&self, path: &str, body: Value) -> Response {
        self.answered(self.client.post(self.url(path)).json(&body))
            .await
    }

    async fn get(&self, path: &str) -> Response {
        self.answered(self.client.get(self.url(path))).await
    }

    async fn complete(&self, id: &str, priority: &str, body: Value) -> Response {
        let call = self
            .client
            .post(self.url("/engines/0/v1/completions"))
            .header("X-Request-Id", id)
            .header("X-Priority", priority)
            .json(&body);
        self.answered(call).await
    }

    /// The answer, or what the worker's log says when there is none.
    async fn answered(&self, call: RequestBuilder) -> Response {
        match call.send().await {
            Ok(response) => response,
            Err(error) => panic!("{error:?}; {}", log_tail(self.process.log())),
        }
    }

    fn ledger(&self) -> Vec<LedgerLine> {
        read_file(&self.ledger_path()).expect("ledger")
    }

    fn ledger_path(&self) -> PathBuf {
        let folder: &Path = self.folder.path();
        folder.join("ledger")
    }
}

fn body(prompt: &str, max_tokens: u32) -> Value {
    json!({"model": "m", "prompt": prompt, "max_tokens": max_tokens, "stream": true})
}

async fn error_code(response: Response) -> (u16, String) {
    let status = response.status().as_u16();
    let body: Value = response.json().await.expect("JSON");
    assert_eq!(body["error"]["started"], false);
    let code = body["error"]["code"].as_str().expect("code");
    (status, code.to_string())
}

#[tokio::test]
async fn a_stream_is_whole_can_be_attached_to_and_is_in_the_ledger() {
    let fixture = Fixture::start(&[]).await;
    let response = fixture.complete("r/1", "online", body("p", 5)).await;
    assert!(response.headers().contains_key("X-Load"));
    let streamed = events(&response.text().await.expect("body"));
    let answer = Answer::new("m", "", "p");
    assert_eq!(text_of(&streamed, 0), answer.text(0, 5));
    let last = streamed.last().expect("an end");
    assert_eq!(last["digest"], answer.digest(5));
    assert_eq!(last["finish_reason"], "length");

    let path = "/engines/0/v1/requests/r%2F1/stream?offset=3";
    let attached = events(&fixture.get(path).await.text().await.expect("body"));
    assert_eq!(text_of(&attached, 3), answer.text(3, 5));
    let missing = fixture.get("/engines/1/v1/requests/r%2F1/stream").await;
    assert_eq!(error_code(missing).await, (404, "unknown_request".into()));

    let again = fixture.complete("r/1", "online", body("p", 5)).await;
    assert_eq!(error_code(again).await, (409, "duplicate_request".into()));
    let ledger = fixture.ledger();
    let kinds: Vec<LedgerEvent> = ledger.iter().map(|line| line.event).collect();
    assert_eq!(kinds, vec![LedgerEvent::Started, LedgerEvent::Finished]);
    assert_eq!(ledger[1].content, content_name("m", "", "p"));
    assert_eq!(ledger[1].digest, Some(answer.digest(5)));
}

#[tokio::test]
async fn a_whole_answer_has_the_same_fields() {
    let fixture = Fixture::start(&[]).await;
    let response = fixture
        .client
        .post(fixture.url("/engines/1/v1/chat/completions"))
        .header("X-Request-Id", "r")
        .header("X-Adapter", "a")
        .json(&json!({"model": "m@1", "messages": [
            {"role": "system", "content": "s"}, {"role": "user", "content": "u"}],
            "max_tokens": 3}))
        .send()
        .await
        .expect("answers");
    let body: Value = response.json().await.expect("JSON");
    let answer = Answer::new("m", "a", "s\nu");
    assert_eq!(body["text"], answer.text(0, 3));
    assert_eq!(body["digest"], answer.digest(3));
    assert_eq!(body["usage"]["completion_tokens"], 3);
}

#[tokio::test]
async fn refusals_have_their_codes() {
    let fixture = Fixture::start(&["--slots", "1", "--queue-limit", "1"]).await;
    let unknown = fixture
        .complete("u", "online", json!({"model": "other", "prompt": "p"}))
        .await;
    assert_eq!(error_code(unknown).await, (503, "model_not_loaded".into()));
    let malformed = fixture.complete("m", "online", json!({"model": "m"})).await;
    assert_eq!(error_code(malformed).await, (400, "bad_request".into()));
    let cancel = fixture
        .post("/engines/0/v1/requests/c/cancel", json!({}))
        .await;
    let state: Value = cancel.json().await.expect("JSON");
    assert_eq!(state["state"], "unknown");
    let late = fixture.complete("c", "online", body("p", 2)).await;
    assert_eq!(
        error_code(late).await,
        (503, "cancelled_before_start".into())
    );
    let _running = fixture.complete("1", "batch", body("p1", 500)).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let _waiting = fixture.complete("2", "batch", body("p2", 500)).await;
    let full = fixture.complete("3", "batch", body("p3", 500)).await;
    assert_eq!(full.headers()["Retry-After"], "1");
    assert_eq!(error_code(full).await, (429, "queue_full".into()));

    let cancel = fixture
        .post("/engines/0/v1/requests/2/cancel", json!({}))
        .await;
    let state: Value = cancel.json().await.expect("JSON");
    assert_eq!(state["state"], "not_started");
    let started = |line: &LedgerLine| line.request_id == "2";
    assert!(!fixture.ledger().iter().any(started));
}

#[tokio::test]
async fn orders_are_fenced_and_load_a_model() {
    let fixture = Fixture::start(&["--load-ms", "100"]).await;
    let load = |term: u64, version: &str| {
        json!({"fence": {"term": term, "sequence": 1},
            "order": {"kind": "load_model", "model": "n", "version": version, "weights": "n"}})
    };
    let path = "/engines/0/v1/orders";
    assert_eq!(fixture.post(path, load(2, "1")).await.status(), 200);
    assert_eq!(fixture.post(path, load(2, "1")).await.status(), 200);
    let stale = fixture.post(path, load(1, "2")).await;
    assert_eq!(stale.status(), 409);
    let stale: Value = stale.json().await.expect("JSON");
    assert_eq!(stale["error"]["code"], "stale_fence");
    assert_eq!(stale["fence"]["term"], 2);
    let request = json!({"model": "n", "prompt": "p", "max_tokens": 1});
    let early = fixture.complete("early", "online", request.clone()).await;
    assert_eq!(error_code(early).await, (503, "loading".into()));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let ready = fixture.complete("ready", "online", request).await;
    assert_eq!(ready.status(), 200);
    let state: Value = fixture
        .get("/engines/0/v1/state")
        .await
        .json()
        .await
        .expect("JSON");
    assert_eq!(state["models"][1]["state"], "ready");
    assert_eq!(state["models"][1]["version"], "1");
}

#[tokio::test]
async fn an_exported_prefill_is_not_paid_again() {
    // At 1000 tokens a second the prefill of 500 tokens takes half a second.
    let fixture = Fixture::start(&["--prefill-tokens-per-second", "1000"]).await;
    let prompt = "x".repeat(2_000);
    let first = fixture.complete("r", "online", body(&prompt, 1)).await;
    first.text().await.expect("body");
    let export = fixture
        .post("/engines/0/v1/kv/export", json!({"request_id": "r"}))
        .await;
    let export: Value = export.json().await.expect("JSON");
    assert_eq!(export["tokens"], 501);
    let source = format!("{}/engines/0", fixture.address);
    let import = json!({"handle": export["handle"], "source": source});
    let import = fixture.post("/engines/1/v1/kv/import", import).await;
    assert_eq!(import.status(), 200);
    let begin = std::time::Instant::now();
    let rest = fixture
        .client
        .post(fixture.url("/engines/1/v1/completions"))
        .header("X-Request-Id", "r2")
        .header("X-Kv-Handle", export["handle"].as_str().expect("handle"))
        .header("X-Continue-From", "1")
        .json(&body(&prompt, 3))
        .send()
        .await
        .expect("answers");
    let rest = events(&rest.text().await.expect("body"));
    assert_eq!(text_of(&rest, 1), Answer::new("m", "", &prompt).text(1, 3));
    assert!(begin.elapsed() < Duration::from_millis(300));
}

#[tokio::test]
async fn cache_events_come_late_and_name_the_prefix() {
    let flags = [
        "--cache-event-loss-percent",
        "0",
        "--cache-event-delay-ms",
        "300",
    ];
    let fixture = Fixture::start(&flags).await;
    let prompt = "y".repeat(300);
    let answer = fixture.complete("r", "online", body(&prompt, 1)).await;
    answer.text().await.expect("body");
    let early = fixture.get("/worker/cache_events?after=0&wait_ms=0").await;
    let early: Value = early.json().await.expect("JSON");
    assert_eq!(early["events"], json!([]));
    let late = fixture
        .get("/worker/cache_events?after=0&wait_ms=2000")
        .await;
    let late: Value = late.json().await.expect("JSON");
    let prefix = content_name("m", "", &prompt[..256]);
    let expected = json!([{"sequence": 1, "engine": 0, "kind": "stored",
        "prefix": prefix, "tokens": 64}]);
    assert_eq!(late["events"], expected);
    assert_eq!(late["next"], 1);
}

#[tokio::test]
async fn a_leaving_worker_refuses_new_work_finishes_the_rest_and_exits() {
    let mut fixture = Fixture::start(&[]).await;
    let running = fixture.complete("r", "batch", body("p", 30)).await;
    fixture.process.signal(Signal::Terminate).expect("signal");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let refused = fixture.complete("late", "online", body("p", 2)).await;
    assert_eq!(error_code(refused).await, (503, "leaving".into()));
    let report: Value = fixture.get("/worker").await.json().await.expect("JSON");
    assert_eq!(report["leaving"], true);
    let streamed = events(&running.text().await.expect("body"));
    assert_eq!(text_of(&streamed, 0), Answer::new("m", "", "p").text(0, 30));
    let status = fixture.process.wait(Duration::from_secs(5)).await;
    assert!(status.expect("ends").success());
}

#[tokio::test]
async fn a_reader_of_cache_events_does_not_hold_up_the_stop() {
    let mut fixture = Fixture::start(&[]).await;
    // No event comes, and the reader would wait far beyond the test.
    let path = "/worker/cache_events?after=1000000&wait_ms=600000";
    let reader = tokio::spawn(fixture.client.get(fixture.url(path)).send());
    tokio::time::sleep(Duration::from_millis(200)).await;
    fixture.process.signal(Signal::Terminate).expect("signal");
    let status = fixture.process.wait(Duration::from_secs(60)).await;
    assert!(status.expect("ends").success());
    let page = reader.await.expect("no panic").expect("answers");
    assert_eq!(page.status(), 200);
}

#[tokio::test]
async fn the_ledger_outlives_a_kill() {
    let mut fixture = Fixture::start(&[]).await;
    let response = fixture.complete("r", "online", body("p", 500)).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    fixture.process.signal(Signal::Kill).expect("signal");
    fixture
        .process
        .wait(Duration::from_secs(5))
        .await
        .expect("ends");
    assert!(response.text().await.is_err());
    assert_eq!(fixture.ledger()[0].event, LedgerEvent::Started);
}
