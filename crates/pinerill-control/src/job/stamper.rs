//! Stamps of one group's entries, from this machine's clocks.

use std::time::{SystemTime, UNIX_EPOCH};

use pinerill_process::clock::BootTime;

use super::clock::StampSource;
use super::machine::JobMachine;
use crate::host::GroupHandle;

/// Makes the stamps of one task.
pub(super) struct Stamper {
    source: StampSource,
    started: BootTime,
}

impl Stamper {
    pub(super) fn new() -> Self {
        Self {
            source: StampSource::default(),
            started: BootTime::now(),
        }
    }

    /// The stamp of an entry that is proposed now, Unix milliseconds.
    pub(super) fn stamp(&mut self, group: &GroupHandle<JobMachine>) -> u64 {
        let elapsed_ms = self.started.elapsed().as_millis() as u64;
        let group_ms = group.with_machine(JobMachine::now_ms);
        self.source.stamp(wall_ms(), elapsed_ms, group_ms)
    }
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
