//! Parses and validates the JSON lines of a batch body as they arrive. Does no I/O.
//!
//! A problem carries its line number, counted from 1. The digest covers the raw bytes,
//! so a resubmitted body has the same digest.

use std::borrow::Cow;

use pinerill_types::job::{ItemInput, ITEM_BODY_LIMIT, ITEM_LIMIT};
use pinerill_types::Digest;
use serde::Deserialize;
use serde_json::error::Category;
use serde_json::value::RawValue;
use sha2::{Digest as _, Sha256};

use crate::failure::{FailureCode, RequestFailure};
use crate::online::{parse_request, RequestKind, RequestProblem};

/// Maximum length of a `custom_id`, in bytes.
pub const CUSTOM_ID_LIMIT: usize = 256;
/// Maximum size of a line apart from its body, in bytes.
const LINE_EXTRA_BYTES: usize = 4 * 1024;
/// Maximum length of a line, in bytes.
const LINE_LIMIT: usize = ITEM_BODY_LIMIT + LINE_EXTRA_BYTES;
/// The only accepted value of `method`.
const METHOD: &str = "POST";

/// A validation error of one line.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {message}")]
pub struct LineProblem {
    /// Line number, counted from 1.
    pub line: u32,
    /// Failure code, as listed in `docs/API.md`.
    pub code: FailureCode,
    /// Description of what is expected.
    pub message: String,
}

impl LineProblem {
    fn new(line: u32, code: FailureCode, message: impl Into<String>) -> Self {
        Self {
            line,
            code,
            message: message.into(),
        }
    }
}

impl From<LineProblem> for RequestFailure {
    fn from(problem: LineProblem) -> Self {
        Self::not_run(problem.code, "read lines", problem.to_string())
    }
}

/// The validated lines of a whole body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchLines {
    /// The service that every line names.
    pub service: String,
    /// The items in the order of their lines.
    pub items: Vec<ItemInput>,
    /// SHA-256 digest of the raw body.
    pub digest: Digest,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Line<'a> {
    #[serde(borrow)]
    custom_id: Cow<'a, str>,
    #[serde(borrow)]
    method: Cow<'a, str>,
    #[serde(borrow)]
    url: Cow<'a, str>,
    #[serde(borrow)]
    body: &'a RawValue,
    #[serde(default)]
    at_most_once: bool,
}

/// Incremental parser of a body that arrives in chunks.
#[derive(Debug, Default)]
pub struct LineReader {
    hasher: Sha256,
    rest: Vec<u8>,
    line: u32,
    service: Option<String>,
    items: Vec<ItemInput>,
    /// Line number of each item.
    lines: Vec<u32>,
}

impl LineReader {
    /// Returns the service named by the first item, or `None` before that line is parsed.
    pub fn service(&self) -> Option<&str> {
        self.service.as_deref()
    }

    /// Parses the next chunk of the body.
    ///
    /// # Errors
    /// Returns the first problem of a line that ends in this chunk.
    pub fn push(&mut self, mut bytes: &[u8]) -> Result<(), LineProblem> {
        self.hasher.update(bytes);
        while let Some(at) = bytes.iter().position(|byte| *byte == b'\n') {
            let (line, rest) = bytes.split_at(at);
            bytes = &rest[1..];
            self.end_line(line)?;
        }
        self.rest.extend_from_slice(bytes);
        self.check_length(self.rest.len())
    }

    /// Parses the rest of the body at its end and checks the lines as a whole.
    ///
    /// # Errors
    /// Returns a problem of the last line or of the lines as a whole.
    pub fn finish(mut self) -> Result<BatchLines, LineProblem> {
        self.end_line(&[])?;
        self.check_identifiers()?;
        let Some(service) = self.service else {
            let code = FailureCode::InvalidRequest;
            return Err(LineProblem::new(1, code, "a batch has at least one line"));
        };
        Ok(BatchLines {
            service,
            items: self.items,
            digest: Digest(self.hasher.finalize().into()),
        })
    }

    fn end_line(&mut self, end: &[u8]) -> Result<(), LineProblem> {
        self.line += 1;
        self.check_length(self.rest.len() + end.len())?;
        if self.rest.is_empty() {
            return self.take_line(end);
        }
        let mut line = std::mem::take(&mut self.rest);
        line.extend_from_slice(end);
        self.take_line(&line)
    }

