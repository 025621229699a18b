//! Runs a node in the test process, with fake control machines and workers.

#![allow(dead_code)]

pub mod control;
pub mod jobs;
pub mod proxy;
pub mod repeating;
pub mod worker;

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::Arc;
use std::time::Duration;

use pinerill_node::{run_with, StopSignals};
use pinerill_types::bundle::Bundle;
use pinerill_types::settings::{ClusterSettings, LogSettings, NodeSettings, Settings};
use pinerill_types::Digest;
use serde_json::Value;
use tokio::task::JoinHandle;

pub use control::FakeControl;

/// Bearer key of the tenant `crew`.
pub const KEY: &str = "crew-key";
/// Timeout for a condition; the test fails when it is exceeded.
const PATIENCE: Duration = Duration::from_secs(20);
const FIRST_PORT: u16 = 12_000;
const PORTS: u32 = 18_000;
const PORTS_PER_PROCESS: u32 = 128;
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until `condition` holds.
pub async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let waited = tokio::time::timeout(PATIENCE, async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
    assert!(waited.await.is_ok(), "not within the test's time: {what}");
}

/// A bundle with the services `fanar` and `other`, and the tenants `crew`
/// (may call `fanar`) and `rival` (may call both).
pub fn bundle() -> Bundle {
    let crew = hex::encode(Digest::of(KEY.as_bytes()).0);
    let rival = hex::encode(Digest::of(b"rival-key").0);
    let text = format!(
        r#"
        version = 1
        [models.fanar-8b]
        version = "1"
        weights = "fanar-8b/1"
        [services.fanar]
        model = "fanar-8b"
        [services.other]
        model = "fanar-8b"
        [tenants.crew]
        key_hashes = ["{crew}"]
        services = ["fanar"]
        [tenants.rival]
        key_hashes = ["{rival}"]
        services = ["fanar", "other"]
        "#
    );
    Bundle::from_toml(&text).expect("a bundle")
}

/// Returns a free loopback address whose port lies below the ephemeral range, so that
/// no outgoing connection can occupy it.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = std::process::id().wrapping_mul(PORTS_PER_PROCESS) % PORTS;
    loop {
        let turn = u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = FIRST_PORT + ((first + turn) % PORTS) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("bound");
        }
    }
}

/// A running node.
pub struct TestNode {
    pub address: SocketAddr,
    pub admin: SocketAddr,
    pub control: Arc<FakeControl>,
    pub signals: StopSignals,
    pub http: reqwest::Client,
    pub task: JoinHandle<anyhow::Result<()>>,
}

impl Drop for TestNode {
    fn drop(&mut self) {
        self.signals.planned.cancel();
        self.signals.forced.cancel();
    }
}

impl TestNode {
    /// Starts a node and waits until it has applied the bundle of `control`.
    pub async fn start(control: Arc<FakeControl>) -> Self {
        Self::start_with(control, |_| ()).await
    }

    /// Starts a node like `start`, with modified settings.
    pub async fn start_with(
        control: Arc<FakeControl>,
        change: impl FnOnce(&mut NodeSettings),
    ) -> Self {
        let mut node = node_settings();
        change(&mut node);
        let (address, admin) = (node.listen, node.admin);
        let settings = Settings {
            cluster: ClusterSettings {
                name: "test".to_owned(),
                key_file: "unused".into(),
                controls: Vec::new(),
            },
            control: None,
            node: Some(node),
            log: LogSettings::default(),
        };
        let signals = StopSignals::default();
        let task = tokio::spawn(run_with(settings, control.clone(), signals.clone()));
        let node = Self {
            address,
            admin,
            control,
            signals,
            http: reqwest::Client::builder()
                .no_proxy()
                .build()
                .expect("client"),
            task,
        };
        node.await_bundle().await;
        node
    }

