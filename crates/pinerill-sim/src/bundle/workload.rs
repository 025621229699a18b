//! Operators and nodes together, and the rules that concern bundles.

use std::collections::BTreeMap;

use pinerill_control::codec::{decode, encode};
use pinerill_control::host::ProposeError;
use pinerill_control::meta::{MetaReply, ProposalOutcome};
use pinerill_types::bundle::IndexedBundle;
use pinerill_types::Digest;

use super::founding::{founding_bundle, founding_command, LEASE_MS};
use super::history::BundleHistory;
use super::operator::{BundleOperator, OperatorStyle};
use super::service::BundleService;
use super::watcher::Watcher;
use crate::cluster::{
    Applied, CallAnswer, CallId, CallKind, CallResult, ClientFault, ClientId, Cluster, Timer,
    Workload, MAX_SKEW_PPM,
};

/// The client that founds the cluster.
const FOUNDER: ClientId = ClientId(0);
/// Pause before the founding is tried again, milliseconds.
const FOUNDING_PAUSE_MS: u64 = 100;
/// How long the founder waits for an answer, milliseconds.
const FOUNDING_TIMEOUT_MS: u64 = 500;
/// Parts in a million.
const MILLION: u64 = 1_000_000;

/// How many clients there are, and what they do.
#[derive(Clone, Copy, Debug)]
pub struct WorkloadSettings {
    /// Operators.
    pub operators: u32,
    /// How they behave.
    pub style: OperatorStyle,
    /// Nodes that watch.
    pub nodes: u32,
}

/// A version as it was accepted.
#[derive(Clone, Copy, Debug)]
struct Accepted {
    at_ms: u64,
    digest: Digest,
}

/// Operators and nodes on the meta group.
pub struct BundleWorkload {
    settings: WorkloadSettings,
    founding_call: Option<CallId>,
    founded: bool,
    operators: Vec<BundleOperator>,
    watchers: Vec<Watcher>,
    history: BundleHistory,
    accepted: BTreeMap<u64, Accepted>,
    numbers: u64,
    winding_down: bool,
}

impl BundleWorkload {
    /// Clients that have not begun.
    pub fn new(settings: WorkloadSettings) -> Self {
        BundleWorkload {
            settings,
            founding_call: None,
            founded: false,
            operators: Vec::new(),
            watchers: Vec::new(),
            history: BundleHistory::default(),
            accepted: BTreeMap::new(),
            numbers: 0,
            winding_down: false,
        }
    }

    fn found(&mut self, cluster: &mut Cluster<BundleService>) {
        if self.founded || self.founding_call.is_some() {
            return;
        }
        let place = cluster.any_place();
        let kind = CallKind::Propose(encode(&founding_command()));
        let call = cluster.call(FOUNDER, place, kind, FOUNDING_TIMEOUT_MS);
        self.founding_call = Some(call);
    }

    fn founding_answered(
        &mut self,
        cluster: &mut Cluster<BundleService>,
        answer: CallAnswer<BundleService>,
    ) {
        self.founding_call = None;
        if let CallResult::Proposed(Ok(_)) = answer.result {
            self.begin_clients(cluster);
            return;
        }
        if let CallResult::Proposed(Err(ProposeError::NotLeader { .. })) = answer.result {
            cluster.note(|| "founding: not the leader".to_owned());
        }
        cluster.wake(FOUNDER, FOUNDING_PAUSE_MS, Timer::Next);
    }

    fn begin_clients(&mut self, cluster: &mut Cluster<BundleService>) {
        self.founded = true;
        let known = IndexedBundle::new(founding_bundle());
        for number in 0..self.settings.operators {
            let client = ClientId(1 + number);
            let style = self.settings.style;
            let operator = BundleOperator::new(client, style, known.clone());
            self.operators.push(operator);
            cluster.wake(client, 0, Timer::Next);
        }
        for number in 0..self.settings.nodes {
            let client = ClientId(1 + self.settings.operators + number);
            let watcher = Watcher::new(client, cluster);
            cluster.wake(client, 0, Timer::Next);
            cluster.wake(client, 0, Timer::Serve);
            self.watchers.push(watcher);
        }
        if self.winding_down {
            self.stop_operators();
        }
    }

    fn stop_operators(&mut self) {
        for operator in &mut self.operators {
            operator.stop();
        }
    }

    fn watcher(&mut self, client: ClientId) -> Option<&mut Watcher> {
        let mut watchers = self.watchers.iter_mut();
        watchers.find(|one| one.client() == client)
    }

