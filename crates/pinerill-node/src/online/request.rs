//! Parses a caller's request body and builds the body that is sent to engines
//! and script back ends.
//!
//! Only the fields that the node needs are interpreted; the values of all other
//! fields are copied verbatim as raw JSON.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;

/// API call that a request makes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// `/v1/completions`
    Completion,
    /// `/v1/chat/completions`
    Chat,
}

impl RequestKind {
    /// Returns the HTTP path of the call, which is the same at the gateway, at
    /// engines and at script back ends.
    pub fn path(self) -> &'static str {
        match self {
            Self::Completion => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }

    /// Returns the call with this HTTP path, or `None` if no call has it.
    pub fn from_path(path: &str) -> Option<Self> {
        [Self::Completion, Self::Chat]
            .into_iter()
            .find(|kind| kind.path() == path)
    }
}

/// Why a request body is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RequestProblem {
    /// The body is not a JSON object; contains the parser's message.
    #[error("the body is not a JSON object: {0}")]
    Json(String),
    /// A field is missing, has the wrong type or an unsupported value.
    #[error("{field}: {expected}")]
    Field {
        /// Name of the field.
        field: &'static str,
        /// Description of a valid value.
        expected: &'static str,
    },
}

/// A parsed request body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedRequest {
    /// Requested service, from the field `model`.
    pub service: String,
    /// Whether the answer is streamed; false if the field is absent.
    pub stream: bool,
    /// Limit of the answer's length in tokens; `None` if the caller sets no
    /// limit.
    pub max_tokens: Option<u32>,
    /// Prompt of a completion, or the contents of the chat messages joined by
    /// line breaks.
    pub prompt: String,
    /// All fields except `model` and `stream` as JSON text, `,"name":value` for
    /// each, to be appended to these two.
    pub other_fields: String,
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    content: std::borrow::Cow<'a, str>,
}

/// Parses the body of a request.
///
/// # Errors
/// Returns a [`RequestProblem`] if the body is not a JSON object, or one that
/// names the invalid field and describes a valid value.
pub fn parse_request(kind: RequestKind, body: &[u8]) -> Result<ParsedRequest, RequestProblem> {
    let fields: BTreeMap<String, &RawValue> =
        serde_json::from_slice(body).map_err(|error| RequestProblem::Json(error.to_string()))?;
    let service = required(&fields, "model", "the name of a service")?;
    let stream = optional(&fields, "stream", "true or false")?.unwrap_or(false);
    let max_tokens = optional(&fields, "max_tokens", "a number of tokens, at least 1")?;
    check_counts(&fields, max_tokens)?;
    Ok(ParsedRequest {
        service,
        stream,
        max_tokens,
        prompt: prompt(kind, &fields)?,
        other_fields: other_fields(&fields),
    })
}

/// Rejects a token limit of zero and a number of choices other than one.
fn check_counts(
    fields: &BTreeMap<String, &RawValue>,
    max_tokens: Option<u32>,
) -> Result<(), RequestProblem> {
    if max_tokens == Some(0) {
        return Err(RequestProblem::Field {
            field: "max_tokens",
            expected: "a number of tokens, at least 1",
        });
    }
    let choices: Option<u32> = optional(fields, "n", "1; more answers than one are not served")?;
    if choices.is_some_and(|count| count != 1) {
        return Err(RequestProblem::Field {
            field: "n",
            expected: "1; more answers than one are not served",
        });
    }
    Ok(())
}

fn optional<'a, T: Deserialize<'a>>(
    fields: &BTreeMap<String, &'a RawValue>,
    field: &'static str,
    expected: &'static str,
) -> Result<Option<T>, RequestProblem> {
    let Some(raw) = fields.get(field) else {
        return Ok(None);
    };
    serde_json::from_str(raw.get()).map_err(|_| RequestProblem::Field { field, expected })
}

fn required<'a, T: Deserialize<'a>>(
    fields: &BTreeMap<String, &'a RawValue>,
    field: &'static str,
    expected: &'static str,
) -> Result<T, RequestProblem> {
    optional(fields, field, expected)?.ok_or(RequestProblem::Field { field, expected })
}

fn prompt(
    kind: RequestKind,
    fields: &BTreeMap<String, &RawValue>,
) -> Result<String, RequestProblem> {
    if kind == RequestKind::Completion {
        return required(fields, "prompt", "a text");
    }
    let expected = "a list of messages, each with a text as content";
    let messages: Vec<Message<'_>> = required(fields, "messages", expected)?;
    if messages.is_empty() {
        return Err(RequestProblem::Field {
            field: "messages",
            expected: "at least one message",
        });
    }
    let contents: Vec<&str> = messages
        .iter()
        .map(|message| message.content.as_ref())
        .collect();
    Ok(contents.join("\n"))
}

fn other_fields(fields: &BTreeMap<String, &RawValue>) -> String {
    let length = fields.values().map(|raw| raw.get().len()).sum::<usize>();
    let mut text = String::with_capacity(length + 16 * fields.len());
    for (name, raw) in fields {
        if name == "model" || name == "stream" {
            continue;
        }
        push_field(&mut text, name, raw.get());
    }
    text
}

fn push_field(text: &mut String, name: &str, raw: &str) {
    text.push(',');
    text.push_str(&serde_json::Value::from(name).to_string());
    text.push(':');
    text.push_str(raw);
}

impl ParsedRequest {
    /// Builds the body for a back end that serves the model under the name
    /// `model`.
    pub fn body(&self, model: &str, stream: bool) -> Bytes {
        let name = serde_json::Value::from(model);
        Bytes::from(format!(
            "{{\"model\":{name},\"stream\":{stream}{}}}",
            self.other_fields
        ))
    }

    /// Builds the body of a prefill request, which fills the KV cache and
    /// generates only one token.
    pub fn prefill_body(&self, model: &str) -> Bytes {
        let name = serde_json::Value::from(model);
        let other: BTreeMap<String, Box<RawValue>> = serde_json::from_str(&format!(
            "{{{}}}",
            self.other_fields.trim_start_matches(',')
        ))
        .unwrap_or_default();
        let mut text = format!("{{\"model\":{name},\"stream\":false,\"max_tokens\":1");
        for (field, raw) in other.iter().filter(|(field, _)| *field != "max_tokens") {
            push_field(&mut text, field, raw.get());
        }
        text.push('}');
        Bytes::from(text)
    }
}
