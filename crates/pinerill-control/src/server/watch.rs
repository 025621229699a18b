//! The nodes' long polls.
//!
//! A watch is answered once there is news for the node *and* the version is
//! confirmed, or when its time is up. Waiting for the confirmation costs a
//! tenth of a second, and without it a run of quick news would leave the node
//! unconfirmed until its configuration lease ran out.

use std::time::Duration;

use pinerill_wire::message::{BundleUpdate, RefusalCode, Response, WatchRequest, WatchResponse};
use tokio::time::{timeout_at, Instant};

use super::clock;
use super::confirmation::Ticket;
use super::control::Control;
use super::refusal::{refused, NO_LEADER_RETRY_MS};
use super::snapshots::Snapshots;
use crate::meta::UpdateSince;

const WATCH: &str = "watch";
/// Longest time that a watch is held.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// What this machine has for a node.
enum State {
    /// It has all there is.
    Same(WatchResponse),
    /// There is something new.
    News(WatchResponse),
    /// Only the whole bundle helps the node.
    Whole {
        /// The version in force.
        version: u64,
    },
    /// The node has a newer bundle than this machine.
    Behind,
}

impl Control {
    /// Holds a node's watch until there is an answer.
    pub(super) async fn watch(&self, request: WatchRequest) -> Response {
        let ticket = self.confirmations.ask();
        self.note_node(&request);
        let open = &self.counters.watches_open;
        open.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let response = self.hold_watch(&request, ticket).await;
        open.fetch_sub(1, std::sync::atomic::Ordering::Relaxed);
        self.note_node(&request);
        response
    }

    fn note_node(&self, request: &WatchRequest) {
        let now_ms = clock::now_ms();
        self.update_directory(|directory| {
            directory.node_seen(&request.node, now_ms);
            for sign in &request.leaving {
                directory.sign_leaving(sign);
            }
        });
    }

    async fn hold_watch(&self, request: &WatchRequest, ticket: Ticket) -> Response {
        let wait = Duration::from_millis(request.wait_ms).min(LONGEST_WAIT);
        let end = Instant::now() + wait;
        let mut news = self.news.subscribe();
        loop {
            news.borrow_and_update();
            let confirmed = self.confirmations.is_confirmed(ticket);
            let is_over = Instant::now() >= end || self.stopping.is_cancelled();
            if !self.is_founded() {
                return self.not_initialised(WATCH);
            }
            if confirmed || is_over {
                match self.state_for(request) {
                    State::Whole { .. } => {
                        return self.answer_with_snapshot(request, confirmed, end).await;
                    }
                    State::News(response) => return self.answer_watch(response, confirmed),
                    State::Same(response) if is_over => {
                        return self.answer_watch(response, confirmed);
                    }
                    State::Behind if is_over => return self.behind(request),
                    State::Same(_) | State::Behind => {}
                }
            }
            let wake = async {
                tokio::select! {
                    _ = news.changed() => {}
                    () = self.confirmations.confirmed(ticket), if !confirmed => {}
                    () = self.stopping.cancelled() => {}
                }
            };
            // Over or woken: the loop looks again either way.
            let _ = timeout_at(end, wake).await;
        }
    }

    /// Sends the whole bundle, but never unconfirmed: a node that has none
    /// could not use it.
    async fn answer_with_snapshot(
        &self,
        request: &WatchRequest,
        confirmed: bool,
        end: Instant,
    ) -> Response {
        if !confirmed {
            return self.come_back("the version in force is not confirmed");
        }
        let Ok(Some(place)) = timeout_at(end, self.snapshots.place()).await else {
            self.count(&self.counters.snapshots_delayed);
            return self.come_back("too many nodes need the whole bundle at once");
        };
        Snapshots::sent(place);
        match self.state_for(request) {
            State::News(response) | State::Same(response) => self.answer_watch(response, confirmed),
            State::Whole { version } => {
                let Some(whole) = self.encoded_bundle(request.node.bundle_version).await else {
                    return self.not_initialised(WATCH);
                };
                let whole = Some(BundleUpdate::Snapshot(whole));
                self.answer_watch(self.watch_response(request, version, whole), confirmed)
            }
            State::Behind => self.behind(request),
        }
    }

    fn state_for(&self, request: &WatchRequest) -> State {
        let update = self.with_meta(|machine| {
            let since = machine.update_since(request.node.bundle_version, request.bundle_digest)?;
            Some((machine.bundle()?.version(), since))
        });
        let Some((version, since)) = update else {
            return State::Behind;
        };
        let changes = match since {
            UpdateSince::Ahead => return State::Behind,
            UpdateSince::Snapshot => return State::Whole { version },
            UpdateSince::Changes(changes) => Some(BundleUpdate::Changes(changes)),
            UpdateSince::Same => None,
        };
        let response = self.watch_response(request, version, changes);
        if response.bundle.is_some() || response.directory.is_some() {
            State::News(response)
        } else {
            State::Same(response)
        }
    }

    fn watch_response(
        &self,
        request: &WatchRequest,
        version: u64,
        bundle: Option<BundleUpdate>,
    ) -> WatchResponse {
        let directory = self.directory.lock().update_since(
            request.directory_epoch,
            request.directory_revision,
            &request.zones,
        );
        WatchResponse {
            confirmed: false,
            version,
            bundle,
            directory,
        }
    }

    fn answer_watch(&self, mut response: WatchResponse, confirmed: bool) -> Response {
        response.confirmed = confirmed;
        self.count(if confirmed {
            &self.counters.watches_confirmed
        } else {
            &self.counters.watches_unconfirmed
        });
        match &response.bundle {
            Some(BundleUpdate::Snapshot(_)) => self.count(&self.counters.bundle_snapshots),
            Some(BundleUpdate::Changes(_)) => self.count(&self.counters.bundle_changes),
            None => {}
        }
        Response::Watch(response)
    }

    /// Another control machine may know the node's bundle.
    fn behind(&self, request: &WatchRequest) -> Response {
        let version = request.node.bundle_version;
        self.come_back(&format!("bundle {version} has not arrived here yet"))
    }

    fn come_back(&self, message: &str) -> Response {
        let mut response = refused(RefusalCode::Unavailable, WATCH, self.name(), message);
        if let Response::Refused(refusal) = &mut response {
            refusal.retry_after_ms = Some(NO_LEADER_RETRY_MS);
        }
        response
    }
}
