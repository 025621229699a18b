//! Keeps a long-polling watch open at the control machines and applies each
//! response to the configuration, the fleet and the job groups.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::RwLock;
use pinerill_types::settings::NodeSettings;
use pinerill_wire::api::{CallError, ControlApi};
use pinerill_wire::message::{NodeRecord, Request, Response, WatchRequest, WatchResponse};

use super::catalog::Catalog;
use super::state::{ConfigurationState, WatchOutcome};
use crate::clock;
use crate::groups::Groups;
use crate::membership::Fleet;
use crate::metrics::Metrics;

/// Time that a control machine may keep a watch open, in milliseconds. It is well
/// below the shortest lease, since the lease counts from when the watch is sent.
const WATCH_WAIT_MS: u64 = 1_000;
/// Timeout of a watch call, longer than the long poll.
const WATCH_TIMEOUT: Duration = Duration::from_millis(WATCH_WAIT_MS + 1_000);
/// Pause after a successful watch, which bounds the rate of watches.
const WATCH_PAUSE: Duration = Duration::from_millis(20);
/// Pause after a failed watch.
const FAILED_PAUSE: Duration = Duration::from_millis(200);

/// The bundle in force and its lease, shared by all tasks of the node.
#[derive(Debug, Default)]
pub struct Configuration {
    state: RwLock<ConfigurationState>,
}

impl Configuration {
    /// Returns the bundle in force, or None until a version is confirmed.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.state.read().catalog().cloned()
    }

    /// Returns whether a bundle is in force and its lease still holds at
    /// `now_ms`.
    pub fn is_confirmed(&self, now_ms: u64) -> bool {
        let state = self.state.read();
        state.catalog().is_some() && now_ms < state.lease_until_ms()
    }

    /// Returns the remaining time of the configuration lease in milliseconds; 0
    /// if it has ended.
    pub fn lease_left_ms(&self, now_ms: u64) -> u64 {
        let until_ms = self.state.read().lease_until_ms();
        until_ms.saturating_sub(now_ms)
    }
}

/// Task that watches control for changes of the bundle, the directory and the
/// job groups, and reports the state of this node with each watch.
pub struct ControlWatcher {
    /// Client for the control machines.
    pub api: Arc<dyn ControlApi>,
    /// Receives bundle updates and lease renewals.
    pub configuration: Arc<Configuration>,
    /// Receives directory updates and new bundles; supplies leaving workers to
    /// report.
    pub fleet: Arc<Fleet>,
    /// Receives the list of job groups.
    pub groups: Arc<Groups>,
    /// Receives the bundle version and the count of failed watches.
    pub metrics: Arc<Metrics>,
    /// Supplies the name and zone of this node.
    pub settings: NodeSettings,
    /// Random number that identifies this start of the node.
    pub incarnation: u64,
}

impl ControlWatcher {
    /// Watches in a loop and never returns. A failed watch is retried after a
    /// pause; an interrupted one is sent again at once.
    pub async fn run(self) {
        let mut failing = false;
        loop {
            let sent_ms = clock::now_ms();
            let request = self.request();
            let signs = request.leaving.clone();
            let call = self.api.call_any(Request::Watch(request), WATCH_TIMEOUT);
            let answer = tokio::select! {
                biased;
                answer = call => answer,
                () = self.fleet.watch_interrupt.notified() => continue,
            };
            let taken = answer.and_then(|response| self.apply_watch(sent_ms, response));
            if taken.is_ok() {
                self.fleet.confirm_leaving_signs(&signs);
            }
            self.record_outcome(&taken, &mut failing);
            let pause = if taken.is_ok() {
                WATCH_PAUSE
            } else {
                FAILED_PAUSE
            };
            tokio::time::sleep(pause).await;
        }
    }

    fn record_outcome(&self, taken: &Result<(), CallError>, failing: &mut bool) {
        match taken {
            Ok(()) if *failing => log::info!("watch of control succeeds again"),
            Err(error) if !*failing => log::warn!("watch of control fails: {error}"),
            _ => {}
        }
        *failing = taken.is_err();
        if *failing {
            self.metrics.watch_failures.inc();
        }
    }

    fn request(&self) -> WatchRequest {
        let (version, digest) = self.configuration.state.read().watch_base();
        let (epoch, revision) = self.fleet.directory_position();
        WatchRequest {
            node: NodeRecord {
                name: self.settings.name.clone(),
                zone: self.settings.zone.clone(),
                incarnation: self.incarnation,
                draining: self.fleet.is_draining(),
                bundle_version: version,
            },
            bundle_digest: digest,
            zones: self.fleet.zones().to_vec(),
            directory_epoch: epoch,
            directory_revision: revision,
            leaving: self.fleet.pending_leaving_signs(),
            wait_ms: WATCH_WAIT_MS,
        }
    }

    fn apply_watch(&self, sent_ms: u64, response: Response) -> Result<(), CallError> {
        let watch = match response {
            Response::Watch(watch) => watch,
            Response::Refused(refusal) => return Err(refusal.into()),
            _ => return Err(invalid_watch("an answer of another kind")),
        };
        self.apply_bundle(sent_ms, &watch)?;
        if let Some(update) = &watch.directory {
            self.fleet.apply_directory_update(update);
            self.api.learn_groups(&update.groups);
            self.groups.apply(update);
        }
        if watch.confirmed {
            self.groups.confirm();
        }
        Ok(())
    }

    fn apply_bundle(&self, sent_ms: u64, watch: &WatchResponse) -> Result<(), CallError> {
        let taken = self
            .configuration
            .state
            .write()
            .apply_response(sent_ms, watch);
        match taken {
            WatchOutcome::Unchanged => Ok(()),
            WatchOutcome::Changed { from, to } => {
                let from = from.map_or_else(|| "none".to_owned(), |one| one.to_string());
                log::info!("bundle version {to} is in force, previous version {from}");
                self.metrics.bundle_version.set(to as i64);
                if let Some(catalog) = self.configuration.catalog() {
                    self.fleet.set_catalog(catalog);
                }
                Ok(())
            }
            WatchOutcome::Outdated(version) => {
                Err(invalid_watch(&format!("version {version} is older")))
            }
            WatchOutcome::Invalid(message) => Err(invalid_watch(&message)),
        }
    }
}

fn invalid_watch(message: &str) -> CallError {
    CallError {
        kind: pinerill_wire::api::CallErrorKind::Unknown,
        step: "take watch".to_owned(),
        peer: "control".to_owned(),
        message: message.to_owned(),
    }
}
