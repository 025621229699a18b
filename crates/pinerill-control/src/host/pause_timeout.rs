//! A timeout that leaves out pauses of the process.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use tokio::time::sleep;

/// Awaits a future for `limit`, not counting pauses of the process; none if that passes first. The
/// time is counted in steps: each counts as `interval`, however long a suspension or a busy machine
/// made it.
pub(super) async fn timeout_without_pauses<F: Future>(
    limit: Duration,
    interval: Duration,
    future: F,
) -> Option<F::Output> {
    let mut future = pin!(future);
    let mut left = limit;
    loop {
        tokio::select! {
            biased;
            output = &mut future => return Some(output),
            () = sleep(interval.min(left)) => left = left.saturating_sub(interval),
        }
        if left.is_zero() {
            return None;
        }
    }
}