    async fn await_bundle(&self) {
        let waited = tokio::time::timeout(PATIENCE, async {
            while !self
                .metrics()
                .await
                .contains("pinerill_node_bundle_version 1")
            {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        });
        assert!(waited.await.is_ok(), "the node takes the bundle in");
    }

    /// Returns the text of `/metrics`; empty while the node does not listen.
    pub async fn metrics(&self) -> String {
        let url = format!("http://{}/metrics", self.admin);
        match self.http.get(url).send().await {
            Ok(response) => response.text().await.unwrap_or_default(),
            Err(_) => String::new(),
        }
    }

    /// Returns the status and text of `/readyz`.
    pub async fn readiness(&self) -> (u16, String) {
        let url = format!("http://{}/readyz", self.admin);
        let response = self.http.get(url).send().await.expect("an answer");
        let status = response.status().as_u16();
        (status, response.text().await.expect("a text"))
    }

    /// Returns the value of one metric line, such as `requests_total{end="completed"}`.
    pub async fn metric(&self, line: &str) -> f64 {
        let start = format!("pinerill_node_{line} ");
        let text = self.metrics().await;
        let value = text.lines().find_map(|one| one.strip_prefix(&start));
        value.map_or(0.0, |value| value.parse().expect("a number"))
    }

    /// Waits until the value of a metric satisfies `fits`.
    pub async fn until_metric(&self, line: &str, fits: impl Fn(f64) -> bool) {
        let waited = tokio::time::timeout(PATIENCE, async {
            while !fits(self.metric(line).await) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        });
        assert!(waited.await.is_ok(), "not within the test's time: {line}");
    }

    /// Waits until `/readyz` answers with this status.
    pub async fn until_ready(&self, status: u16) {
        let waited = tokio::time::timeout(PATIENCE, async {
            while self.readiness().await.0 != status {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        });
        assert!(
            waited.await.is_ok(),
            "not within the test's time: /readyz {status}"
        );
    }

    /// Waits until `/readyz` answers 503 with this reason alone.
    pub async fn until_reason(&self, reason: &str) {
        let wanted = (503, format!("{reason}\n"));
        let waited = tokio::time::timeout(PATIENCE, async {
            while self.readiness().await != wanted {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        });
        assert!(
            waited.await.is_ok(),
            "not within the test's time: /readyz says {reason}"
        );
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// `POST /v1/batches` as `crew`.
    pub async fn submit(&self, key: &str, body: String) -> (u16, Value) {
        let request = self.http.post(self.url("/v1/batches"));
        let request = request.header("Idempotency-Key", key).body(body);
        answer(request.bearer_auth(KEY)).await
    }

    pub async fn get(&self, path: &str) -> (u16, Value) {
        answer(self.http.get(self.url(path)).bearer_auth(KEY)).await
    }

    pub async fn post(&self, path: &str) -> (u16, Value) {
        answer(self.http.post(self.url(path)).bearer_auth(KEY)).await
    }
}

/// Builds an online request of the tenant `crew` for four tokens.
pub fn online(node: &TestNode, prompt: &str) -> reqwest::RequestBuilder {
    let body = serde_json::json!({"model": "fanar", "prompt": prompt, "max_tokens": 4});
    let request = node.http.post(node.url("/v1/completions"));
    request.bearer_auth(KEY).json(&body)
}

/// Returns the code and outcome of a failure, or why there is none.
pub fn error_of(body: &Value) -> (&str, &str) {
    let text = |field: &str| body["error"][field].as_str().unwrap_or("no error");
    (text("code"), text("outcome"))
}

/// Sends a request and returns the status and the JSON body.
pub async fn answer(request: reqwest::RequestBuilder) -> (u16, Value) {
    let response = request.send().await.expect("an answer");
    let status = response.status().as_u16();
    (status, response.json().await.expect("JSON"))
}

fn node_settings() -> NodeSettings {
    NodeSettings {
        name: "node-1".into(),
        zone: "zone-1".into(),
        neighbours: Vec::new(),
        listen: free_address(),
        admin: free_address(),
        body_limit_kib: 1_024,
        batch_limit_kib: 1_024,
        worker_subset: 8,
        report_poll_ms: 20,
        drain_lead_ms: 0,
        drain_ms: 20_000,
    }
}

/// One line of a batch for the service `fanar`.
pub fn line(custom_id: &str, prompt: &str) -> String {
    let body = serde_json::json!({"model": "fanar", "prompt": prompt, "max_tokens": 4});
    let line = serde_json::json!({
        "custom_id": custom_id, "method": "POST", "url": "/v1/completions", "body": body,
    });
    format!("{line}\n")
}

/// Builds a batch line like `line` whose item must not be retried.
pub fn once(custom_id: &str, prompt: &str) -> String {
    line(custom_id, prompt).replacen('{', "{\"at_most_once\":true,", 1)
}
