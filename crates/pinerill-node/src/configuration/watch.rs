//! Holds the watch at control machines and hands out what it brings.

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

/// How long a watch stays open at a control machine, milliseconds. The lease
/// counts from when the watch was sent, so this is well below the shortest.
const WATCH_WAIT_MS: u64 = 1_000;
/// Longest wait for the answer to a watch.
const WATCH_TIMEOUT: Duration = Duration::from_millis(WATCH_WAIT_MS + 1_000);
/// Shortest pause between two watches.
const WATCH_PAUSE: Duration = Duration::from_millis(20);
/// Pause after a watch that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(200);

/// The bundle in force, shared by all parts of the node.
#[derive(Debug, Default)]
pub struct Configuration {
    state: RwLock<ConfigurationState>,
}

impl Configuration {
    /// The bundle in force, if any version was ever confirmed.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.state.read().catalog().cloned()
    }

    /// Whether the version in force is confirmed at `now_ms`.
    pub fn is_confirmed(&self, now_ms: u64) -> bool {
        let state = self.state.read();
        state.catalog().is_some() && now_ms < state.lease_until_ms()
    }

    /// Milliseconds that the configuration lease still lasts.
    pub fn lease_left_ms(&self, now_ms: u64) -> u64 {
        let until_ms = self.state.read().lease_until_ms();
        until_ms.saturating_sub(now_ms)
    }
}

/// Holds the watch.
pub struct ControlWatcher {
    /// Control machines.
    pub api: Arc<dyn ControlApi>,
    /// Takes bundles in.
    pub configuration: Arc<Configuration>,
    /// Takes the directory in.
    pub fleet: Arc<Fleet>,
    /// Takes groups in.
    pub groups: Arc<Groups>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// The node's name and zone.
    pub settings: NodeSettings,
    /// Random number of this start.
    pub incarnation: u64,
}

impl ControlWatcher {
    /// Watches until the task is dropped.
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
            Ok(()) if *failing => log::info!("watch is answered again"),
            Err(error) if !*failing => log::warn!("watch fails: {error}"),
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
            self.groups.take(update);
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
                log::info!("bundle {to} is in force, before it {from}");
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