    /// A node that serves has every version that was accepted longer ago
    /// than its lease, and the very content that was accepted.
    fn check_serving(&mut self, cluster: &mut Cluster<BundleService>, client: ClientId) {
        let now_ms = cluster.now_ms();
        let lease_ms = LEASE_MS + LEASE_MS * MAX_SKEW_PPM.unsigned_abs() / MILLION + 1;
        let Some(watcher) = self.watcher(client) else {
            return;
        };
        watcher.look_again(cluster);
        let Some(serving) = watcher.serving(now_ms) else {
            return;
        };
        let held = watcher.held_digest();
        if let Some(accepted) = self.accepted.get(&serving.version) {
            if held != Some(accepted.digest) {
                let detail = format!("node {} at version {}", client.0, serving.version);
                cluster.violate("one content per version", detail);
            }
        }
        if !serving.leased {
            return;
        }
        let due = self
            .accepted
            .iter()
            .rev()
            .find(|(_, accepted)| accepted.at_ms + lease_ms < now_ms);
        if let Some((version, accepted)) = due {
            if serving.version < *version {
                let detail = format!(
                    "node {} serves by {} although {version} was accepted at {}",
                    client.0, serving.version, accepted.at_ms
                );
                cluster.violate("an accepted bundle is in force everywhere", detail);
            }
        }
    }

    fn all_nodes_have_the_last(&self, now_ms: u64) -> bool {
        let last = self.accepted.keys().next_back().copied().unwrap_or(0);
        self.watchers.iter().all(|watcher| {
            let serving = watcher.serving(now_ms);
            serving.is_some_and(|one| one.version == last && one.leased)
        })
    }
}

impl Workload<BundleService> for BundleWorkload {
    fn start(&mut self, cluster: &mut Cluster<BundleService>) {
        cluster.wake(FOUNDER, FOUNDING_PAUSE_MS, Timer::Next);
    }

    fn woken(&mut self, cluster: &mut Cluster<BundleService>, client: ClientId, timer: Timer) {
        if client == FOUNDER {
            self.found(cluster);
            return;
        }
        if timer == Timer::Serve {
            self.check_serving(cluster, client);
            return;
        }
        if let Some(watcher) = self.watcher(client) {
            watcher.watch(cluster);
        } else if let Some(operator) = self.operators.get_mut(client.0 as usize - 1) {
            operator.woken(cluster, &mut self.history, &mut self.numbers);
        }
    }

    fn answered(
        &mut self,
        cluster: &mut Cluster<BundleService>,
        answer: CallAnswer<BundleService>,
    ) {
        let client = answer.client;
        if client == FOUNDER {
            self.founding_answered(cluster, answer);
        } else if let Some(watcher) = self.watcher(client) {
            watcher.answered(cluster, answer);
        } else if let Some(operator) = self.operators.get_mut(client.0 as usize - 1) {
            operator.answered(cluster, &mut self.history, answer);
        }
    }

    fn applied(&mut self, cluster: &mut Cluster<BundleService>, applied: &Applied) {
        let at_ms = cluster.now_ms();
        let reply = decode(&applied.answer);
        if let Ok(MetaReply::Bundle(ProposalOutcome::Accepted { version, digest })) = reply {
            cluster.note(|| format!("bundle {version} is accepted at index {}", applied.index));
            self.accepted.insert(version, Accepted { at_ms, digest });
        }
    }

    fn disturb(&mut self, cluster: &mut Cluster<BundleService>, fault: ClientFault) {
        if self.watchers.is_empty() {
            return;
        }
        let index = cluster.rng().below(self.watchers.len());
        let watcher = &mut self.watchers[index];
        let client = watcher.client();
        cluster.note(|| format!("node {}: {fault:?}", client.0));
        match fault {
            ClientFault::Restart => watcher.restart(cluster),
            ClientFault::Freeze { duration_ms } => cluster.freeze_client(client, duration_ms),
            ClientFault::Cut {
                duration_ms,
                direction,
            } => cluster.cut_client(client, direction, duration_ms),
        }
    }

    fn wind_down(&mut self, _cluster: &mut Cluster<BundleService>) {
        self.winding_down = true;
        self.stop_operators();
    }

    fn rests(&mut self, cluster: &mut Cluster<BundleService>) -> bool {
        let operators_rest = self.operators.iter().all(BundleOperator::rests);
        self.founded && operators_rest && self.all_nodes_have_the_last(cluster.now_ms())
    }

    fn finish(&mut self, cluster: &mut Cluster<BundleService>) {
        if !self.history.is_linearizable() {
            let count = self.history.operations().len();
            let detail = format!("no order explains the answers to {count} operations");
            cluster.violate("linearizability of bundles", detail);
        }
    }

    fn operations(&self) -> (u64, u64) {
        let begun = self.operators.iter().map(|one| one.begun).sum();
        let unknown = self.operators.iter().map(|one| one.unknown).sum();
        (begun, unknown)
    }
}
