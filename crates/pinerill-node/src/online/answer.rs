//! Encodes answers in the usual shape: chunks of a stream or one whole body.
//!
//! What stays the same over a stream is written once; each chunk costs only
//! the escaping of its text.

use crate::engine::{Finish, Usage};
use crate::failure::RequestFailure;

use super::request::RequestKind;

/// Encodes the answer to one request.
#[derive(Debug, Clone)]
pub struct Encoder {
    kind: RequestKind,
    chunk_start: String,
    body_start: String,
    started: bool,
}

impl Encoder {
    /// For the answer to `request_id` of the service `service`.
    pub fn new(kind: RequestKind, request_id: &str, service: &str, created: u64) -> Self {
        let (prefix, chunk_object, body_object) = match kind {
            RequestKind::Completion => ("cmpl", "text_completion", "text_completion"),
            RequestKind::Chat => ("chatcmpl", "chat.completion.chunk", "chat.completion"),
        };
        let start = |object: &str| {
            let service = json_text(service);
            format!(
                "{{\"id\":\"{prefix}-{request_id}\",\"object\":\"{object}\",\"created\":{created},\"model\":{service},\"choices\":[{{\"index\":0,"
            )
        };
        Self {
            kind,
            chunk_start: start(chunk_object),
            body_start: start(body_object),
            started: false,
        }
    }

    /// A chunk with text.
    pub fn text_chunk(&mut self, text: &str) -> String {
        let mut out = String::with_capacity(self.chunk_start.len() + text.len() + 96);
        out.push_str("data: ");
        out.push_str(&self.chunk_start);
        match (self.kind, self.started) {
            (RequestKind::Completion, _) => out.push_str("\"text\":"),
            (RequestKind::Chat, false) => {
                out.push_str("\"delta\":{\"role\":\"assistant\",\"content\":");
            }
            (RequestKind::Chat, true) => out.push_str("\"delta\":{\"content\":"),
        }
        push_json_text(&mut out, text);
        if self.kind == RequestKind::Chat {
            out.push('}');
        }
        out.push_str(",\"finish_reason\":null}]}\n\n");
        self.started = true;
        out
    }

    /// The last chunk and the end of the stream.
    pub fn last_chunk(&self, finish: &Finish) -> String {
        let empty = match self.kind {
            RequestKind::Completion => "\"text\":\"\"",
            RequestKind::Chat => "\"delta\":{}",
        };
        format!(
            "data: {}{empty},{}\n\ndata: [DONE]\n\n",
            self.chunk_start,
            ending(finish)
        )
    }

    /// The end of a stream that failed after its start.
    pub fn failure_chunk(failure: &RequestFailure) -> String {
        format!("data: {}\n\n", failure.json())
    }

    /// The whole answer.
    pub fn complete_body(&self, text: &str, finish: &Finish) -> String {
        let text = json_text(text);
        let content = match self.kind {
            RequestKind::Completion => format!("\"text\":{text}"),
            RequestKind::Chat => {
                format!("\"message\":{{\"role\":\"assistant\",\"content\":{text}}}")
            }
        };
        format!("{}{content},{}", self.body_start, ending(finish))
    }
}

/// From `finish_reason` to the end of the object.
fn ending(finish: &Finish) -> String {
    let Usage {
        prompt_tokens,
        completion_tokens,
        cached_tokens,
    } = finish.usage;
    let total = prompt_tokens + completion_tokens;
    let reason = json_text(&finish.reason);
    let digest = finish.digest.as_ref().map_or_else(String::new, |digest| {
        format!(",\"pinerill\":{{\"digest\":\"{digest}\"}}")
    });
    format!(
        "\"finish_reason\":{reason}}}],\"usage\":{{\"prompt_tokens\":{prompt_tokens},\"completion_tokens\":{completion_tokens},\"total_tokens\":{total},\"prompt_tokens_details\":{{\"cached_tokens\":{cached_tokens}}}}}{digest}}}"
    )
}

fn json_text(text: &str) -> String {
    let mut out = String::with_capacity(text.len() + 2);
    push_json_text(&mut out, text);
    out
}

/// Plain text is copied as it is; only what needs escapes goes through the
/// library.
fn push_json_text(out: &mut String, text: &str) {
    let plain = |byte: u8| byte >= 0x20 && byte != b'"' && byte != b'\\';
    if text.bytes().all(plain) {
        out.push('"');
        out.push_str(text);
        out.push('"');
        return;
    }
    out.push_str(&serde_json::Value::from(text).to_string());
}
