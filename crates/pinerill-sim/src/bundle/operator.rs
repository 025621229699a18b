//! An operator: reads the bundle in force and proposes the next one.

use pinerill_control::codec::encode;
use pinerill_control::meta::MetaCommand;
use pinerill_types::bundle::{IndexedBundle, SignedChange};
use pinerill_types::Digest;

use super::founding::{short_digest, signed_next};
use super::history::{BundleHistory, BundleOperation, BundleState, OperationId};
use super::service::{BundleQuery, BundleService};
use crate::cluster::{CallKind, ClientId, ClientStub, Cluster, Timer};

/// How operators behave.
#[derive(Clone, Copy, Debug)]
pub struct OperatorStyle {
    /// Shortest pause between two operations, milliseconds.
    pub min_pause_ms: u64,
    /// Longest pause, milliseconds.
    pub max_pause_ms: u64,
    /// Share of operations that only read.
    pub read_share: f64,
    /// Share of operations that send an earlier proposal again.
    pub resend_share: f64,
    /// Share of proposals with too few signatures.
    pub unsigned_share: f64,
    /// Whether an answer that takes long is waited for in vain, so that
    /// proposals are resent often.
    pub impatient: bool,
}

impl Default for OperatorStyle {
    fn default() -> Self {
        OperatorStyle {
            min_pause_ms: 20,
            max_pause_ms: 300,
            read_share: 0.3,
            resend_share: 0.1,
            unsigned_share: 0.03,
            impatient: false,
        }
    }
}

/// What is being done.
pub(super) enum Work {
    Read,
    Propose(Box<Proposal>),
}

/// A proposal with what it asked for so far.
#[derive(Clone)]
pub(super) struct Proposal {
    pub(super) signed: SignedChange,
    pub(super) enough: bool,
    /// The version was decided; who took it is being asked.
    pub(super) decided: bool,
}

/// An operation under way.
pub(super) struct Running {
    pub(super) id: OperationId,
    pub(super) work: Work,
    pub(super) attempts: u32,
    /// Whether a machine may have taken an attempt whose answer is unknown.
    pub(super) unsure: bool,
}

/// One operator.
pub(super) struct BundleOperator {
    pub(super) stub: ClientStub,
    pub(super) style: OperatorStyle,
    pub(super) known: IndexedBundle,
    pub(super) running: Option<Running>,
    pub(super) past: Vec<Proposal>,
    /// Another bundle won: what is known is not in force any more.
    pub(super) outdated: bool,
    /// Reads once more before it rests.
    pub(super) last_read: bool,
    pub(super) stopping: bool,
    pub(super) begun: u64,
    pub(super) unknown: u64,
}

impl BundleOperator {
    pub(super) fn new(client: ClientId, style: OperatorStyle, known: IndexedBundle) -> Self {
        BundleOperator {
            stub: ClientStub::new(client),
            style,
            known,
            running: None,
            past: Vec::new(),
            outdated: false,
            last_read: false,
            stopping: false,
            begun: 0,
            unknown: 0,
        }
    }

    /// Ends with one more read.
    pub(super) fn stop(&mut self) {
        self.stopping = true;
    }

    pub(super) fn rests(&self) -> bool {
        self.last_read
    }

    pub(super) fn pause(&self, cluster: &mut Cluster<BundleService>) {
        let style = self.style;
        let pause_ms = cluster
            .rng()
            .between(style.min_pause_ms, style.max_pause_ms);
        cluster.wake(self.stub.client(), pause_ms, Timer::Next);
    }

    /// Begins or continues an operation.
    pub(super) fn woken(
        &mut self,
        cluster: &mut Cluster<BundleService>,
        history: &mut BundleHistory,
        numbers: &mut u64,
    ) {
        if self.last_read || self.stub.is_waiting() {
            return;
        }
        if self.running.is_none() {
            self.begin(cluster, history, numbers);
        }
        self.attempt(cluster, history);
    }

    fn begin(
        &mut self,
        cluster: &mut Cluster<BundleService>,
        history: &mut BundleHistory,
        numbers: &mut u64,
    ) {
        self.begun += 1;
        let style = self.style;
        let rng = cluster.rng();
        let reads = self.stopping || self.outdated || rng.chance(style.read_share);
        let work = if reads {
            Work::Read
        } else if !self.past.is_empty() && rng.chance(style.resend_share) {
            let index = rng.below(self.past.len());
            let mut proposal = self.past[index].clone();
            proposal.decided = false;
            Work::Propose(Box::new(proposal))
        } else {
            *numbers += 1;
            let enough = !rng.chance(style.unsigned_share);
            let signed = signed_next(&self.known, *numbers, enough);
            Work::Propose(Box::new(Proposal {
                signed,
                enough,
                decided: false,
            }))
        };
        let operation = match &work {
            Work::Read => BundleOperation::Read { end: None },
            Work::Propose(proposal) => {
                let change = &proposal.signed.change;
                BundleOperation::Propose {
                    bundle: state(change.version, change.digest),
                    base: short_digest(change.base),
                    signed: proposal.enough,
                    end: None,
                }
            }
        };
        let client = self.stub.client().0;
        cluster.note(|| format!("operator {client} begins {operation:?}"));
        let id = history.call(operation);
        self.running = Some(Running {
            id,
            work,
            attempts: 0,
            unsure: false,
        });
    }

    pub(super) fn attempt(
        &mut self,
        cluster: &mut Cluster<BundleService>,
        history: &mut BundleHistory,
    ) {
        let Some(running) = &mut self.running else {
            return;
        };
        running.attempts += 1;
        if running.attempts > ClientStub::MAX_ATTEMPTS {
            self.give_up(cluster, history);
            return;
        }
        let kind = match &running.work {
            Work::Read => CallKind::Read(BundleQuery::InForce),
            Work::Propose(proposal) if proposal.decided => {
                let version = proposal.signed.change.version;
                CallKind::Read(BundleQuery::Past { version })
            }
            Work::Propose(proposal) => {
                let signed = Box::new(proposal.signed.clone());
                CallKind::Propose(encode(&MetaCommand::ProposeBundle(signed)))
            }
        };
        self.stub.call(cluster, kind, self.style.impatient);
    }

    /// An operation that surely did nothing leaves the history; one that may
    /// have been done stays pending for ever.
    fn give_up(&mut self, cluster: &mut Cluster<BundleService>, history: &mut BundleHistory) {
        let Some(running) = self.running.take() else {
            return;
        };
        match running.work {
            Work::Propose(proposal) if running.unsure => {
                self.unknown += 1;
                self.past.push(*proposal);
            }
            _ => history.not_done(running.id),
        }
        self.pause(cluster);
    }
}

pub(super) fn state(version: u64, digest: Digest) -> BundleState {
    BundleState {
        version,
        digest: short_digest(digest),
    }
}
