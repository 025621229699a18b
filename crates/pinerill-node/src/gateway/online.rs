//! `/v1/completions`, `/v1/chat/completions` and `/v1/models`.

use std::sync::Arc;

use rocket::data::{Data, ToByteUnit};
use rocket::{get, post, State};
use tokio::sync::mpsc;

use super::admission::{admit, authenticate, Admitted};
use super::answer::{Answer, AnswerBody, BodyStream};
use super::caller::Caller;
use super::disconnect::DisconnectWatch;
use crate::clock;
use crate::failure::{FailureCode, RequestFailure};
use crate::node::Node;
use crate::online::{execute, Encoder, Event, RequestKind, EVENT_BUFFER_CAPACITY};

/// `POST /v1/completions`
#[post("/v1/completions", data = "<data>")]
pub async fn completions(node: &State<Arc<Node>>, caller: Caller, data: Data<'_>) -> Answer {
    run(node, caller, RequestKind::Completion, data).await
}

/// `POST /v1/chat/completions`
#[post("/v1/chat/completions", data = "<data>")]
pub async fn chat_completions(node: &State<Arc<Node>>, caller: Caller, data: Data<'_>) -> Answer {
    run(node, caller, RequestKind::Chat, data).await
}

/// `GET /v1/models`
#[get("/v1/models")]
pub fn models(node: &State<Arc<Node>>, caller: Caller) -> Answer {
    let id = caller.identifier();
    let authenticated = match authenticate(node, &caller) {
        Ok(authenticated) => authenticated,
        Err(failure) => return Answer::failure(id, failure),
    };
    let services = authenticated.catalog.tenant(&authenticated.tenant);
    let data: Vec<serde_json::Value> = services
        .iter()
        .flat_map(|tenant| tenant.services.iter())
        .map(|name| serde_json::json!({"id": name, "object": "model", "owned_by": "pinerill"}))
        .collect();
    let body = serde_json::json!({"object": "list", "data": data});
    Answer::json(id, body.to_string())
}

/// Reads a request body of at most `limit_kib` KiB.
///
/// # Errors
/// `body_too_large`, or `invalid_request` when the caller's connection broke.
pub async fn read_body(data: Data<'_>, limit_kib: u64) -> Result<Vec<u8>, RequestFailure> {
    let read = data.open(limit_kib.kibibytes()).into_bytes().await;
    match read {
        Ok(body) if body.is_complete() => Ok(body.into_inner()),
        Ok(_) => Err(RequestFailure::not_run(
            FailureCode::BodyTooLarge,
            "read body",
            format!("a body may have {limit_kib} KiB"),
        )),
        Err(error) => Err(RequestFailure::not_run(
            FailureCode::InvalidRequest,
            "read body",
            error.to_string(),
        )),
    }
}

async fn run(node: &Arc<Node>, caller: Caller, kind: RequestKind, data: Data<'_>) -> Answer {
    let id = caller.identifier();
    let admitted = match read_body(data, node.settings.body_limit_kib).await {
        Ok(body) => admit(node, &caller, &id, kind, &body),
        Err(failure) => Err(failure),
    };
    let (admitted, request) = match admitted {
        Ok(admitted) => admitted,
        Err(failure) => {
            let code = failure.code.word();
            node.metrics.requests.with_label_values(&[code]).inc();
            return Answer::failure(id, failure);
        }
    };
    let service = request.plan.name.as_str();
    let encoder = Encoder::new(kind, &id, service, clock::unix_ms() / 1_000);
    let stream = request.parsed.stream;
    let (sender, events) = mpsc::channel(EVENT_BUFFER_CAPACITY);
    tokio::spawn(execute(node.execution.clone(), request, sender));
    let reader = EventReader {
        events,
        disconnect: node.disconnects.watch(caller.remote),
        encoder,
        _admitted: admitted,
    };
    if stream {
        reader.answer_stream(id).await
    } else {
        reader.answer_whole(id).await
    }
}

/// Reads the events of an execution. Dropping the reader closes the channel,
/// which signals the execution that the caller has disconnected.
struct EventReader {
    events: mpsc::Receiver<Event>,
    disconnect: DisconnectWatch,
    encoder: Encoder,
    _admitted: Admitted,
}

impl EventReader {
    /// Returns the next event, or None when the caller has disconnected or the
    /// execution sends no more events.
    async fn next(&mut self) -> Option<Event> {
        tokio::select! {
            biased;
            event = self.events.recv() => event,
            () = self.disconnect.disconnected() => None,
        }
    }

    async fn answer_whole(mut self, id: String) -> Answer {
        let mut whole = String::new();
        loop {
            match self.next().await {
                Some(Event::Text(text)) => whole.push_str(&text),
                Some(Event::Finished(finish)) => {
                    return Answer::json(id, self.encoder.complete_body(&whole, &finish));
                }
                Some(Event::Failed(failure)) => return Answer::failure(id, failure),
                None => return Answer::failure(id, caller_disconnected()),
            }
        }
    }

    /// Streams the answer as server-sent events. A failure before the first text
    /// is still returned with its own HTTP status.
    async fn answer_stream(mut self, id: String) -> Answer {
        let first = match self.next().await {
            Some(Event::Failed(failure)) => return Answer::failure(id, failure),
            None => return Answer::failure(id, caller_disconnected()),
            Some(event) => event,
        };
        let body: BodyStream = Box::pin(futures::stream::unfold(
            Some((self, Some(first))),
            |state| async move {
                let (mut reader, first) = state?;
                let event = match first {
                    Some(event) => event,
                    None => reader.next().await?,
                };
                let (chunk, ended) = reader.encode(event);
                Some((chunk, (!ended).then_some((reader, None))))
            },
        ));
        Answer {
            request_id: id,
            body: AnswerBody::Events(body),
        }
    }

    /// Encodes an event together with all events already in the channel, as one
    /// chunk. The flag is true when the chunk ends the stream.
    fn encode(&mut self, event: Event) -> (String, bool) {
        let mut text = match event {
            Event::Text(text) => text,
            other => return (self.encode_end(&other), true),
        };
        let mut end = None;
        while let Ok(event) = self.events.try_recv() {
            match event {
                Event::Text(more) => text.push_str(&more),
                other => {
                    end = Some(other);
                    break;
                }
            }
        }
        let mut chunk = self.encoder.text_chunk(&text);
        if let Some(event) = &end {
            chunk.push_str(&self.encode_end(event));
        }
        (chunk, end.is_some())
    }

    fn encode_end(&self, event: &Event) -> String {
        match event {
            Event::Finished(finish) => self.encoder.last_chunk(finish),
            Event::Failed(failure) => Encoder::failure_chunk(failure),
            Event::Text(_) => String::new(),
        }
    }
}

fn caller_disconnected() -> RequestFailure {
    RequestFailure::unknown(FailureCode::Internal, "answer", "the caller has gone")
}
