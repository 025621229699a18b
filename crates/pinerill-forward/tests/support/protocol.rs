//! Worker protocol of tests of exchanges.

use http::response::Parts;
use http::HeaderMap;
use pinerill_calls::job::Header;
use pinerill_calls::protocol::{
    AttemptContext, HealthAnswer, Verdict, WorkerAnswer, WorkerProtocol,
};

/// Reads the id and the stamp of a response from headers of these names.
pub struct NamingProtocol;

impl WorkerProtocol for NamingProtocol {
    fn call_headers(&self, caller: &HeaderMap, _: &AttemptContext<'_>) -> HeaderMap {
        caller.clone()
    }

    fn item_headers(&self, _: &str, _: &str, _: &[Header], _: &AttemptContext<'_>) -> HeaderMap {
        HeaderMap::new()
    }

    fn read_answer(&self, head: &Parts) -> WorkerAnswer {
        let id = head.headers.get("id").and_then(|id| id.to_str().ok());
        WorkerAnswer {
            id: id.map(str::to_owned),
            is_stamped: head.headers.contains_key("stamp"),
            is_health_answer: head.headers.contains_key("instance"),
            is_refusal: head.headers.contains_key("refused"),
            verdict: match head.status.is_success() {
                true => Verdict::Accepted,
                false => Verdict::Other,
            },
            load: None,
            closes_connection: false,
            has_content_encoding: false,
        }
    }

    fn read_health(&self, head: &Parts) -> HealthAnswer {
        HealthAnswer {
            healthy: head.status.is_success(),
            worker: None,
            cold_left_ms: None,
        }
    }

    fn answer_headers(&self, worker: &HeaderMap) -> HeaderMap {
        worker.clone()
    }
}
