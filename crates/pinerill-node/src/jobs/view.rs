//! Formats jobs and results as JSON for callers.

use pinerill_types::job::{ItemCounts, ItemState, JobState, JobStatus};
use pinerill_types::ServiceName;
use pinerill_wire::message::ItemResult;
use serde::Serialize;
use serde_json::value::RawValue;
use serde_json::{json, Value};

#[derive(Serialize)]
struct JobBody<'a> {
    id: String,
    object: &'static str,
    state: JobState,
    service: &'a ServiceName,
    counts: &'a ItemCounts,
    created_ms: u64,
    deadline_ms: u64,
    expires_ms: u64,
}

/// Returns the JSON representation of a job, as described in `docs/API.md`.
pub fn job_json(job: &JobStatus) -> Value {
    let body = JobBody {
        id: job.id.to_string(),
        object: "batch",
        state: job.state,
        service: &job.service,
        counts: &job.counts,
        created_ms: job.created_ms,
        deadline_ms: job.deadline_ms,
        expires_ms: job.expires_ms,
    };
    json!(body)
}

#[derive(Serialize)]
struct ResultBody<'a> {
    custom_id: &'a str,
    index: u32,
    state: ItemState,
    response: Option<ResponseBody<'a>>,
    error: Option<Value>,
}

#[derive(Serialize)]
struct ResponseBody<'a> {
    body: &'a RawValue,
}

/// Formats the result of one item as a JSON line, including the line terminator.
pub fn result_line(result: &ItemResult) -> String {
    let answer = (result.state == ItemState::Completed)
        .then(|| serde_json::from_str::<&RawValue>(&result.body).ok())
        .flatten();
    let body = ResultBody {
        custom_id: &result.custom_id,
        index: result.index,
        state: result.state,
        response: answer.map(|body| ResponseBody { body }),
        error: answer.is_none().then(|| error_value(result)),
    };
    let line = serde_json::to_string(&body);
    let mut line = line.unwrap_or_else(|error| json!({ "error": error.to_string() }).to_string());
    line.push('\n');
    line
}

/// Returns the error as a JSON object: the object reported by a node, or one built from
/// the text of a control machine.
fn error_value(result: &ItemResult) -> Value {
    match serde_json::from_str::<Value>(&result.body) {
        Ok(value @ Value::Object(_)) => value,
        _ => json!({ "code": result.state, "message": result.body }),
    }
}
