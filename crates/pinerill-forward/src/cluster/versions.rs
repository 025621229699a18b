//! Reads the leader's history of software versions, which a node that has just started lacks.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use pinerill_calls::message::{CallsRequest, CallsResponse};
use pinerill_process::clock::{timeout_at, BootTime};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::DirectoryKind;
use crate::node::Node;

/// Time limit for one request.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two checks whether there is a directory that states versions.
const FIRST_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two checks whether the node's own history is long enough. A leader that has
/// just been elected knows little, so that it is asked again.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Pause after a failed request.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(500);

/// Whether this node has read the leader's history since its start.
#[derive(Debug, Default)]
pub(crate) struct VersionHistoryRead {
    is_read: AtomicBool,
    read: Notify,
}

impl VersionHistoryRead {
    fn set_read(&self) {
        self.is_read.store(true, Ordering::Relaxed);
        self.read.notify_waiters();
    }

    /// Returns whether the history has been read.
    pub(crate) fn is_read(&self) -> bool {
        self.is_read.load(Ordering::Relaxed)
    }

    /// Waits until the history has been read once, or until the given time.
    pub(crate) async fn wait(&self, until: BootTime) {
        let read = self.read.notified();
        if !self.is_read() {
            // A node that does not get the history decides by what it has seen itself.
            let _ = timeout_at(until, read).await;
        }
    }
}

/// Reads the history whenever this node's own is too short, until the node stops.
pub(crate) async fn read_versions(node: Arc<Node>) {
    loop {
        let is_stated = *node.known_state.directory_kind.lock() == DirectoryKind::Complete;
        if !is_stated || node.with_fleet(|fleet, _| fleet.listed_ms().is_none()) {
            sleep(FIRST_CHECK_INTERVAL).await;
            continue;
        }
        if !node.with_fleet(|fleet, now_ms| fleet.lacks_version_history(now_ms)) {
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        let sent_ms = node.now_ms();
        let request = CallsRequest::ReadVersions;
        let answer = node.cluster.call(&request, READ_TIMEOUT, Duration::ZERO);
        match answer.await {
            Ok(answered) => {
                if let CallsResponse::Versions(versions) = answered.response {
                    log::info!(event = "versions_read", versions:? = versions; "");
                    node.with_fleet(|fleet, now_ms| fleet.import_versions(now_ms, &versions));
                    node.known_state.version_history.set_read();
                }
                sleep(CHECK_INTERVAL).await;
            }
            Err(failure) => {
                log::info!(
                    event = "versions_not_read", reason = failure.message.as_str(),
                    ms = node.now_ms() - sent_ms; ""
                );
                sleep(PAUSE_AFTER_FAILURE).await;
            }
        }
    }
}
