//! Monotonic and wall clock of the process. Decision logic never reads a clock: the I/O
//! code around it reads one and passes the value as an argument.

use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

use pinerill_process::clock::BootTime;

/// Returns the milliseconds since the first call in this process. Monotonic; time
/// during which the machine is suspended counts.
pub fn now_ms() -> u64 {
    static START: OnceLock<BootTime> = OnceLock::new();
    START.get_or_init(BootTime::now).elapsed().as_millis() as u64
}

/// Returns the milliseconds since the Unix epoch, or 0 if the system clock is set
/// before it.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
