//! Ledger lines, put together to runs and found by content.

use std::collections::HashMap;

use crate::engine::messages::Priority;
use crate::ledger::{LedgerEvent, LedgerLine};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// With its whole answer.
    Finished,
    /// By a cancel.
    Cancelled,
}

/// One run of a request at one incarnation of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Full name of the engine, `{worker}/{engine}`.
    pub engine: String,
    /// Incarnation of the worker.
    pub incarnation: u64,
    /// Identifier at the engine.
    pub request_id: String,
    /// Model as the request named it, with its version if that was given.
    pub model: String,
    /// Its priority.
    pub priority: Priority,
    /// When it arrived, Unix time in microseconds.
    pub arrived_us: u64,
    /// When it started, Unix time in microseconds.
    pub started_us: u64,
    /// How it ended; none when it did not.
    pub end: Option<RunEnd>,
    /// When it ended, Unix time in microseconds; 0 when it did not.
    pub ended_us: u64,
    /// Answer tokens delivered elsewhere before it.
    pub continue_from: u32,
    /// Answer tokens at its end, `continue_from` included.
    pub generated: u32,
    /// Tokens prefilled again after their KV cache was lost.
    pub recomputed_tokens: u32,
}

/// All runs by the name of their content.
#[derive(Clone, Debug, Default)]
pub struct LedgerIndex {
    runs: HashMap<String, Vec<Run>>,
}

impl LedgerIndex {
    /// Puts lines together to runs. The lines of one engine are in order.
    pub fn new(lines: &[LedgerLine]) -> Self {
        let mut index = Self::default();
        for line in lines {
            index.take(line);
        }
        index
    }

    /// All runs of a content.
    pub fn runs(&self, content: &str) -> &[Run] {
        self.runs.get(content).map_or(&[], Vec::as_slice)
    }

    /// Every run with the name of its content.
    pub fn all(&self) -> impl Iterator<Item = (&str, &Run)> {
        let contents = self.runs.iter();
        contents.flat_map(|(content, runs)| runs.iter().map(move |run| (content.as_str(), run)))
    }

    /// Whether a run of a content finished with `tokens` answer tokens.
    pub fn finished(&self, content: &str, tokens: u32) -> bool {
        self.runs(content)
            .iter()
            .any(|run| run.end == Some(RunEnd::Finished) && run.generated == tokens)
    }

    fn take(&mut self, line: &LedgerLine) {
        let runs = self.runs.entry(line.content.clone()).or_default();
        if line.event == LedgerEvent::Started {
            runs.push(Run::started(line));
            return;
        }
        let Some(run) = runs.iter_mut().rev().find(|run| run.is_of(line)) else {
            return;
        };
        run.generated = line.generated;
        run.recomputed_tokens = line.recomputed_tokens;
        run.end = match line.event {
            LedgerEvent::Finished => Some(RunEnd::Finished),
            LedgerEvent::Cancelled => Some(RunEnd::Cancelled),
            LedgerEvent::Started | LedgerEvent::Preempted | LedgerEvent::Resumed => return,
        };
        run.ended_us = line.time_us;
    }
}

impl Run {
    fn started(line: &LedgerLine) -> Self {
        Self {
            engine: line.engine.clone(),
            incarnation: line.incarnation,
            request_id: line.request_id.clone(),
            model: line.model.clone(),
            priority: line.priority,
            arrived_us: line.arrived_us,
            started_us: line.time_us,
            end: None,
            ended_us: 0,
            continue_from: line.continue_from,
            generated: line.generated,
            recomputed_tokens: 0,
        }
    }

    fn is_of(&self, line: &LedgerLine) -> bool {
        self.engine == line.engine
            && self.incarnation == line.incarnation
            && self.request_id == line.request_id
    }

    /// Name of its worker.
    pub fn worker(&self) -> &str {
        let split = self.engine.rsplit_once('/');
        split.map_or(self.engine.as_str(), |(worker, _)| worker)
    }
}
