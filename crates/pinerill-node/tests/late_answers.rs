//! Answers that come once more, late, in the place of the next answer on their connection.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use pinerill_node::engine::{worker_client, AttachError, CancelAnswer, EngineClient};
use pinerill_types::bundle::{Bundle, Script};
use pinerill_types::Digest;
use pinerill_wire::message::{WorkerRecord, WorkerState};
use serde_json::{json, Value};
use support::repeating::{self, RawAnswer, RawRequest};
use support::worker::text;
use support::{answer, bundle, online, FakeControl, TestNode};

const CALLS: usize = 6;
const TOKENS: u32 = 4;
const PATIENCE: Duration = Duration::from_secs(5);

fn with_script(address: SocketAddr) -> Bundle {
    let mut bundle = bundle();
    let service = bundle.services.get_mut(&"fanar".into());
    service.expect("the service exists").script = Some(Script {
        addresses: vec![address],
        share_percent: 100,
    });
    bundle
}

fn script_answer(request: &RawRequest) -> RawAnswer {
    let body: Value = serde_json::from_slice(&request.body).expect("JSON");
    let choice = json!({"index": 0, "text": body["prompt"], "finish_reason": "stop"});
    RawAnswer {
        status: 200,
        body: json!({"id": "1", "choices": [choice]}).to_string(),
        repeated: true,
        preceded: true,
    }
}

#[tokio::test]
async fn a_late_copy_of_a_script_answer_reaches_no_other_caller() {
    let script = repeating::start(script_answer).await;
    let control = Arc::new(FakeControl::new(with_script(script)));
    let node = TestNode::start(control).await;
    for number in 0..CALLS {
        let prompt = format!("prompt {number}");
        let (status, body) = answer(online(&node, &prompt)).await;
        let text = body["choices"][0]["text"].as_str();
        assert_eq!((status, text), (200, Some(&*prompt)));
    }
}

/// Runs of each request at a worker whose first request is refused as one too many.
type Runs = Arc<Mutex<BTreeMap<String, u32>>>;

fn refusal(code: &str) -> String {
    json!({"error": {"code": code, "message": "refused", "started": false}}).to_string()
}

fn report() -> String {
    let engine = |number: u16| {
        json!({
            "engine": number, "role": "both", "waiting": 0, "slots": 4, "running": 0,
            "batch_running": 0, "preemptions": 0, "models": ["fanar-8b@1"], "adapters": [],
        })
    };
    let engines = [engine(0), engine(1)];
    json!({"incarnation": 1, "leaving": false, "engines": engines}).to_string()
}

fn stream(id: &str, prompt: &str) -> String {
    let whole = text(prompt, TOKENS);
    let digest = hex::encode(Digest::of(whole.as_bytes()).0);
    let event = json!({
        "request_id": id, "offset": 0, "tokens": TOKENS, "text": whole,
        "finish_reason": "length", "digest": digest,
    });
    format!("data: {event}\n\ndata: [DONE]\n\n")
}

fn engine_answer(runs: &Runs, refused: &Mutex<bool>, request: &RawRequest) -> RawAnswer {
    let plain = |status, body| RawAnswer {
        status,
        body,
        repeated: false,
        preceded: false,
    };
    if request.path == "/worker" {
        return plain(200, report());
    }
    if !request.path.ends_with("/completions") {
        return plain(404, refusal("unknown_request"));
    }
    if !std::mem::replace(&mut *refused.lock(), true) {
        return RawAnswer {
            repeated: true,
            ..plain(429, refusal("queue_full"))
        };
    }
    *runs.lock().entry(request.id.clone()).or_default() += 1;
    let body: Value = serde_json::from_slice(&request.body).expect("JSON");
    let prompt = body["prompt"].as_str().unwrap_or_default();
    RawAnswer {
        preceded: true,
        ..plain(200, stream(&request.id, prompt))
    }
}

async fn node_with_worker(address: SocketAddr, engines: u16) -> TestNode {
    let control = Arc::new(FakeControl::new(bundle()));
    control.list_workers(vec![WorkerRecord {
        name: "worker-1".into(),
        address,
        zone: "zone-1".into(),
        engines,
        state: WorkerState::Live,
        leaving_incarnation: 0,
    }]);
    let node = TestNode::start(control).await;
    node.until_metric("workers{state=\"reporting\"}", |value| value >= 1.0)
        .await;
    node
}

