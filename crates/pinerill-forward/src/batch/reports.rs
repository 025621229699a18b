//! Tells the ends of items to the leader, again until they are recorded.

use std::sync::Arc;
use std::time::Duration;

use pinerill_calls::job::ItemReport;
use pinerill_calls::message::CallsRequest;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::leases::Held;
use crate::node::Node;

/// Where items tell their ends.
pub(super) type Reporter = mpsc::UnboundedSender<ItemReport>;

/// Reports in one message.
const REPORTS_AT_ONCE: usize = 64;
/// How long the first report of a message waits for others.
const GATHER_TIME: Duration = Duration::from_millis(20);
/// How long the node asks around for one message.
const ASK_TIME: Duration = Duration::from_secs(5);
/// Pause before a message is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Reports until the last sender is gone. The number of reports that wait is
/// bounded by the number of items that are held.
pub(super) async fn run(
    node: Arc<Node>,
    held: Arc<Held>,
    mut ended: mpsc::UnboundedReceiver<ItemReport>,
) {
    let mut reports = Vec::new();
    while let Some(first) = ended.recv().await {
        reports.push(first);
        sleep(GATHER_TIME).await;
        while reports.len() < REPORTS_AT_ONCE {
            let Ok(next) = ended.try_recv() else { break };
            reports.push(next);
        }
        tell(&node, &reports).await;
        for report in reports.drain(..) {
            held.release(&report.item);
        }
    }
}

async fn tell(node: &Node, reports: &[ItemReport]) {
    let request = CallsRequest::ReportItems(reports.to_vec());
    loop {
        let told = node.cluster.call(&request, ASK_TIME, Duration::ZERO).await;
        match told {
            Ok(_) => return,
            Err(failure) if failure.invalid => {
                log::error!(event = "reports_refused", reason = failure.message.as_str(); "");
                return;
            }
            Err(failure) => {
                log::warn!(event = "reports_wait", reason = failure.message.as_str(); "");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}
