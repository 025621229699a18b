//! Ends of attempts on their way to their groups. Pure.
//!
//! A report stays until its group has answered, and may be sent many times:
//! the group gives the same verdict again.

use std::collections::{BTreeMap, VecDeque};

use pinerill_types::job::AttemptEnd;
use pinerill_wire::message::{AttemptRef, AttemptReport, EndAttempts};

use super::message::NodeIdentity;

/// How long a report waits for others, milliseconds.
const LINGER_MS: u64 = 10;
/// Pause after a call that failed, milliseconds.
const FAILED_PAUSE_MS: u64 = 200;
/// Most reports of one message.
const REPORTS_LIMIT: usize = 512;
/// Most bytes of answers in one message, unless one alone has more.
const BYTES_LIMIT: usize = 4 * 1024 * 1024;

#[derive(Debug, Default)]
struct GroupOutbox {
    waiting: VecDeque<AttemptReport>,
    /// How many of `waiting`, from the front, were sent and not answered.
    in_flight: usize,
    due_ms: u64,
}

/// Reports to all groups.
#[derive(Debug)]
pub struct Outbox {
    node: NodeIdentity,
    groups: BTreeMap<u32, GroupOutbox>,
}

impl Outbox {
    /// No reports.
    pub fn new(node: NodeIdentity) -> Self {
        Self {
            node,
            groups: BTreeMap::new(),
        }
    }

    /// Whether no report waits for an answer.
    pub fn is_empty(&self) -> bool {
        self.groups.values().all(|group| group.waiting.is_empty())
    }

    /// How many reports wait for an answer.
    pub fn len(&self) -> usize {
        self.groups.values().map(|group| group.waiting.len()).sum()
    }

    /// Adds a report.
    pub fn push(&mut self, now_ms: u64, attempt: AttemptRef, end: AttemptEnd) {
        let group = self.groups.entry(attempt.job.group).or_default();
        if group.waiting.is_empty() {
            group.due_ms = now_ms + LINGER_MS;
        }
        group.waiting.push_back(AttemptReport { attempt, end });
    }

    /// Messages that are to be sent now, one a group.
    pub fn due(&mut self, now_ms: u64) -> Vec<EndAttempts> {
        let mut due = Vec::new();
        for (group, outbox) in &mut self.groups {
            let ready = !outbox.waiting.is_empty() && outbox.due_ms <= now_ms;
            if outbox.in_flight > 0 || !ready {
                continue;
            }
            outbox.in_flight = fitting(&outbox.waiting);
            due.push(EndAttempts {
                group: *group,
                node: self.node.name.clone(),
                reports: outbox
                    .waiting
                    .iter()
                    .take(outbox.in_flight)
                    .cloned()
                    .collect(),
            });
        }
        due
    }

    /// A message was answered. Returns what it reported.
    pub fn answered(&mut self, group: u32) -> Vec<AttemptReport> {
        let outbox = self.groups.entry(group).or_default();
        let count = std::mem::take(&mut outbox.in_flight);
        outbox.waiting.drain(..count).collect()
    }

    /// A message failed, and is sent again.
    pub fn failed(&mut self, now_ms: u64, group: u32) {
        let outbox = self.groups.entry(group).or_default();
        outbox.in_flight = 0;
        outbox.due_ms = now_ms + FAILED_PAUSE_MS;
    }
}

fn fitting(waiting: &VecDeque<AttemptReport>) -> usize {
    let mut bytes = 0;
    let fitting = waiting.iter().take(REPORTS_LIMIT).take_while(|report| {
        bytes += size(&report.end);
        bytes <= BYTES_LIMIT
    });
    fitting.count().max(1)
}

fn size(end: &AttemptEnd) -> usize {
    match end {
        AttemptEnd::Completed(text)
        | AttemptEnd::Failed(text)
        | AttemptEnd::Indeterminate(text) => text.len(),
        AttemptEnd::Released => 0,
    }
}
