//! What control machines tell each other of nodes, signs and leaders.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pinerill_wire::message::{
    GroupRecord, PeerDirectoryRequest, PeerDirectoryResponse, Request, Response, ServiceBacklog,
};
use tokio::time::{sleep, timeout_at, Instant};

use super::clock;
use super::control::Control;
use crate::host::GroupStatus;

/// How long a machine holds a question without news, milliseconds.
const HOLD_MS: u64 = 2_000;
/// Longest wait for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(HOLD_MS + 1_000);
/// Pause between two questions to a machine: a new bundle changes the record
/// of every node in turn, and one answer carries them all.
const QUESTION_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two looks at what this machine knows at first hand.
const REFRESH_PAUSE: Duration = Duration::from_millis(100);

impl Control {
    /// Answers another control machine once there is news for it, or after
    /// its time.
    pub(super) async fn peer_directory(&self, ask: PeerDirectoryRequest) -> Response {
        let wait = Duration::from_millis(ask.wait_ms.min(HOLD_MS));
        let end = Instant::now() + wait;
        let mut news = self.news.subscribe();
        loop {
            news.borrow_and_update();
            let told = self.first_hand_since(&ask);
            if let Some(told) = told {
                return Response::PeerDirectory(told);
            }
            if Instant::now() >= end || self.stopping.is_cancelled() {
                break;
            }
            // Nodes' versions are no news to watches, so news may be silent.
            let look = Instant::now() + REFRESH_PAUSE;
            let _ = timeout_at(end.min(look), news.changed()).await;
        }
        // The same again: it shows that this machine is alive.
        let again = PeerDirectoryRequest { epoch: 0, ..ask };
        let told = self.first_hand_since(&again);
        told.map_or_else(
            || self.not_initialised("tell directory"),
            Response::PeerDirectory,
        )
    }

    fn first_hand_since(&self, ask: &PeerDirectoryRequest) -> Option<PeerDirectoryResponse> {
        let directory = self.directory.lock();
        directory.first_hand_since(ask.epoch, ask.revision)
    }

    /// Asks the machine at `address` again and again.
    pub(super) async fn ask_peer(self: Arc<Self>, address: SocketAddr) {
        let mut epoch = 0;
        let mut revision = 0;
        loop {
            let request = Request::PeerDirectory(PeerDirectoryRequest {
                epoch,
                revision,
                wait_ms: HOLD_MS,
            });
            let answer = self.pool.call(address, request, ANSWER_TIME).await;
            if let Ok(Response::PeerDirectory(told)) = answer {
                epoch = told.epoch;
                revision = told.revision;
                let now_ms = clock::now_ms();
                self.update_directory(|directory| directory.take_peer(address, told, now_ms));
            }
            sleep(QUESTION_PAUSE).await;
        }
    }

    /// Keeps the directory's own part current.
    pub(super) async fn refresh_directory(self: Arc<Self>) {
        let mut bundle_version = None;
        loop {
            let groups: Vec<u32> = self
                .with_meta(|machine| Some(machine.groups().map(|one| one.group).collect()))
                .unwrap_or_default();
            let led = self.led_groups();
            let now_ms = clock::now_ms();
            self.update_directory(|directory| {
                directory.set_groups(groups);
                directory.lead_groups(led);
                directory.expire(now_ms);
            });
            let version = self.with_meta(|machine| machine.bundle().map(|one| one.version()));
            if version != bundle_version {
                bundle_version = version;
                self.publish_news();
            }
            self.wait_for_refresh().await;
        }
    }

    /// Waits for a commit of the meta group, so that a new bundle goes out
    /// at once, or for the next look.
    async fn wait_for_refresh(&self) {
        let Some(meta) = self.groups.meta() else {
            let opened = self.groups.meta_opened.notified();
            let _ = tokio::time::timeout(REFRESH_PAUSE, opened).await;
            return;
        };
        let mut status = meta.watch_status();
        let applied = status.borrow_and_update().applied;
        let another = status.wait_for(|status: &GroupStatus| status.applied != applied);
        let _ = tokio::time::timeout(REFRESH_PAUSE, another).await;
    }

    fn led_groups(&self) -> Vec<GroupRecord> {
        let own = Some(self.settings.listen);
        let meta = self.groups.meta().map(|meta| (meta.status(), Vec::new()));
        let jobs = self.groups.jobs();
        let jobs = jobs
            .iter()
            .map(|job| (job.handle.status(), job.service.backlog()));
        meta.into_iter()
            .chain(jobs)
            .filter(|(status, _)| status.leads())
            .map(|(status, backlog)| GroupRecord {
                group: status.group.0,
                leader: own,
                backlog: backlog.into_iter().filter_map(rounded).collect(),
            })
            .collect()
    }
}

/// A backlog as a hint: rounded up to a power of two, so that it changes
/// rarely while items are leased one by one.
fn rounded(backlog: ServiceBacklog) -> Option<ServiceBacklog> {
    (backlog.pending > 0).then(|| ServiceBacklog {
        pending: backlog.pending.next_power_of_two(),
        ..backlog
    })
}
