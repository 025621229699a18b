//! Estimates the load that other nodes put on an engine. This node counts its own requests
//! exactly and subtracts them from the load that the engine reports. Reports lag, so their
//! weight decreases with their age. The module does no I/O; the caller passes the time.

use crate::engine::LoadHeader;
use crate::membership::EngineReport;

/// Number of slots assumed for an engine before its first load report.
const DEFAULT_SLOTS: u32 = 16;
/// Age at which the weight of a report reaches zero, in milliseconds.
const REPORT_EXPIRY_MS: f32 = 5_000.0;

/// Estimated load of one engine, from its load reports and the load headers of its responses.
#[derive(Debug, Clone)]
pub struct LoadEstimate {
    reported_ms: Option<u64>,
    online_elsewhere: u32,
    slots: u32,
    batch_running: u32,
    preemptions: Option<u64>,
}

/// The change that a load report brought to a [`LoadEstimate`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadChange {
    /// Whether the number of online requests of other nodes increased.
    pub more_online: bool,
    /// Preemptions since the previous report. Zero for the first report, and if the engine's
    /// counter is lower than before.
    pub preemptions: u64,
}

impl Default for LoadEstimate {
    fn default() -> Self {
        Self {
            reported_ms: None,
            online_elsewhere: 0,
            slots: DEFAULT_SLOTS,
            batch_running: 0,
            preemptions: None,
        }
    }
}

impl LoadEstimate {
    /// Updates the estimate from a load report. `own_online` is the number of online requests
    /// that this node has on the engine at the time.
    pub fn apply_report(
        &mut self,
        now_ms: u64,
        report: &EngineReport,
        own_online: u32,
    ) -> LoadChange {
        let header = LoadHeader {
            running: report.running,
            waiting: report.waiting,
            batch_running: report.batch_running,
        };
        let more_online = self.apply_header(now_ms, &header, own_online);
        self.slots = report.slots.max(1);
        let previous = self.preemptions.replace(report.preemptions);
        LoadChange {
            more_online,
            preemptions: previous.map_or(0, |previous| report.preemptions.saturating_sub(previous)),
        }
    }

    /// Updates the estimate from the load header of a response. Returns whether the number of
    /// online requests of other nodes increased.
    pub fn apply_header(&mut self, now_ms: u64, header: &LoadHeader, own_online: u32) -> bool {
        let online = header.running.saturating_sub(header.batch_running);
        let before = self.online_elsewhere;
        self.reported_ms = Some(now_ms);
        self.online_elsewhere = online.saturating_sub(own_online);
        self.batch_running = header.batch_running;
        self.online_elsewhere > before
    }

    /// Returns whether a load report or load header has been received.
    pub fn has_reported(&self) -> bool {
        self.reported_ms.is_some()
    }

    /// Returns the estimated number of online requests of other nodes. It decreases linearly
    /// with the age of the last report. It is zero without a report, or if the last one is
    /// `REPORT_EXPIRY_MS` old or older.
    pub fn online_elsewhere(&self, now_ms: u64) -> f32 {
        let Some(reported) = self.reported_ms else {
            return 0.0;
        };
        let age = now_ms.saturating_sub(reported) as f32;
        self.online_elsewhere as f32 * (1.0 - age / REPORT_EXPIRY_MS).max(0.0)
    }

    /// Returns the number of requests that the engine can run at the same time.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the number of running batch requests in the last report or header.
    pub fn batch_running(&self) -> u32 {
        self.batch_running
    }
}
