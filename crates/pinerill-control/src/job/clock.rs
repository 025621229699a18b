//! Time as the group's log tells it.

use serde::{Deserialize, Serialize};

/// Most by which one entry lets leases age, milliseconds.
pub const LEASE_STEP_LIMIT_MS: u64 = 2_000;

/// Two clocks driven by the leader's stamps. Neither ever goes back.
///
/// Leases age on a clock of their own, which a gap between two entries
/// advances by at most [`LEASE_STEP_LIMIT_MS`]. While a group has no leader
/// nodes can't renew, so a lease must not lapse the moment a new leader comes;
/// nor may one stamp far in the future end every lease.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(super) struct GroupClock {
    now_ms: u64,
    lease_ms: u64,
}

impl GroupClock {
    /// Takes in the stamp of an entry, Unix milliseconds; leases age by at
    /// most `lease_step_ms`.
    pub(super) fn advance(&mut self, stamp_ms: u64, lease_step_ms: u64) {
        let elapsed = stamp_ms.saturating_sub(self.now_ms);
        self.now_ms += elapsed;
        self.lease_ms += elapsed.min(lease_step_ms);
    }

    /// The latest stamp, Unix milliseconds.
    pub(super) fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// The clock of leases, milliseconds since the group began.
    pub(super) fn lease_ms(&self) -> u64 {
        self.lease_ms
    }
}

/// Makes a leader's stamps: wall time, but never less than the group's time
/// plus what has passed since the last stamp. So leases go on ageing when a
/// former leader's clock was ahead.
#[derive(Debug, Clone, Copy, Default)]
pub struct StampSource {
    last_stamp_ms: u64,
    last_elapsed_ms: u64,
}

impl StampSource {
    /// The next stamp from wall time, a monotonic time, and the time of the
    /// last entry applied here, all in milliseconds.
    pub fn stamp(&mut self, wall_ms: u64, elapsed_ms: u64, group_ms: u64) -> u64 {
        let passed = elapsed_ms.saturating_sub(self.last_elapsed_ms);
        let floor = match self.last_stamp_ms {
            0 => group_ms,
            last => group_ms.max(last + passed),
        };
        self.last_elapsed_ms = elapsed_ms;
        self.last_stamp_ms = wall_ms.max(floor);
        self.last_stamp_ms
    }
}
