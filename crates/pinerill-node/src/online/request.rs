//! Reads a caller's body and prepares the one that goes to engines.
//!
//! Only the fields that matter here are looked at; all others are copied as
//! they stand, without being parsed.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;

/// Which of the two calls it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// `/v1/completions`
    Completion,
    /// `/v1/chat/completions`
    Chat,
}

impl RequestKind {
    /// The path at callers, engines and scripts alike.
    pub fn path(self) -> &'static str {
        match self {
            Self::Completion => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }

    /// The call with this path.
    pub fn from_path(path: &str) -> Option<Self> {
        [Self::Completion, Self::Chat]
            .into_iter()
            .find(|kind| kind.path() == path)
    }
}

/// What is wrong with a body.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RequestProblem {
    /// Not a JSON object.
    #[error("the body is not a JSON object: {0}")]
    Json(String),
    /// A field is missing or of the wrong type.
    #[error("{field}: {expected}")]
    Field {
        /// The field.
        field: &'static str,
        /// What would be right.
        expected: &'static str,
    },
}

/// A caller's request, read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedRequest {
    /// The service that the caller names as model.
    pub service: String,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// Longest answer, tokens, if the caller says so.
    pub max_tokens: Option<u32>,
    /// The prompt, or the contents of the messages, one a line.
    pub prompt: String,
    /// All other fields, ready to be put behind `model` and `stream`:
    /// `,"name":value` for each.
    pub other_fields: String,
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    content: std::borrow::Cow<'a, str>,
}

/// Reads a body.
///
/// # Errors
/// [`RequestProblem`] that names the field and what would be right.
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
    let contents: Vec<&str> = messages.iter().map(|one| one.content.as_ref()).collect();
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
    /// The body for a back end that knows the model as `model`.
    pub fn body(&self, model: &str, stream: bool) -> Bytes {
        let name = serde_json::Value::from(model);
        Bytes::from(format!(
            "{{\"model\":{name},\"stream\":{stream}{}}}",
            self.other_fields
        ))
    }

    /// The body that only fills the KV cache: one token of answer.
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
