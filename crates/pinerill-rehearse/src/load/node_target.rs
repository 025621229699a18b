//! Sends online requests to pinerill's nodes, in the callers' usual shape.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_trait::async_trait;
use serde_json::json;

use super::content::OnlineRequest;
use super::online::{OnlineTarget, Sent};

/// The nodes, called in turn.
#[derive(Debug)]
pub struct NodeTarget {
    /// Client of all requests.
    pub client: reqwest::Client,
    /// Addresses for callers.
    pub nodes: Vec<SocketAddr>,
    /// The caller's bearer key.
    pub key: String,
    /// The service that is asked for.
    pub service: String,
    next: AtomicUsize,
}

impl NodeTarget {
    /// A target that calls `nodes` in turn.
    pub fn new(
        client: reqwest::Client,
        nodes: Vec<SocketAddr>,
        key: String,
        service: String,
    ) -> Self {
        Self {
            client,
            nodes,
            key,
            service,
            next: AtomicUsize::new(0),
        }
    }

    /// The next node.
    pub fn next_node(&self) -> SocketAddr {
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        self.nodes[turn % self.nodes.len()]
    }
}

#[async_trait]
impl OnlineTarget for NodeTarget {
    async fn send(&self, request: &OnlineRequest) -> reqwest::Result<Sent> {
        let body = json!({
            "model": self.service,
            "prompt": request.prompt,
            "max_tokens": request.max_tokens,
            "stream": true,
        });
        let url = format!("http://{}/v1/completions", self.next_node());
        let mut call = self.client.post(url).bearer_auth(&self.key).json(&body);
        call = call.header("Pinerill-Request-Id", &request.request_id);
        if request.arrival.at_most_once {
            call = call.header("Pinerill-At-Most-Once", "true");
        }
        Ok(Sent {
            response: call.send().await?,
            guard: None,
        })
    }
}
