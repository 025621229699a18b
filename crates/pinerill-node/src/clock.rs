//! The two clocks of the process. Pure parts never read them: a shell reads
//! one and passes the value in.

use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

use pinerill_process::clock::BootTime;

/// Milliseconds since the process first asked, also while the machine is suspended; never
/// goes back.
pub fn now_ms() -> u64 {
    static START: OnceLock<BootTime> = OnceLock::new();
    START.get_or_init(BootTime::now).elapsed().as_millis() as u64
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
