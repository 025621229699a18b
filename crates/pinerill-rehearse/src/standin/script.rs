//! The stand-in for an old script: slow and simple.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use futures::stream::{self, Stream};
use rocket::http::ContentType;
use rocket::response::stream::ByteStream;
use rocket::response::{self, Responder};
use rocket::{post, routes, Data, Request, State};
use serde_json::{json, Value};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::http::{self, read_body, Failure};
use super::worker::request::CompletionBody;
use crate::answer::{prompt_tokens, Answer};

/// The last event of every stream.
const DONE: &str = "data: [DONE]\n\n";

type ChunkStream = std::pin::Pin<Box<dyn Stream<Item = String> + Send>>;

/// Flags of an old script.
#[derive(Args, Debug, Clone)]
pub struct ScriptArguments {
    /// Address to listen at.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Requests served at once; others wait.
    #[arg(long, default_value_t = 4)]
    pub concurrency: usize,
    /// Prefill speed, in tokens per second.
    #[arg(long, default_value_t = 2_000)]
    pub prefill_tokens_per_second: u64,
    /// Time for each answer token, in milliseconds.
    #[arg(long, default_value_t = 40)]
    pub token_ms: u64,
}

#[derive(Debug)]
struct Script {
    arguments: ScriptArguments,
    slots: Arc<Semaphore>,
    answers: AtomicU64,
}

/// Which of the two shapes an answer has.
#[derive(Clone, Copy, Debug)]
enum Shape {
    Completion,
    Chat,
}

/// One answer being made.
#[derive(Debug)]
struct Job {
    id: String,
    shape: Shape,
    model: String,
    answer: Answer,
    prompt_tokens: u32,
    max_tokens: u32,
    token_time: Duration,
    _slot: OwnedSemaphorePermit,
}

/// Serves requests until SIGTERM or SIGINT.
pub async fn run(arguments: ScriptArguments) -> anyhow::Result<()> {
    let listen = arguments.listen;
    let script = Script {
        slots: Arc::new(Semaphore::new(arguments.concurrency)),
        answers: AtomicU64::new(0),
        arguments,
    };
    let server = http::server(listen).manage(script);
    http::serve_until_stopped(server.mount("/", routes![completions, chat_completions])).await
}

enum ScriptAnswer {
    Whole(String),
    Stream(ChunkStream),
}

impl<'r> Responder<'r, 'r> for ScriptAnswer {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        match self {
            Self::Whole(body) => (ContentType::JSON, body).respond_to(request),
            Self::Stream(chunks) => {
                let mut response = ByteStream(chunks).respond_to(request)?;
                response.set_header(ContentType::EventStream);
                Ok(response)
            }
        }
    }
}

#[post("/v1/completions", data = "<body>")]
async fn completions(script: &State<Script>, body: Data<'_>) -> Result<ScriptAnswer, Failure> {
    answer(script, Shape::Completion, body).await
}

#[post("/v1/chat/completions", data = "<body>")]
async fn chat_completions(script: &State<Script>, body: Data<'_>) -> Result<ScriptAnswer, Failure> {
    answer(script, Shape::Chat, body).await
}

async fn answer(script: &Script, shape: Shape, body: Data<'_>) -> Result<ScriptAnswer, Failure> {
    let body = CompletionBody::parse(read_body(body).await)?;
    let prompt = body.prompt_text()?;
    let stopped = |_| Failure::new(503, "stopping", "the script is stopping");
    let slot = script
        .slots
        .clone()
        .acquire_owned()
        .await
        .map_err(stopped)?;
    let number = script.answers.fetch_add(1, Ordering::Relaxed);
    let job = Job {
        id: format!("cmpl-{number}"),
        shape,
        answer: Answer::new(&body.model, "", &prompt),
        prompt_tokens: prompt_tokens(&prompt),
        max_tokens: body.answer_tokens(),
        token_time: Duration::from_millis(script.arguments.token_ms),
        model: body.model,
        _slot: slot,
    };
    let speed = script.arguments.prefill_tokens_per_second.max(1);
    let prefill_us = u64::from(job.prompt_tokens) * 1_000_000 / speed;
    tokio::time::sleep(Duration::from_micros(prefill_us)).await;
    if body.stream {
        return Ok(ScriptAnswer::Stream(Box::pin(job.chunks())));
    }
    tokio::time::sleep(job.token_time * job.max_tokens).await;
    Ok(ScriptAnswer::Whole(job.whole()))
}

impl Job {
    fn chunks(self) -> impl Stream<Item = String> + Send {
        stream::unfold((self, 0), |(job, sent)| async move {
            if sent > job.max_tokens {
                return None;
            }
            if sent == job.max_tokens {
                return Some((job.last_chunk(), (job, sent + 1)));
            }
            tokio::time::sleep(job.token_time).await;
            let text = job.answer.text(sent, sent + 1);
            let chunk = format!("data: {}\n\n", job.chunk(&text, None));
            Some((chunk, (job, sent + 1)))
        })
    }

    fn last_chunk(&self) -> String {
        format!("data: {}\n\n{DONE}", self.chunk("", Some("length")))
    }

    fn chunk(&self, text: &str, finish_reason: Option<&str>) -> Value {
        let choice = match self.shape {
            Shape::Completion => json!({"index": 0, "text": text}),
            Shape::Chat => json!({"index": 0, "delta": {"content": text}}),
        };
        let object = match self.shape {
            Shape::Completion => "text_completion",
            Shape::Chat => "chat.completion.chunk",
        };
        self.envelope(object, choice, finish_reason)
    }

    fn whole(&self) -> String {
        let text = self.answer.text(0, self.max_tokens);
        let choice = match self.shape {
            Shape::Completion => json!({"index": 0, "text": text}),
            Shape::Chat => {
                json!({"index": 0, "message": {"role": "assistant", "content": text}})
            }
        };
        let object = match self.shape {
            Shape::Completion => "text_completion",
            Shape::Chat => "chat.completion",
        };
        let mut body = self.envelope(object, choice, Some("length"));
        body["usage"] = json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.max_tokens,
            "total_tokens": self.prompt_tokens + self.max_tokens,
        });
        body.to_string()
    }

    fn envelope(&self, object: &str, mut choice: Value, finish_reason: Option<&str>) -> Value {
        choice["finish_reason"] = json!(finish_reason);
        json!({
            "id": self.id,
            "object": object,
            "model": self.model,
            "choices": [choice],
        })
    }
}