    fn check_length(&self, length: usize) -> Result<(), LineProblem> {
        if length <= LINE_LIMIT {
            return Ok(());
        }
        let message = format!("a line may have {LINE_LIMIT} bytes");
        Err(self.problem(FailureCode::BodyTooLarge, message))
    }

    fn take_line(&mut self, line: &[u8]) -> Result<(), LineProblem> {
        if line.iter().all(u8::is_ascii_whitespace) {
            return Ok(());
        }
        if self.items.len() == ITEM_LIMIT {
            let message = format!("a batch may have {ITEM_LIMIT} lines");
            return Err(self.problem(FailureCode::BodyTooLarge, message));
        }
        let line: Line<'_> =
            serde_json::from_slice(line).map_err(|error| self.json_problem(&error))?;
        self.check_line(&line)?;
        self.items.push(ItemInput {
            custom_id: line.custom_id.into_owned(),
            url: line.url.into_owned(),
            body: line.body.get().to_owned(),
            at_most_once: line.at_most_once,
        });
        self.lines.push(self.line);
        Ok(())
    }

    fn check_line(&mut self, line: &Line<'_>) -> Result<(), LineProblem> {
        let invalid = FailureCode::InvalidRequest;
        if line.custom_id.is_empty() || line.custom_id.len() > CUSTOM_ID_LIMIT {
            let message = format!("custom_id: 1 to {CUSTOM_ID_LIMIT} bytes");
            return Err(self.problem(invalid, message));
        }
        if line.method != METHOD {
            return Err(self.problem(invalid, format!("method: {METHOD}")));
        }
        let Some(kind) = RequestKind::from_path(&line.url) else {
            let message = "url: /v1/completions or /v1/chat/completions";
            return Err(self.problem(invalid, message));
        };
        let body = line.body.get();
        if body.len() > ITEM_BODY_LIMIT {
            let message = format!("body: at most {ITEM_BODY_LIMIT} bytes");
            return Err(self.problem(FailureCode::BodyTooLarge, message));
        }
        let parsed =
            parse_request(kind, body.as_bytes()).map_err(|problem| self.body_problem(&problem))?;
        self.check_service(parsed.service)
    }

    fn check_service(&mut self, service: String) -> Result<(), LineProblem> {
        match &self.service {
            None => self.service = Some(service),
            Some(first) if *first == service => {}
            Some(first) => {
                let message = format!("body.model: `{first}`, as in the first line");
                return Err(self.problem(FailureCode::InvalidRequest, message));
            }
        }
        Ok(())
    }

    /// Rejects the first line that repeats the `custom_id` of an earlier one. Sorts item
    /// indexes, which avoids a second copy of the identifiers.
    fn check_identifiers(&self) -> Result<(), LineProblem> {
        let identifier = |index: u32| self.items[index as usize].custom_id.as_str();
        let mut order: Vec<u32> = (0..self.items.len() as u32).collect();
        order.sort_unstable_by_key(|index| (identifier(*index), *index));
        let repeated = order
            .windows(2)
            .filter(|pair| identifier(pair[0]) == identifier(pair[1]))
            .min_by_key(|pair| pair[1]);
        let Some(pair) = repeated else {
            return Ok(());
        };
        let [first, second] = [pair[0], pair[1]].map(|index| self.lines[index as usize]);
        let message = format!(
            "custom_id: `{}` stands in line {first} already",
            identifier(pair[1])
        );
        let code = FailureCode::DuplicateCustomId;
        Err(LineProblem::new(second, code, message))
    }

    fn problem(&self, code: FailureCode, message: impl Into<String>) -> LineProblem {
        LineProblem::new(self.line.max(1), code, message)
    }

    fn body_problem(&self, problem: &RequestProblem) -> LineProblem {
        let code = match problem {
            RequestProblem::Json(_) => FailureCode::InvalidJson,
            RequestProblem::Field { .. } => FailureCode::InvalidRequest,
        };
        self.problem(code, format!("body: {problem}"))
    }

    /// Converts a JSON error. serde_json counts lines within its input, which is a single
    /// line here, so its line number is not used.
    fn json_problem(&self, error: &serde_json::Error) -> LineProblem {
        let code = match error.classify() {
            Category::Data => FailureCode::InvalidRequest,
            _ => FailureCode::InvalidJson,
        };
        let text = error.to_string();
        let message = text.split(" at line ").next().unwrap_or(&text);
        self.problem(code, format!("{message} (column {})", error.column()))
    }
}
