//! What several tests share.

#![allow(dead_code)]

pub mod records;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use pinerill_rehearse::fleet::process::{ChildProcess, ProcessSpec};
use serde_json::Value;

/// Starts a stand-in and waits until it answers HTTP at `ready`, whatever the
/// status.
pub async fn start_standin(folder: &Path, ready: SocketAddr, arguments: &[&str]) -> ChildProcess {
    let spec = ProcessSpec {
        name: format!("{}-{}", arguments[0], ready.port()),
        program: env!("CARGO_BIN_EXE_pinerill-rehearse").into(),
        arguments: std::iter::once("standin")
            .chain(arguments.iter().copied())
            .map(str::to_string)
            .collect(),
        environment: Vec::new(),
        log_folder: folder.to_path_buf(),
    };
    let mut process = ChildProcess::start(&spec).expect("starts");
    let client = reqwest::Client::new();
    for _ in 0..500 {
        process.ensure_running().expect("runs");
        if client.get(format!("http://{ready}/")).send().await.is_ok() {
            return process;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{} is not ready", spec.name);
}

/// Data of the SSE events in a body, without the last `[DONE]`.
pub fn events(body: &str) -> Vec<Value> {
    body.split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "))
        .filter(|data| *data != "[DONE]")
        .map(|data| serde_json::from_str(data).expect("is JSON"))
        .collect()
}

/// Text of the events in a body, in order; fails when an offset is wrong.
pub fn text_of(events: &[Value], from: u64) -> String {
    let mut text = String::new();
    let mut offset = from;
    for event in events {
        assert_eq!(event["offset"], offset);
        offset += event["tokens"].as_u64().expect("tokens");
        text.push_str(event["text"].as_str().expect("text"));
    }
    text
}
