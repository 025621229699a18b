//! Counters of the messages that a process exchanges with other processes, by purpose.
//!
//! Traffic between zones is billed, so it is counted separately from traffic within a zone. Only
//! the bytes of the messages are counted, without frame and packet headers. Nodes and control
//! machines export the counters as metrics.

use std::collections::BTreeMap;
use std::fmt::Write;

use parking_lot::Mutex;

/// Whether two processes are in the same zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reach {
    /// Both processes are in one zone; `near` in metrics and logs.
    SameZone,
    /// The processes are in different zones, or a zone is unknown; `far` in metrics and logs.
    OtherZone,
}

impl Reach {
    /// Compares the zones of two processes by name.
    pub fn between(zone: &str, other: &str) -> Self {
        match zone == other {
            true => Reach::SameZone,
            false => Reach::OtherZone,
        }
    }

    fn label(self) -> &'static str {
        match self {
            Reach::SameZone => "near",
            Reach::OtherZone => "far",
        }
    }
}

/// Traffic counters of one purpose and reach.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficCounters {
    /// Number of messages sent and received.
    pub messages: u64,
    /// Number of message bytes sent.
    pub sent: u64,
    /// Number of message bytes received.
    pub received: u64,
}

/// Traffic counters of a process since its start, by purpose and reach.
#[derive(Debug, Default)]
pub struct Traffic {
    counters: Mutex<BTreeMap<(&'static str, Reach), TrafficCounters>>,
}

impl Traffic {
    /// Records that `messages` messages of `bytes` bytes each were sent.
    pub fn record_sent(&self, purpose: &'static str, reach: Reach, messages: usize, bytes: usize) {
        let mut counters = self.counters.lock();
        let entry = counters.entry((purpose, reach)).or_default();
        entry.messages += messages as u64;
        entry.sent += (messages * bytes) as u64;
    }

    /// Records that a message of `bytes` bytes was received.
    pub fn record_received(&self, purpose: &'static str, reach: Reach, bytes: usize) {
        let mut counters = self.counters.lock();
        let entry = counters.entry((purpose, reach)).or_default();
        entry.messages += 1;
        entry.received += bytes as u64;
    }

    /// Returns a copy of all counters by purpose and reach.
    pub fn counters(&self) -> BTreeMap<(&'static str, Reach), TrafficCounters> {
        self.counters.lock().clone()
    }

    /// Returns the counters in the Prometheus text format, with metric names that begin with
    /// `prefix`.
    pub fn metrics_text(&self, prefix: &str) -> String {
        let mut text = String::new();
        for ((purpose, reach), entry) in self.counters() {
            let reach = reach.label();
            let counts = [
                ("messages", entry.messages),
                ("sent_bytes", entry.sent),
                ("received_bytes", entry.received),
            ];
            for (name, count) in counts {
                // Writing to a `String` can't fail.
                let _ = writeln!(
                    text,
                    "{prefix}_traffic_{name}_total{{purpose=\"{purpose}\",reach=\"{reach}\"}} {count}"
                );
            }
        }
        text
    }

    /// Returns the counters as text for a log line. Each entry has the form
    /// `purpose/reach sent+received`, in bytes, and is followed by a space.
    pub fn summary(&self) -> String {
        let mut text = String::new();
        for ((purpose, reach), entry) in self.counters() {
            let _ = write!(
                text,
                "{purpose}/{} {}+{} ",
                reach.label(),
                entry.sent,
                entry.received
            );
        }
        text
    }
}
