//! A request as it arrives at an engine, and what the engine keeps of it.

use serde::Deserialize;
use tokio::sync::watch;

use crate::answer::{
    block_names, content_name, prompt_tokens, without_version, Answer, DEFAULT_MAX_TOKENS,
};
use crate::engine::messages::{Priority, RequestId, Submission};
use crate::ledger::unix_us;
use crate::standin::http::{Failure, RequestHeaders};

/// Body of a completion or chat completion request.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionBody {
    /// Model, with or without `@version`.
    pub model: String,
    /// Prompt of a completion.
    pub prompt: Option<String>,
    /// Messages of a chat completion.
    pub messages: Option<Vec<ChatMessage>>,
    /// Length of the answer, in tokens.
    pub max_tokens: Option<u32>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// One message of a chat completion.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatMessage {
    /// Its text.
    pub content: String,
}

impl CompletionBody {
    /// Reads a body; the error is a refusal with status 400.
    pub fn parse(body: Option<Vec<u8>>) -> Result<Self, Failure> {
        let body = body.ok_or_else(|| bad_request("the body is too large or cut"))?;
        let parsed: Self =
            serde_json::from_slice(&body).map_err(|error| bad_request(error.to_string()))?;
        if parsed.max_tokens == Some(0) {
            return Err(bad_request("max_tokens must be at least 1"));
        }
        Ok(parsed)
    }

    /// The prompt, or the messages' contents joined by line ends.
    pub fn prompt_text(&self) -> Result<String, Failure> {
        if let Some(prompt) = &self.prompt {
            return Ok(prompt.clone());
        }
        let messages = self
            .messages
            .as_ref()
            .ok_or_else(|| bad_request("prompt or messages is missing"))?;
        let contents: Vec<&str> = messages.iter().map(|m| m.content.as_str()).collect();
        Ok(contents.join("\n"))
    }

    /// Length of the answer, in tokens.
    pub fn answer_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

/// A request to an engine, body and headers read.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Identifier.
    pub request_id: RequestId,
    /// Model as the body names it.
    pub model: String,
    /// Adapter, empty for none.
    pub adapter: String,
    /// Prompt text.
    pub prompt: String,
    /// Length of the answer, in tokens.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Priority; online unless the header says otherwise.
    pub priority: Priority,
    /// Tokens delivered elsewhere.
    pub continue_from: u32,
    /// Handle of an imported prefill.
    pub kv_handle: Option<String>,
}

impl EngineRequest {
    /// Reads a request; the error is a refusal with status 400.
    pub fn parse(body: Option<Vec<u8>>, headers: &RequestHeaders) -> Result<Self, Failure> {
        let body = CompletionBody::parse(body)?;
        let request_id = headers
            .get("X-Request-Id")
            .ok_or_else(|| bad_request("X-Request-Id is missing"))?;
        let priority = match headers.get("X-Priority") {
            None | Some("online") => Priority::Online,
            Some("batch") => Priority::Batch,
            Some(other) => return Err(bad_request(format!("X-Priority {other}"))),
        };
        let continue_from = match headers.get("X-Continue-From") {
            None => 0,
            Some(text) => text
                .parse()
                .map_err(|_| bad_request(format!("X-Continue-From {text}")))?,
        };
        Ok(Self {
            request_id: request_id.into(),
            prompt: body.prompt_text()?,
            max_tokens: body.answer_tokens(),
            stream: body.stream,
            model: body.model,
            adapter: headers.get("X-Adapter").unwrap_or("").to_string(),
            priority,
            continue_from,
            kv_handle: headers.get("X-Kv-Handle").map(str::to_string),
        })
    }

    /// Name of the request's content.
    pub fn content(&self) -> String {
        content_name(&self.model, &self.adapter, &self.prompt)
    }

    /// The request as the engine model sees it.
    pub fn submission(&self, block_tokens: u32, imported_tokens: u32) -> Submission {
        Submission {
            request_id: self.request_id.clone(),
            priority: self.priority,
            prompt_tokens: prompt_tokens(&self.prompt),
            max_tokens: self.max_tokens,
            continue_from: self.continue_from,
            blocks: block_names(&self.model, &self.adapter, &self.prompt, block_tokens),
            imported_tokens,
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishReason {
    /// The answer is whole.
    Length,
    /// It was cancelled.
    Cancelled,
}

impl FinishReason {
    /// The word in answers.
    pub fn word(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Cancelled => "cancelled",
        }
    }
}

/// How far a request is.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Answer tokens so far.
    pub generated: u32,
    /// Prompt tokens that were found in the prefix cache.
    pub cached_tokens: u32,
    /// Tokens prefilled again after their KV cache was lost.
    pub recomputed_tokens: u32,
    /// Whether it ever had a slot.
    pub started: bool,
    /// When its first token here was generated, Unix time in microseconds.
    pub first_token_us: Option<u64>,
    /// How it ended.
    pub finish: Option<FinishReason>,
}

/// What an engine keeps of a request for as long as it lives.
#[derive(Debug)]
pub struct RequestRecord {
    /// Identifier.
    pub request_id: RequestId,
    /// Identifier as a JSON string, quotes included.
    pub quoted_id: String,
    /// Its answer.
    pub answer: Answer,
    /// Name of its content.
    pub content: String,
    /// Model as the request named it, with its version if that was given.
    pub model: String,
    /// Priority.
    pub priority: Priority,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Tokens delivered elsewhere.
    pub continue_from: u32,
    /// When it arrived, Unix time in microseconds.
    pub arrived_us: u64,
    /// How far it is.
    pub progress: watch::Sender<Progress>,
}

impl RequestRecord {
    /// The record of a request that was just taken in.
    pub fn new(request: &EngineRequest) -> Self {
        let progress = Progress {
            generated: request.continue_from,
            ..Progress::default()
        };
        Self {
            request_id: request.request_id.clone(),
            quoted_id: serde_json::Value::from(&*request.request_id).to_string(),
            answer: Answer::new(
                without_version(&request.model),
                &request.adapter,
                &request.prompt,
            ),
            content: request.content(),
            model: request.model.clone(),
            priority: request.priority,
            prompt_tokens: prompt_tokens(&request.prompt),
            continue_from: request.continue_from,
            arrived_us: unix_us(),
            progress: watch::Sender::new(progress),
        }
    }
}

fn bad_request(message: impl Into<String>) -> Failure {
    Failure::new(400, "bad_request", message)
}
