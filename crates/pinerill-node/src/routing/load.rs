//! How loaded an engine is: the node's own count, which is exact, and the
//! last report, which lags and counts less the older it is. Pure.

use crate::engine::LoadHeader;
use crate::membership::EngineReport;

/// Slots of an engine that has not reported yet.
const SLOTS_DEFAULT: u32 = 16;
/// Age at which a report counts nothing any more, milliseconds.
const REPORT_LIFE_MS: f32 = 5_000.0;

/// What is known of one engine's load.
#[derive(Debug, Clone)]
pub struct LoadEstimate {
    reported_ms: Option<u64>,
    online_elsewhere: u32,
    slots: u32,
    batch_running: u32,
    preemptions: Option<u64>,
}

/// What a report told anew.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadChange {
    /// Other nodes have more online requests there than before.
    pub more_online: bool,
    /// Preemptions since the report before.
    pub preemptions: u64,
}

impl Default for LoadEstimate {
    fn default() -> Self {
        Self {
            reported_ms: None,
            online_elsewhere: 0,
            slots: SLOTS_DEFAULT,
            batch_running: 0,
            preemptions: None,
        }
    }
}

impl LoadEstimate {
    /// A load report came while `own_online` requests of this node ran there.
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
        let known = self.preemptions.replace(report.preemptions);
        LoadChange {
            more_online,
            preemptions: known.map_or(0, |known| report.preemptions.saturating_sub(known)),
        }
    }

    /// The head of an answer carried the load. Returns whether other nodes
    /// have more online requests there than before.
    pub fn apply_header(&mut self, now_ms: u64, header: &LoadHeader, own_online: u32) -> bool {
        let online = header.running.saturating_sub(header.batch_running);
        let before = self.online_elsewhere;
        self.reported_ms = Some(now_ms);
        self.online_elsewhere = online.saturating_sub(own_online);
        self.batch_running = header.batch_running;
        self.online_elsewhere > before
    }

    /// Whether anything is known of it.
    pub fn has_reported(&self) -> bool {
        self.reported_ms.is_some()
    }

    /// Online requests of other nodes, aged.
    pub fn online_elsewhere(&self, now_ms: u64) -> f32 {
        let Some(reported) = self.reported_ms else {
            return 0.0;
        };
        let age = now_ms.saturating_sub(reported) as f32;
        self.online_elsewhere as f32 * (1.0 - age / REPORT_LIFE_MS).max(0.0)
    }

    /// Requests that the engine runs at once.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Batch requests with a slot at the last report.
    pub fn batch_running(&self) -> u32 {
        self.batch_running
    }
}
