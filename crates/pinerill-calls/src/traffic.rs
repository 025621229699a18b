//! Bytes that a process exchanges with others, by what they are for.
//!
//! Bytes between zones are paid for, so those to processes of the same zone are told
//! apart. Frames and packets around the messages are not counted.

use std::collections::BTreeMap;
use std::fmt::Write;

use parking_lot::Mutex;

/// Whether the other process is in the same zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reach {
    /// It is.
    SameZone,
    /// It is in another zone, or its zone is not known.
    OtherZone,
}

impl Reach {
    /// Of a process in this zone to one in the other.
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

/// Messages of one purpose.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Volume {
    /// Messages sent and received.
    pub messages: u64,
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// Counts since the start of the process.
#[derive(Debug, Default)]
pub struct Traffic {
    volumes: Mutex<BTreeMap<(&'static str, Reach), Volume>>,
}

impl Traffic {
    /// Messages were sent.
    pub fn sent(&self, purpose: &'static str, reach: Reach, messages: usize, bytes: usize) {
        let mut volumes = self.volumes.lock();
        let volume = volumes.entry((purpose, reach)).or_default();
        volume.messages += messages as u64;
        volume.sent += (messages * bytes) as u64;
    }

    /// A message was received.
    pub fn received(&self, purpose: &'static str, reach: Reach, bytes: usize) {
        let mut volumes = self.volumes.lock();
        let volume = volumes.entry((purpose, reach)).or_default();
        volume.messages += 1;
        volume.received += bytes as u64;
    }

    /// What was counted, by purpose and reach.
    pub fn volumes(&self) -> BTreeMap<(&'static str, Reach), Volume> {
        self.volumes.lock().clone()
    }

    /// As lines of the metrics' text format.
    pub fn metrics_text(&self, prefix: &str) -> String {
        let mut text = String::new();
        for ((purpose, reach), volume) in self.volumes() {
            let reach = reach.label();
            let counts = [
                ("messages", volume.messages),
                ("sent_bytes", volume.sent),
                ("received_bytes", volume.received),
            ];
            for (name, count) in counts {
                // Writing to a text can't fail.
                let _ = writeln!(
                    text,
                    "{prefix}_traffic_{name}_total{{purpose=\"{purpose}\",reach=\"{reach}\"}} {count}"
                );
            }
        }
        text
    }

    /// For a log line: purpose, reach, bytes sent and received.
    pub fn summary(&self) -> String {
        let mut text = String::new();
        for ((purpose, reach), volume) in self.volumes() {
            let _ = write!(
                text,
                "{purpose}/{} {}+{} ",
                reach.label(),
                volume.sent,
                volume.received
            );
        }
        text
    }
}
