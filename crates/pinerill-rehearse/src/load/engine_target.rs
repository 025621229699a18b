//! Sends requests straight to engines, without pinerill: for baselines, for
//! the latency that pinerill adds, and for tests of the kit itself.

use std::sync::Arc;

use async_trait::async_trait;
use serde_json::json;

use super::content::OnlineRequest;
use super::dispatcher::Dispatcher;
use super::online::{OnlineTarget, Sent};

/// The `direct` target.
#[derive(Debug)]
pub struct EngineTarget {
    /// Client of all requests.
    pub client: reqwest::Client,
    /// Picks engines.
    pub dispatcher: Arc<Dispatcher>,
    /// Adapter of all requests, empty for none.
    pub adapter: String,
    /// The model that engines are asked for.
    pub model: String,
}

#[async_trait]
impl OnlineTarget for EngineTarget {
    async fn send(&self, request: &OnlineRequest) -> reqwest::Result<Sent> {
        let in_flight = self.dispatcher.pick_online();
        let url = in_flight
            .as_ref()
            .map(|in_flight| in_flight.entry.url("/v1/completions"))
            .unwrap_or_default();
        let body = json!({
            "model": self.model,
            "prompt": request.prompt,
            "max_tokens": request.max_tokens,
            "stream": true,
        });
        let mut call = self.client.post(url).json(&body);
        call = call.header("X-Request-Id", &request.request_id);
        call = call.header("X-Priority", "online");
        if !self.adapter.is_empty() {
            call = call.header("X-Adapter", &self.adapter);
        }
        Ok(Sent {
            response: call.send().await?,
            guard: in_flight.map(|in_flight| Box::new(in_flight) as Box<dyn Send>),
        })
    }
}
