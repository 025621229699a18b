//! Monitoring endpoints for operators and load balancers.

use pinerill_process::Monitored;

use crate::node::Node;
use crate::{clock, gauges};

/// Divisor of the configuration lease: the node stops being ready when the remaining
/// time falls to the lease divided by this number, which is 1.25 s before requests are
/// rejected with the default lease of 5 s. The watch renews the lease every second, and
/// after one failed renewal more time than that still remains.
const READINESS_LEAD_PART: u64 = 4;

impl Monitored for Node {
    fn metrics_text(&self) -> Result<String, String> {
        gauges::refresh(self);
        self.metrics.text().map_err(|error| error.to_string())
    }

    fn unready_reasons(&self) -> Vec<String> {
        let mut reasons = Vec::new();
        if self.drain.is_announced() {
            reasons.push("draining");
        }
        reasons.extend(unconfirmed_reason(self));
        if self.fleet.view().workers.is_empty() {
            reasons.push("no worker is known");
        }
        reasons.into_iter().map(str::to_owned).collect()
    }
}

/// Readiness ends before the lease does, so that load balancers have stopped sending
/// requests by the time the node rejects them.
fn unconfirmed_reason(node: &Node) -> Option<&'static str> {
    let Some(catalog) = node.configuration.catalog() else {
        return Some("no bundle was confirmed yet");
    };
    let now_ms = clock::now_ms();
    let lead_ms = catalog.policy().configuration_lease_ms / READINESS_LEAD_PART;
    if !node.configuration.is_confirmed(now_ms) {
        return Some("the bundle is not confirmed");
    }
    let runs_out = !node.configuration.is_confirmed(now_ms + lead_ms);
    runs_out.then_some("the bundle's confirmation runs out")
}
