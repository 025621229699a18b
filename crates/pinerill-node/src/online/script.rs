//! Runs a request at a legacy script back end, an HTTP server with neither request
//! identifiers nor cancellation. Once a request may have reached it, the node
//! cannot find out whether the request ran.

use std::borrow::Cow;

use reqwest::{Client, StatusCode};
use serde::Deserialize;

use super::delivery::Delivery;
use super::execution::{AttemptFailure, OnlineRequest};
use super::retry::AttemptEnd;
use crate::engine::{error_chain, Finish, SseParser, Usage};
use crate::failure::FailureCode;

const DONE: &[u8] = b"[DONE]";

#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(borrow)]
    choices: Vec<Choice<'a>>,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(borrow, default)]
    text: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    delta: Option<Content<'a>>,
    #[serde(borrow, default)]
    message: Option<Content<'a>>,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Content<'a> {
    #[serde(borrow, default)]
    content: Option<Cow<'a, str>>,
}

impl Choice<'_> {
    fn text(&self) -> &str {
        let nested = self.delta.as_ref().or(self.message.as_ref());
        let nested = nested.and_then(|content| content.content.as_ref());
        self.text.as_ref().or(nested).map_or("", |text| text)
    }
}

/// Runs the request at a randomly chosen script address of its service.
///
/// # Errors
/// Returns an [`AttemptFailure`]. After the first text of a stream was
/// delivered, no other back end can continue the answer.
pub async fn run(
    http: &Client,
    request: &OnlineRequest,
    delivery: &Delivery,
) -> Result<Finish, AttemptFailure> {
    let peer = address(request)?;
    let body = request
        .parsed
        .body(request.plan.settings.model.as_str(), request.parsed.stream);
    let sent = http
        .post(format!("http://{peer}{}", request.kind.path()))
        .header("Content-Type", "application/json")
        .body(body)
        .send()
        .await;
    let response = match sent {
        Ok(response) => response,
        Err(error) if error.is_connect() => {
            let message = error_chain(&error);
            return Err(failure(&peer, AttemptEnd::NotRun, true, "connect", message));
        }
        Err(error) => return Err(may_have_run(&peer, true, error_chain(&error))),
    };
    if response.status() != StatusCode::OK {
        let message = format!("status {}", response.status());
        return Err(may_have_run(&peer, true, message));
    }
    if request.parsed.stream {
        return read_stream(&peer, response, delivery).await;
    }
    let body = response.bytes().await;
    let body = body.map_err(|error| may_have_run(&peer, true, error_chain(&error)))?;
    read_whole(&peer, &body, delivery).await
}

/// Picks one of the service's script addresses at random.
fn address(request: &OnlineRequest) -> Result<String, AttemptFailure> {
    let script = request.plan.settings.script.as_ref();
    let addresses = script.map_or(&[][..], |script| &script.addresses);
    if addresses.is_empty() {
        let message = "the service has no script".to_owned();
        return Err(failure(
            "script",
            AttemptEnd::NotRun,
            true,
            "connect",
            message,
        ));
    }
    let chosen = rand::random::<usize>() % addresses.len();
    Ok(addresses[chosen].to_string())
}

/// Forwards the first choice of a non-streaming answer as one text.
async fn read_whole(
    peer: &str,
    body: &[u8],
    delivery: &Delivery,
) -> Result<Finish, AttemptFailure> {
    let chunk: Chunk<'_> = serde_json::from_slice(body)
        .map_err(|error| may_have_run(peer, true, format!("unreadable answer: {error}")))?;
    let Some(choice) = chunk.choices.first() else {
        return Err(may_have_run(
            peer,
            true,
            "an answer without a choice".into(),
        ));
    };
    delivery.send_text(choice.text().to_owned()).await;
    let reason = choice.finish_reason.as_deref().unwrap_or("stop");
    Ok(finish(reason, chunk.usage))
}

/// Forwards a streamed answer. It is complete only after the `[DONE]` marker.
async fn read_stream(
    peer: &str,
    mut response: reqwest::Response,
    delivery: &Delivery,
) -> Result<Finish, AttemptFailure> {
    let mut parser = SseParser::default();
    let mut reason = None;
    let mut usage = None;
    let mut delivered = false;
    loop {
        let chunk = response.chunk().await;
        let bytes = chunk.map_err(|error| may_have_run(peer, !delivered, error_chain(&error)))?;
        let Some(bytes) = bytes else {
            return Err(may_have_run(
                peer,
                !delivered,
                "the stream ended early".into(),
            ));
        };
        parser
            .push(&bytes)
            .map_err(|error| may_have_run(peer, !delivered, error.to_string()))?;
        while let Some(data) = parser.next_data() {
            if data.as_ref() == DONE {
                return Ok(finish(reason.as_deref().unwrap_or("stop"), usage));
            }
            let chunk: Chunk<'_> = serde_json::from_slice(&data)
                .map_err(|error| may_have_run(peer, !delivered, error.to_string()))?;
            usage = chunk.usage.or(usage);
            let Some(choice) = chunk.choices.first() else {
                continue;
            };
            reason = choice.finish_reason.clone().or(reason);
            if !choice.text().is_empty() {
                delivered = true;
                delivery.send_text(choice.text().to_owned()).await;
            }
        }
    }
}

fn finish(reason: &str, usage: Option<Usage>) -> Finish {
    Finish {
        reason: reason.to_owned(),
        usage: usage.unwrap_or_default(),
        digest: None,
    }
}

/// Returns the failure of a request that may have run at the script back end.
fn may_have_run(peer: &str, can_continue: bool, message: String) -> AttemptFailure {
    failure(
        peer,
        AttemptEnd::MayHaveRun,
        can_continue,
        "await answer",
        message,
    )
}

fn failure(
    peer: &str,
    end: AttemptEnd,
    can_continue: bool,
    step: &'static str,
    message: String,
) -> AttemptFailure {
    AttemptFailure {
        end,
        can_continue,
        code: FailureCode::BackendFailed,
        step,
        peer: peer.to_owned(),
        message,
    }
}

/// Returns the failure of a request whose deadline passed during the attempt at
/// the script back end.
pub fn deadline_failure(request: &OnlineRequest) -> AttemptFailure {
    let script = request.plan.settings.script.as_ref();
    let peer = script
        .and_then(|script| script.addresses.first())
        .map_or_else(String::new, ToString::to_string);
    let message = "the deadline passed".to_owned();
    let mut failure = may_have_run(&peer, false, message);
    failure.code = FailureCode::DeadlineExceeded;
    failure
}
