//! Reads server-sent events of engines and nodes.

use serde::Deserialize;

/// One event, in an engine's shape or in the usual chunks of a node.
#[derive(Debug, Default, Deserialize)]
pub struct StreamEvent {
    /// Text in an engine's shape.
    text: Option<String>,
    /// Why the answer ended, in an engine's shape.
    finish_reason: Option<String>,
    /// Chunks in a node's shape.
    #[serde(default)]
    choices: Vec<Choice>,
    /// Failure after the start of a stream.
    pub error: Option<ErrorBody>,
}

/// A choice of a chunk or of a whole answer.
#[derive(Debug, Deserialize)]
struct Choice {
    text: Option<String>,
    delta: Option<Content>,
    message: Option<Content>,
    finish_reason: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Content {
    content: Option<String>,
}

/// The error of an answer of failure.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct ErrorBody {
    /// Code that programs read.
    pub code: String,
    /// Text for people.
    #[serde(default)]
    pub message: String,
    /// `not_run` or `unknown`, at nodes.
    pub outcome: Option<String>,
    /// Whether it started, at engines.
    pub started: Option<bool>,
    /// Step at which it failed.
    pub step: Option<String>,
    /// Peer at which it failed.
    pub peer: Option<String>,
}

impl ErrorBody {
    /// Whether the answer promises that the request did not run.
    pub fn says_not_run(&self) -> bool {
        let engine_says = self.started == Some(false) && self.code != "duplicate_request";
        engine_says || self.outcome.as_deref() == Some("not_run")
    }
}

/// A failure as answered with a status.
#[derive(Debug, Default, Deserialize)]
pub struct FailureBody {
    /// The error.
    pub error: ErrorBody,
}

impl StreamEvent {
    /// Text of the event.
    pub fn text(&self) -> &str {
        let choice = self.choices.first();
        let of_choice = choice.and_then(Choice::text);
        self.text.as_deref().or(of_choice).unwrap_or("")
    }

    /// Why the answer ended, if it did.
    pub fn finish_reason(&self) -> Option<&str> {
        let choice = self.choices.first();
        let of_choice = choice.and_then(|choice| choice.finish_reason.as_deref());
        self.finish_reason.as_deref().or(of_choice)
    }
}

impl Choice {
    fn text(&self) -> Option<&str> {
        let content = self.delta.as_ref().or(self.message.as_ref());
        let of_content = content.and_then(|content| content.content.as_deref());
        self.text.as_deref().or(of_content)
    }
}

/// What one line block of a stream holds.
#[derive(Debug)]
pub enum Event {
    /// An event with data.
    Data(Box<StreamEvent>),
    /// The end mark.
    Done,
    /// Something that is no event of ours.
    Malformed(String),
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: Vec<u8>,
}

impl EventReader {
    /// Takes bytes in and hands out the events that are whole.
    pub fn push(&mut self, bytes: &[u8], events: &mut Vec<Event>) {
        self.buffer.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(length) = find_end(&self.buffer[start..]) {
            events.push(parse(&self.buffer[start..start + length]));
            start += length + END.len();
        }
        self.buffer.drain(..start);
    }
}

/// Bytes between two events.
const END: &[u8] = b"\n\n";

fn find_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(END.len()).position(|window| window == END)
}

fn parse(block: &[u8]) -> Event {
    let malformed = || Event::Malformed(String::from_utf8_lossy(block).into_owned());
    let Some(data) = block.strip_prefix(b"data:") else {
        return malformed();
    };
    let data = data.trim_ascii();
    if data == b"[DONE]" {
        return Event::Done;
    }
    serde_json::from_slice(data).map_or_else(|_| malformed(), |event| Event::Data(Box::new(event)))
}
