//! A node as far as bundles concern it: the pure configuration state under a
//! watch, with its own clock.

use pinerill_node::configuration::{ConfigurationState, WatchOutcome};
use pinerill_wire::message::WatchResponse;

use super::service::{BundleQuery, BundleService, BundleView, WatchView};
use crate::cluster::{
    CallAnswer, CallId, CallKind, CallResult, ClientId, Cluster, LocalClock, Timer, MAX_SKEW_PPM,
};
use crate::defect::{has_shell_defect, ShellDefect};

/// How long a watch is waited for, milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_000;
/// Pause between two watches, milliseconds.
const WATCH_PAUSE_MS: u64 = 150;
/// Pause after one that failed, milliseconds.
const FAILED_PAUSE_MS: u64 = 200;
/// How often it is looked whether the node serves, milliseconds.
const SERVE_PAUSE_MS: u64 = 50;

/// What a node serves by at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Serving {
    /// The bundle's version.
    pub(super) version: u64,
    /// Whether its configuration lease holds.
    pub(super) leased: bool,
}

/// A node.
pub(super) struct Watcher {
    client: ClientId,
    clock: LocalClock,
    state: ConfigurationState,
    /// The open watch, and when it was sent by the node's clock.
    open: Option<(CallId, u64)>,
    machine: usize,
    /// Highest version that was ever in force here.
    highest_version: u64,
}

impl Watcher {
    pub(super) fn new(client: ClientId, cluster: &mut Cluster<BundleService>) -> Self {
        let now_ms = cluster.now_ms();
        let clock = LocalClock::new(now_ms, MAX_SKEW_PPM, cluster.rng());
        Watcher {
            client,
            clock,
            state: ConfigurationState::default(),
            open: None,
            machine: cluster.any_place(),
            highest_version: 0,
        }
    }

    pub(super) fn client(&self) -> ClientId {
        self.client
    }

    /// The process starts again and knows nothing.
    pub(super) fn restart(&mut self, cluster: &mut Cluster<BundleService>) {
        self.clock = self.clock.restarted(cluster.now_ms());
        self.state = ConfigurationState::default();
        self.open = None;
        cluster.wake(self.client, FAILED_PAUSE_MS, Timer::Next);
    }

    /// Sends the next watch, unless one is open.
    pub(super) fn watch(&mut self, cluster: &mut Cluster<BundleService>) {
        if self.open.is_some() {
            return;
        }
        let (version, digest) = self.state.watch_base();
        let query = BundleQuery::Watch { version, digest };
        let kind = CallKind::ReadAnyway(query);
        let sent_ms = self.clock.local_ms(cluster.now_ms());
        let call = cluster.call(self.client, self.machine, kind, CALL_TIMEOUT_MS);
        self.open = Some((call, sent_ms));
    }

    /// Takes an answer in.
    pub(super) fn answered(
        &mut self,
        cluster: &mut Cluster<BundleService>,
        answer: CallAnswer<BundleService>,
    ) {
        let Some((_, sent_ms)) = self.open.take_if(|(call, _)| *call == answer.call) else {
            return;
        };
        let (view, confirmed) = match answer.result {
            CallResult::Read(Ok(BundleView::Watch(view))) => (view, true),
            CallResult::Unconfirmed(BundleView::Watch(view)) => (view, false),
            _ => {
                self.watch_elsewhere(cluster);
                return;
            }
        };
        let defect = |wanted| has_shell_defect(cluster.defect(), wanted);
        let mut response = match view {
            WatchView::Answer(response) => response,
            WatchView::Behind(response) if defect(ShellDefect::TakeOlderVersion) => response,
            WatchView::Behind(_) | WatchView::NotFounded => {
                cluster.observe("watch refused by a machine behind");
                self.watch_elsewhere(cluster);
                return;
            }
        };
        let first = self.state.catalog().is_none();
        response.confirmed = confirmed
            || defect(ShellDefect::ConfirmWithoutBarrier)
            || (first && defect(ShellDefect::TakeUnconfirmedFirst));
        cluster.observe(if confirmed {
            "watch confirmed"
        } else {
            "watch not confirmed"
        });
        self.take(cluster, sent_ms, &response);
        cluster.wake(self.client, WATCH_PAUSE_MS, Timer::Next);
    }

    fn watch_elsewhere(&mut self, cluster: &mut Cluster<BundleService>) {
        self.machine = cluster.any_place();
        cluster.wake(self.client, FAILED_PAUSE_MS, Timer::Next);
    }

    fn take(
        &mut self,
        cluster: &mut Cluster<BundleService>,
        sent_ms: u64,
        response: &WatchResponse,
    ) {
        let now_ms = self.clock.local_ms(cluster.now_ms());
        let late = has_shell_defect(cluster.defect(), ShellDefect::LeaseFromArrival);
        let counted_from_ms = if late { now_ms } else { sent_ms };
        let mut taken = self.state.apply_response(counted_from_ms, response);
        let older = matches!(taken, WatchOutcome::Outdated(_));
        if older && has_shell_defect(cluster.defect(), ShellDefect::TakeOlderVersion) {
            self.state = ConfigurationState::default();
            let mut whole = response.clone();
            whole.confirmed = true;
            taken = self.state.apply_response(counted_from_ms, &whole);
        }
        let client = self.client.0;
        if let WatchOutcome::Changed { from, to } = &taken {
            cluster.note(|| format!("node {client} goes from {from:?} to {to}"));
        }
        self.check_never_lower(cluster);
    }

    /// The version in force here never falls, over restarts neither.
    fn check_never_lower(&mut self, cluster: &mut Cluster<BundleService>) {
        let Some(version) = self.state.catalog().map(|one| one.version) else {
            return;
        };
        if version < self.highest_version {
            let client = self.client.0;
            let highest = self.highest_version;
            let detail = format!("node {client} goes from {highest} down to {version}");
            cluster.violate("a bundle never reverts", detail);
        }
        self.highest_version = self.highest_version.max(version);
    }

    /// What the node serves by now; none before its first bundle.
    pub(super) fn serving(&self, now_ms: u64) -> Option<Serving> {
        let catalog = self.state.catalog()?;
        Some(Serving {
            version: catalog.version,
            leased: self.clock.local_ms(now_ms) < self.state.lease_until_ms(),
        })
    }

    /// The bundle's digest as this node holds it.
    pub(super) fn held_digest(&self) -> Option<pinerill_types::Digest> {
        self.state.catalog().map(|one| one.digest)
    }

    pub(super) fn look_again(&self, cluster: &mut Cluster<BundleService>) {
        cluster.wake(self.client, SERVE_PAUSE_MS, Timer::Serve);
    }
}
