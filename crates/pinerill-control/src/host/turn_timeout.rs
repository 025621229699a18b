//! A timeout that leaves out time in which the process had no turn.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use tokio::time::sleep;

/// Awaits a future until the process has had its turns for `limit`; none if that passes first.
/// Each `interval` counts as no longer than it should have lasted, so that a suspension or a
/// busy machine doesn't use the limit up.
pub(super) async fn timeout_in_turns<F: Future>(
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
