//! Answers of an engine: streamed as SSE or whole.

use std::sync::Arc;

use futures::stream::{self, Stream};
use serde_json::json;
use tokio::sync::watch;

use super::host::{EngineHost, ReaderGuard};
use super::request::{Progress, RequestRecord};

/// The last event of every stream.
const DONE: &str = "data: [DONE]\n\n";

/// Reads the answer of one request from an offset on.
pub struct AnswerReader {
    record: Arc<RequestRecord>,
    progress: watch::Receiver<Progress>,
    position: u32,
    ended: bool,
    _guard: ReaderGuard,
}

impl AnswerReader {
    /// A reader that starts at token `offset`.
    pub fn new(host: &Arc<EngineHost>, record: Arc<RequestRecord>, offset: u32) -> Self {
        Self {
            progress: record.progress.subscribe(),
            record,
            position: offset,
            ended: false,
            _guard: host.reader(),
        }
    }

    /// The answer as SSE events; each holds all tokens since the last.
    pub fn events(self) -> impl Stream<Item = String> + Send {
        stream::unfold(self, |mut reader| async move {
            let event = reader.next_event().await?;
            Some((event, reader))
        })
    }

    /// Waits for the end and gives the whole answer as one JSON body.
    pub async fn whole(mut self) -> String {
        let ended = self.progress.wait_for(|progress| progress.finish.is_some());
        let progress = match ended.await {
            Ok(progress) => *progress,
            Err(_) => *self.record.progress.borrow(),
        };
        let text = self.record.answer.text(self.position, progress.generated);
        let mut body = self.final_fields(&progress);
        body["offset"] = json!(self.position);
        body["tokens"] = json!(progress.generated.saturating_sub(self.position));
        body["text"] = json!(text);
        body.to_string()
    }

    async fn next_event(&mut self) -> Option<String> {
        if self.ended {
            return None;
        }
        loop {
            let progress = *self.progress.borrow_and_update();
            if progress.generated > self.position || progress.finish.is_some() {
                return Some(self.event(&progress));
            }
            self.progress.changed().await.ok()?;
        }
    }

    /// Tokens since the last event, and the end when it is there.
    fn event(&mut self, progress: &Progress) -> String {
        let mut event = String::with_capacity(256);
        if progress.generated > self.position {
            self.append_tokens(progress.generated, &mut event);
        }
        if progress.finish.is_some() {
            let mut fields = self.final_fields(progress);
            fields["offset"] = json!(progress.generated);
            fields["tokens"] = json!(0);
            fields["text"] = json!("");
            event.push_str(&format!("data: {fields}\n\n"));
            event.push_str(DONE);
            self.ended = true;
        }
        event
    }

    fn append_tokens(&mut self, generated: u32, event: &mut String) {
        event.push_str("data: {\"request_id\":");
        event.push_str(&self.record.quoted_id);
        let tokens = generated - self.position;
        let counts = format!(",\"offset\":{},\"tokens\":{tokens}", self.position);
        event.push_str(&counts);
        event.push_str(",\"text\":\"");
        self.record
            .answer
            .append_text(self.position, generated, event);
        event.push_str("\"}\n\n");
        self.position = generated;
    }

    fn final_fields(&self, progress: &Progress) -> serde_json::Value {
        let finish = progress.finish.map(|reason| reason.word());
        json!({
            "request_id": &*self.record.request_id,
            "finish_reason": finish,
            "usage": {
                "prompt_tokens": self.record.prompt_tokens,
                "completion_tokens": progress.generated,
                "cached_tokens": progress.cached_tokens,
            },
            "digest": self.record.answer.digest(progress.generated),
        })
    }
}
