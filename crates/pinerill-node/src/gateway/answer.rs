//! Responses to callers, converted to Rocket responses.

use std::io::Cursor;

use futures::stream::{Stream, StreamExt};
use rocket::http::{ContentType, Status};
use rocket::request::Request;
use rocket::response::stream::ReaderStream;
use rocket::response::{self, Responder, Response};

use crate::failure::{FailureCode, RequestFailure};

/// Milliseconds in a second; `Retry-After` is sent in whole seconds.
const SECOND_MS: u64 = 1_000;

/// A response body as a stream of encoded chunks.
pub type BodyStream = std::pin::Pin<Box<dyn Stream<Item = String> + Send>>;

/// Body of a response; the variant decides content type and status.
pub enum AnswerBody {
    /// One JSON body.
    Json(String),
    /// Server-sent events.
    Events(BodyStream),
    /// JSON lines.
    Lines(BodyStream),
    /// JSON error body with the status of its error code.
    Failure(RequestFailure),
}

/// Response to one request, with the request's identifier.
pub struct Answer {
    /// Value of the `Pinerill-Request-Id` response header.
    pub request_id: String,
    /// Body, from which status and content type follow.
    pub body: AnswerBody,
}

impl Answer {
    /// Creates a response that reports a failure.
    pub fn failure(request_id: impl Into<String>, failure: RequestFailure) -> Self {
        Self {
            request_id: request_id.into(),
            body: AnswerBody::Failure(failure),
        }
    }

    /// Creates a successful response with one JSON body.
    pub fn json(request_id: impl Into<String>, body: String) -> Self {
        Self {
            request_id: request_id.into(),
            body: AnswerBody::Json(body),
        }
    }
}

impl<'r> Responder<'r, 'r> for Answer {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'r> {
        let mut builder = Response::build();
        builder.raw_header("Pinerill-Request-Id", self.request_id);
        match self.body {
            AnswerBody::Json(body) => {
                builder.header(ContentType::JSON);
                builder.sized_body(body.len(), Cursor::new(body));
            }
            AnswerBody::Events(stream) => {
                builder.raw_header("Content-Type", "text/event-stream");
                builder.raw_header("Cache-Control", "no-cache");
                builder.streamed_body(ReaderStream::from(stream.map(Cursor::new)));
            }
            AnswerBody::Lines(stream) => {
                builder.raw_header("Content-Type", "application/jsonl");
                builder.streamed_body(ReaderStream::from(stream.map(Cursor::new)));
            }
            AnswerBody::Failure(failure) => respond_failure(&mut builder, &failure),
        }
        builder.ok()
    }
}

fn respond_failure(builder: &mut response::Builder<'_>, failure: &RequestFailure) {
    let body = failure.json();
    builder.status(Status::new(failure.code.status()));
    builder.header(ContentType::JSON);
    if failure.code == FailureCode::Draining {
        // Otherwise the caller's next request could be sent on a connection that
        // this node is closing.
        builder.raw_header("Connection", "close");
    }
    if let Some(milliseconds) = failure.retry_after_ms {
        let seconds = milliseconds.div_ceil(SECOND_MS);
        builder.raw_header("Retry-After", seconds.to_string());
    }
    builder.sized_body(body.len(), Cursor::new(body));
}
