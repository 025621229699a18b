//! The ledger of what really ran at the engines: JSON lines, written as it
//! happens.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::Context;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::engine::messages::Priority;

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerEvent {
    /// Its first prefill began.
    Started,
    /// It gave its slot to an online request.
    Preempted,
    /// It runs again.
    Resumed,
    /// It ended with its whole answer.
    Finished,
    /// It was ended by a cancel.
    Cancelled,
}

/// One line of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerLine {
    /// When it happened, Unix time in microseconds.
    pub time_us: u64,
    /// When the request arrived, Unix time in microseconds.
    pub arrived_us: u64,
    /// When its first token here was generated, Unix time in microseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub first_token_us: Option<u64>,
    /// Full name of the engine, `{worker}/{engine}`.
    pub engine: String,
    /// Incarnation of the worker.
    pub incarnation: u64,
    /// What happened.
    pub event: LedgerEvent,
    /// Identifier of the request.
    pub request_id: String,
    /// Name of its model, adapter and prompt (`answer::content_name`).
    pub content: String,
    /// Model as the request named it, with its version if that was given.
    #[serde(default)]
    pub model: String,
    /// Its priority.
    pub priority: Priority,
    /// Length of its prompt, in tokens.
    pub prompt_tokens: u32,
    /// Prompt tokens that were found in the prefix cache.
    pub cached_tokens: u32,
    /// Tokens delivered elsewhere before this engine.
    pub continue_from: u32,
    /// Number of answer tokens at this moment, `continue_from` included.
    pub generated: u32,
    /// Tokens prefilled again after their KV cache was lost.
    pub recomputed_tokens: u32,
    /// Digest of the whole answer, when finished.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub digest: Option<String>,
}

/// A ledger that is being written.
#[derive(Debug, Default)]
pub struct Ledger {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    text: Vec<u8>,
    file: Option<File>,
}

impl Ledger {
    /// A ledger that is kept in memory and, with a path, in a file too. Each
    /// line is with the operating system when `append` returns, so it outlives
    /// the process. Fails when the file can't be opened.
    pub fn open(path: Option<&Path>) -> anyhow::Result<Self> {
        let file = path.map(open_file).transpose()?;
        let inner = Inner {
            text: Vec::new(),
            file,
        };
        Ok(Self {
            inner: Mutex::new(inner),
        })
    }

    /// Appends lines in order. Fails when the file can't be written.
    pub fn append(&self, lines: &[LedgerLine]) -> io::Result<()> {
        if lines.is_empty() {
            return Ok(());
        }
        let mut text = Vec::with_capacity(lines.len() * 256);
        for line in lines {
            serde_json::to_writer(&mut text, line)?;
            text.push(b'\n');
        }
        let mut inner = self.inner.lock();
        if let Some(file) = inner.file.as_mut() {
            file.write_all(&text)?;
        }
        inner.text.extend_from_slice(&text);
        Ok(())
    }

    /// All lines so far.
    pub fn text(&self) -> Vec<u8> {
        self.inner.lock().text.clone()
    }
}

/// Reads a ledger file. A last line that was cut by a kill is left out. Fails
/// when the file can't be read or another line is malformed.
pub fn read_file(path: &Path) -> anyhow::Result<Vec<LedgerLine>> {
    let text =
        std::fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    parse(&text).with_context(|| format!("ledger {}", path.display()))
}

/// Reads ledger lines; see `read_file`.
pub fn parse(text: &str) -> anyhow::Result<Vec<LedgerLine>> {
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    whole
        .lines()
        .map(|line| serde_json::from_str(line).with_context(|| format!("line {line}")))
        .collect()
}

/// Unix time in microseconds.
pub fn unix_us() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |time| time.as_micros() as u64)
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    unix_us() / 1_000
}

fn open_file(path: &Path) -> anyhow::Result<File> {
    File::options()
        .create(true)
        .append(true)
        .open(path)
        .with_context(|| format!("opening ledger {}", path.display()))
}
