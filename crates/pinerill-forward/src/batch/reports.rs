//! Sends the results of items to the leader and retries until they are recorded.
//!
//! An item is released only after its result is recorded or rejected as invalid.

use std::sync::Arc;
use std::time::Duration;

use pinerill_calls::job::ItemReport;
use pinerill_calls::message::CallsRequest;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::held::HeldLeases;
use crate::node::Node;

/// Channel through which item tasks submit their results.
pub(super) type ReportSender = mpsc::UnboundedSender<ItemReport>;

/// Maximum number of results in one message.
const MAX_REPORTS_PER_MESSAGE: usize = 64;
/// Time that the first result of a message waits for further ones.
const GATHERING_DELAY: Duration = Duration::from_millis(20);
/// Time to find a control machine that accepts a message, per attempt.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before a failed message is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Sends results until all senders are dropped. The channel needs no capacity limit: it holds at
/// most one result per leased item.
pub(super) async fn run(
    node: Arc<Node>,
    held: Arc<HeldLeases>,
    mut received: mpsc::UnboundedReceiver<ItemReport>,
) {
    let mut reports = Vec::new();
    while let Some(first) = received.recv().await {
        reports.push(first);
        sleep(GATHERING_DELAY).await;
        while reports.len() < MAX_REPORTS_PER_MESSAGE {
            let Ok(next) = received.try_recv() else { break };
            reports.push(next);
        }
        send_reports(&node, &reports).await;
        for report in reports.drain(..) {
            held.release(&report.item);
        }
    }
}

/// Sends one message until the leader has recorded it or rejects it as invalid.
async fn send_reports(node: &Node, reports: &[ItemReport]) {
    let request = CallsRequest::ReportItems(reports.to_vec());
    loop {
        let result = node
            .cluster
            .call(&request, SEND_TIMEOUT, Duration::ZERO)
            .await;
        match result {
            Ok(_) => return,
            Err(failure) if failure.invalid => {
                log::error!(event = "reports_refused", reason = failure.message.as_str(); "");
                return;
            }
            Err(failure) => {
                log::warn!(event = "reports_wait", reason = failure.message.as_str(); "");
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}
