//! The wall clock.

use std::time::{SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds.
pub(super) fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}
