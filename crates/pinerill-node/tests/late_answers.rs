//! Answers that come once more, late, in the place of the next answer on their connection.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use pinerill_types::bundle::{Bundle, Script};
use serde_json::{json, Value};
use support::repeating::{self, RawAnswer, RawRequest};
use support::{answer, bundle, online, FakeControl, TestNode};

const CALLS: usize = 6;

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
