//! Queues the reports of ended attempts until their groups have answered.
//!
//! A report may be sent several times; the group returns the same verdict each
//! time. This module does no I/O and reads no clock; the planner passes in the
//! time.

use std::collections::{BTreeMap, VecDeque};

use pinerill_types::job::AttemptEnd;
use pinerill_wire::message::{AttemptRef, AttemptReport, EndAttempts};

use super::message::NodeIdentity;

/// How long the first report in an empty queue waits for others to share its
/// message, milliseconds.
const LINGER_MS: u64 = 10;
/// Backoff after a message that failed, milliseconds.
const RETRY_BACKOFF_MS: u64 = 200;
/// Most reports in one message.
const MAX_REPORTS_PER_MESSAGE: usize = 512;
/// Most payload bytes in one message. A single larger report is sent alone.
const MAX_BYTES_PER_MESSAGE: usize = 4 * 1024 * 1024;

#[derive(Debug, Default)]
struct GroupOutbox {
    waiting: VecDeque<AttemptReport>,
    /// Number of reports at the front of `waiting` that were sent and not
    /// answered.
    in_flight: usize,
    /// When the next message may be sent, milliseconds.
    due_ms: u64,
}

/// The queued reports to all groups.
#[derive(Debug)]
pub struct Outbox {
    node: NodeIdentity,
    groups: BTreeMap<u32, GroupOutbox>,
}

impl Outbox {
    /// Creates an outbox without reports.
    pub fn new(node: NodeIdentity) -> Self {
        Self {
            node,
            groups: BTreeMap::new(),
        }
    }

    /// Returns whether every report was answered.
    pub fn is_empty(&self) -> bool {
        self.groups.values().all(|group| group.waiting.is_empty())
    }

    /// Returns the number of reports that are queued or in flight.
    pub fn len(&self) -> usize {
        self.groups.values().map(|group| group.waiting.len()).sum()
    }

    /// Queues the report of an attempt's end for the group of its job.
    pub fn push(&mut self, now_ms: u64, attempt: AttemptRef, end: AttemptEnd) {
        let group = self.groups.entry(attempt.job.group).or_default();
        if group.waiting.is_empty() {
            group.due_ms = now_ms + LINGER_MS;
        }
        group.waiting.push_back(AttemptReport { attempt, end });
    }

    /// Returns the messages to send now, at most one per group, and marks their
    /// reports as in flight.
    pub fn due(&mut self, now_ms: u64) -> Vec<EndAttempts> {
        let mut due = Vec::new();
        for (group, outbox) in &mut self.groups {
            let ready = !outbox.waiting.is_empty() && outbox.due_ms <= now_ms;
            if outbox.in_flight > 0 || !ready {
                continue;
            }
            outbox.in_flight = reports_in_message(&outbox.waiting);
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

    /// Removes the reports of a message that was answered and returns them in the
    /// order of the message.
    pub fn record_answered(&mut self, group: u32) -> Vec<AttemptReport> {
        let outbox = self.groups.entry(group).or_default();
        let count = std::mem::take(&mut outbox.in_flight);
        outbox.waiting.drain(..count).collect()
    }

    /// Schedules a retry of a message that failed.
    pub fn record_failed(&mut self, now_ms: u64, group: u32) {
        let outbox = self.groups.entry(group).or_default();
        outbox.in_flight = 0;
        outbox.due_ms = now_ms + RETRY_BACKOFF_MS;
    }
}

/// Returns how many reports from the front fit into one message, at least 1.
fn reports_in_message(waiting: &VecDeque<AttemptReport>) -> usize {
    let mut bytes = 0;
    let fitting = waiting
        .iter()
        .take(MAX_REPORTS_PER_MESSAGE)
        .take_while(|report| {
            bytes += payload_bytes(&report.end);
            bytes <= MAX_BYTES_PER_MESSAGE
        });
    fitting.count().max(1)
}

fn payload_bytes(end: &AttemptEnd) -> usize {
    match end {
        AttemptEnd::Completed(text)
        | AttemptEnd::Failed(text)
        | AttemptEnd::Indeterminate(text) => text.len(),
        AttemptEnd::Released => 0,
    }
}