#[tokio::test]
async fn a_late_copy_of_a_refusal_runs_no_at_most_once_request_twice() {
    let (runs, refused) = (Runs::default(), Mutex::new(false));
    let counted = runs.clone();
    let handler = move |request: &RawRequest| engine_answer(&counted, &refused, request);
    let worker = repeating::start(handler).await;
    let node = node_with_worker(worker, 2).await;
    let request = online(&node, "once").header("Pinerill-At-Most-Once", "true");
    let (status, body) = answer(request).await;
    let runs: Vec<u32> = runs.lock().values().copied().collect();
    assert_eq!(runs, [1], "status {status}: {body}");
    assert_eq!(status, 200, "{body}");
}

async fn engine_client(
    handler: impl Fn(&RawRequest) -> RawAnswer + Send + Sync + 'static,
) -> EngineClient {
    let address = repeating::start(handler).await;
    let http = worker_client().expect("a client");
    EngineClient::new(http, format!("http://{address}/engines/0"))
}

#[tokio::test]
async fn a_late_copy_of_a_cancel_answer_is_no_promise_for_another_request() {
    let client = engine_client(|request| {
        let state = match request.path.contains("/waits/") {
            true => "not_started",
            false => "cancelled",
        };
        RawAnswer {
            status: 200,
            body: json!({ "state": state }).to_string(),
            repeated: true,
            preceded: true,
        }
    })
    .await;
    assert_eq!(
        client.cancel("waits", PATIENCE).await,
        CancelAnswer::NotStarted
    );
    assert_eq!(client.cancel("runs", PATIENCE).await, CancelAnswer::Ended);
}

#[tokio::test]
async fn a_late_copy_of_unknown_does_not_give_up_a_request_that_runs() {
    let client = engine_client(|request| {
        let known = request.path.contains("/runs/");
        RawAnswer {
            status: if known { 200 } else { 404 },
            body: String::new(),
            repeated: true,
            preceded: true,
        }
    })
    .await;
    let lost = client.attach("lost", 0).await.map(drop);
    assert_eq!(lost, Err(AttachError::UnknownRequest));
    assert_eq!(client.attach("runs", 0).await.map(drop), Ok(()));
}

/// Prompt that the engine refuses as invalid.
const INVALID: &str = "invalid";

fn refusing_answer(prompts: &Mutex<BTreeMap<String, String>>, request: &RawRequest) -> RawAnswer {
    let plain = |status, body| RawAnswer {
        status,
        body,
        repeated: false,
        preceded: false,
    };
    if request.path == "/worker" {
        return plain(200, report());
    }
    let mut prompts = prompts.lock();
    if !request.path.ends_with("/completions") {
        let known = prompts.iter().find(|(id, _)| request.path.contains(*id));
        return match known {
            Some((id, prompt)) => plain(200, stream(id, prompt)),
            None => plain(404, refusal("unknown_request")),
        };
    }
    let body: Value = serde_json::from_slice(&request.body).expect("JSON");
    let prompt = body["prompt"].as_str().unwrap_or_default();
    if prompt == INVALID {
        return RawAnswer {
            repeated: true,
            ..plain(400, refusal("bad_request"))
        };
    }
    if prompts.contains_key(&request.id) {
        return plain(409, refusal("duplicate_request"));
    }
    prompts.insert(request.id.clone(), prompt.to_owned());
    RawAnswer {
        preceded: true,
        repeated: true,
        ..plain(200, stream(&request.id, prompt))
    }
}

#[tokio::test]
async fn a_late_copy_of_an_invalid_requests_refusal_refuses_no_other_request() {
    let prompts = Mutex::default();
    let worker = repeating::start(move |request| refusing_answer(&prompts, request)).await;
    let node = node_with_worker(worker, 1).await;
    for number in 0..CALLS {
        let (status, _) = answer(online(&node, INVALID)).await;
        assert_eq!(status, 400);
        let prompt = format!("sound {number}");
        let (status, body) = answer(online(&node, &prompt)).await;
        let whole = text(&prompt, TOKENS);
        let found = body["choices"][0]["text"].as_str();
        assert_eq!((status, found), (200, Some(&*whole)), "{body}");
    }
}

#[tokio::test]
async fn a_late_copy_of_a_stream_reaches_no_other_caller() {
    let prompts = Mutex::default();
    let worker = repeating::start(move |request| refusing_answer(&prompts, request)).await;
    let node = node_with_worker(worker, 1).await;
    for number in 0..CALLS {
        let prompt = format!("prompt {number}");
        let (status, body) = answer(online(&node, &prompt)).await;
        let whole = text(&prompt, TOKENS);
        let found = body["choices"][0]["text"].as_str();
        assert_eq!((status, found), (200, Some(&*whole)), "{body}");
    }
    assert!(
        node.metric("resumes_total").await >= 1.0,
        "no copy was read"
    );
}
