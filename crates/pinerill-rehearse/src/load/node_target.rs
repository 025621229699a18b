//! Sends online requests to pinerill's nodes, in the callers' usual shape.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_trait::async_trait;
use serde_json::json;

use super::content::OnlineRequest;
use super::online::{OnlineTarget, Sent};
use super::readiness::NodeReadiness;

/// In which of the usual shapes a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestShape {
    /// `/v1/completions`, answered as a stream.
    StreamedCompletion,
    /// `/v1/completions`, answered whole.
    WholeCompletion,
    /// `/v1/chat/completions`, answered as a stream.
    StreamedChat,
    /// `/v1/chat/completions`, answered whole.
    WholeChat,
}

impl RequestShape {
    /// All shapes.
    pub const ALL: [Self; 4] = [
        Self::StreamedCompletion,
        Self::WholeCompletion,
        Self::StreamedChat,
        Self::WholeChat,
    ];

    fn path(self) -> &'static str {
        match self {
            Self::StreamedCompletion | Self::WholeCompletion => "/v1/completions",
            Self::StreamedChat | Self::WholeChat => "/v1/chat/completions",
        }
    }

    fn body(self, service: &str, request: &OnlineRequest) -> serde_json::Value {
        let stream = matches!(self, Self::StreamedCompletion | Self::StreamedChat);
        let mut body = json!({
            "model": service,
            "max_tokens": request.max_tokens,
            "stream": stream,
        });
        match self {
            Self::StreamedCompletion | Self::WholeCompletion => {
                body["prompt"] = json!(request.prompt);
            }
            Self::StreamedChat | Self::WholeChat => {
                body["messages"] = json!([{"role": "user", "content": request.prompt}]);
            }
        }
        body
    }
}

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
    /// Shapes of the requests, in turn by their numbers.
    pub shapes: Vec<RequestShape>,
    /// What a load balancer knows of the nodes; without it, each has its turn
    /// whatever its state.
    pub readiness: Option<NodeReadiness>,
    next: AtomicUsize,
}

impl NodeTarget {
    /// A target that calls `nodes` in turn, for streamed completions.
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
            shapes: vec![RequestShape::StreamedCompletion],
            readiness: None,
            next: AtomicUsize::new(0),
        }
    }

    /// The same target with requests of these shapes in turn.
    pub fn with_shapes(self, shapes: &[RequestShape]) -> Self {
        Self {
            shapes: shapes.to_vec(),
            ..self
        }
    }

    /// The same target behind a load balancer that knows which nodes are ready.
    pub fn behind(self, readiness: NodeReadiness) -> Self {
        Self {
            readiness: Some(readiness),
            ..self
        }
    }

    /// The next node.
    pub fn next_node(&self) -> SocketAddr {
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        match &self.readiness {
            Some(readiness) => readiness.choose(turn),
            None => self.nodes[turn % self.nodes.len()],
        }
    }
}

#[async_trait]
impl OnlineTarget for NodeTarget {
    async fn send(&self, request: &OnlineRequest) -> reqwest::Result<Sent> {
        let turn = request.arrival.number as usize % self.shapes.len();
        let shape = self.shapes[turn];
        let body = shape.body(&self.service, request);
        let url = format!("http://{}{}", self.next_node(), shape.path());
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
