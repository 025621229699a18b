//! What operators look at.

use pinerill_process::Monitored;

use crate::node::Node;
use crate::{clock, gauges};

impl Monitored for Node {
    fn metrics_text(&self) -> Result<String, String> {
        gauges::refresh(self);
        self.metrics.text().map_err(|error| error.to_string())
    }

    fn unready_reasons(&self) -> Vec<String> {
        let mut reasons = Vec::new();
        if self.drain.has_started() {
            reasons.push("draining");
        }
        if self.configuration.catalog().is_none() {
            reasons.push("no bundle was confirmed yet");
        } else if !self.configuration.is_confirmed(clock::now_ms()) {
            reasons.push("the bundle is not confirmed");
        }
        if self.fleet.view().workers.is_empty() {
            reasons.push("no worker is known");
        }
        reasons.into_iter().map(str::to_owned).collect()
    }
}
