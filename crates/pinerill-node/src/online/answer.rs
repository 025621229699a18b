//! Encodes answers in the format of the OpenAI completions API, either as
//! server-sent events or as one JSON body.
//!
//! The JSON prefix that all chunks of a stream share is formatted once per
//! answer, so that each chunk only has to escape its own text.

use crate::engine::{Finish, Usage};
use crate::failure::RequestFailure;

use super::request::RequestKind;

/// Encodes the answer to one completion or chat request as JSON.
#[derive(Debug, Clone)]
pub struct Encoder {
    kind: RequestKind,
    chunk_prefix: String,
    body_prefix: String,
    first_chunk_sent: bool,
}

impl Encoder {
    /// Creates the encoder of the answer to `request_id`. `service` is reported
    /// as the model; `created` is in seconds since the Unix epoch.
    pub fn new(kind: RequestKind, request_id: &str, service: &str, created: u64) -> Self {
        let (prefix, chunk_object, body_object) = match kind {
            RequestKind::Completion => ("cmpl", "text_completion", "text_completion"),
            RequestKind::Chat => ("chatcmpl", "chat.completion.chunk", "chat.completion"),
        };
        let object_prefix = |object: &str| {
            let service = json_string(service);
            format!(
                "{{\"id\":\"{prefix}-{request_id}\",\"object\":\"{object}\",\"created\":{created},\"model\":{service},\"choices\":[{{\"index\":0,"
            )
        };
        Self {
            kind,
            chunk_prefix: object_prefix(chunk_object),
            body_prefix: object_prefix(body_object),
            first_chunk_sent: false,
        }
    }

    /// Returns an event with more text. The first event of a chat answer also
    /// carries the role.
    pub fn text_chunk(&mut self, text: &str) -> String {
        let mut out = String::with_capacity(self.chunk_prefix.len() + text.len() + 96);
        out.push_str("data: ");
        out.push_str(&self.chunk_prefix);
        match (self.kind, self.first_chunk_sent) {
            (RequestKind::Completion, _) => out.push_str("\"text\":"),
            (RequestKind::Chat, false) => {
                out.push_str("\"delta\":{\"role\":\"assistant\",\"content\":");
            }
            (RequestKind::Chat, true) => out.push_str("\"delta\":{\"content\":"),
        }
        push_json_string(&mut out, text);
        if self.kind == RequestKind::Chat {
            out.push('}');
        }
        out.push_str(",\"finish_reason\":null}]}\n\n");
        self.first_chunk_sent = true;
        out
    }

    /// Returns the final event, with the finish reason and the usage, followed
    /// by the `[DONE]` marker that terminates the stream.
    pub fn last_chunk(&self, finish: &Finish) -> String {
        let empty = match self.kind {
            RequestKind::Completion => "\"text\":\"\"",
            RequestKind::Chat => "\"delta\":{}",
        };
        format!(
            "data: {}{empty},{}\n\ndata: [DONE]\n\n",
            self.chunk_prefix,
            json_suffix(finish)
        )
    }

    /// Returns the event that terminates a stream whose request failed after
    /// the stream had started.
    pub fn failure_chunk(failure: &RequestFailure) -> String {
        format!("data: {}\n\n", failure.json())
    }

    /// Returns the body of a complete, non-streaming answer.
    pub fn complete_body(&self, text: &str, finish: &Finish) -> String {
        let text = json_string(text);
        let content = match self.kind {
            RequestKind::Completion => format!("\"text\":{text}"),
            RequestKind::Chat => {
                format!("\"message\":{{\"role\":\"assistant\",\"content\":{text}}}")
            }
        };
        format!("{}{content},{}", self.body_prefix, json_suffix(finish))
    }
}

/// Returns the JSON text from `finish_reason` to the closing brace of the
/// answer object.
fn json_suffix(finish: &Finish) -> String {
    let Usage {
        prompt_tokens,
        completion_tokens,
        cached_tokens,
    } = finish.usage;
    let total = prompt_tokens + completion_tokens;
    let reason = json_string(&finish.reason);
    let digest = finish.digest.as_ref().map_or_else(String::new, |digest| {
        format!(",\"pinerill\":{{\"digest\":\"{digest}\"}}")
    });
    format!(
        "\"finish_reason\":{reason}}}],\"usage\":{{\"prompt_tokens\":{prompt_tokens},\"completion_tokens\":{completion_tokens},\"total_tokens\":{total},\"prompt_tokens_details\":{{\"cached_tokens\":{cached_tokens}}}}}{digest}}}"
    )
}

fn json_string(text: &str) -> String {
    let mut out = String::with_capacity(text.len() + 2);
    push_json_string(&mut out, text);
    out
}

/// Appends `text` as a JSON string. Text without characters that need escaping
/// is copied directly; other text is escaped by `serde_json`.
fn push_json_string(out: &mut String, text: &str) {
    let needs_no_escape = |byte: u8| byte >= 0x20 && byte != b'"' && byte != b'\\';
    if text.bytes().all(needs_no_escape) {
        out.push('"');
        out.push_str(text);
        out.push('"');
        return;
    }
    out.push_str(&serde_json::Value::from(text).to_string());
}
