//! The nodes' long polls: route table, directory, control machines.

use std::time::Duration;

use pinerill_calls::digest::Digest;
use pinerill_calls::message::{CallsResponse, Processes, WatchRequest, WatchResponse};
use pinerill_process::clock::{timeout_at, BootTime};
use pinerill_wire::message::Refusal;

use super::control::Control;

/// Longest time that an answer is held.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

impl Control {
    /// Answers once there is something newer, or when the time is up. Only the
    /// leader answers, so that nobody follows a machine that is cut off for
    /// longer than it takes to be deposed.
    pub(super) async fn watch(&self, request: WatchRequest) -> Result<CallsResponse, Box<Refusal>> {
        let arrived_ms = self.now_ms();
        let wait = Duration::from_millis(request.wait_ms).min(LONGEST_WAIT);
        let deadline = BootTime::now() + wait;
        let mut news = self.news.subscribe();
        loop {
            let response = self.news_for(&request, arrived_ms)?;
            let has_news = response.table.is_some()
                || response.directory.is_some()
                || response.evacuations.is_some();
            if has_news || self.stopping.is_cancelled() {
                return Ok(CallsResponse::Watch(Box::new(response)));
            }
            if timeout_at(deadline, news.changed()).await.is_err() {
                let response = self.news_for(&request, arrived_ms)?;
                return Ok(CallsResponse::Watch(Box::new(response)));
            }
        }
    }

    fn news_for(
        &self,
        request: &WatchRequest,
        arrived_ms: u64,
    ) -> Result<WatchResponse, Box<Refusal>> {
        let now_ms = self.now_ms();
        let (nodes, directory, directory_age_ms, silent, peers, relays) =
            self.with_leadership("watch", |leadership| {
                (
                    leadership.hear_node(request, now_ms),
                    leadership.directory.update_from(request.directory),
                    leadership.directory.age_ms(arrived_ms),
                    leadership.lost_machines(now_ms),
                    leadership.peers(&request.zone),
                    leadership.relays(),
                )
            })?;
        let (table, evacuations) = self.group.with_machine(|machine| {
            let table = machine.table_newer_than(request.table_version).cloned();
            let present = machine.evacuations();
            let is_news = request.evacuations < Some(present.revision());
            (table, is_news.then(|| present.clone()))
        });
        let processes = Processes {
            controls: self.known_controls(&silent),
            peers,
            relays,
        };
        let known = request.processes == Some(Digest::of(&processes));
        Ok(WatchResponse {
            table,
            directory,
            directory_age_ms,
            nodes,
            processes: (!known).then_some(processes),
            evacuations,
        })
    }
}
