//! An operator: reads the bundle in force and proposes the next one.

use pinerill_control::codec::{decode, encode};
use pinerill_control::host::ProposeError;
use pinerill_control::meta::{MetaCommand, MetaReply, PastVersion, ProposalOutcome};
use pinerill_types::bundle::{IndexedBundle, SignedChange};
use pinerill_types::Digest;

use super::founding::{short_digest, signed_next};
use super::history::{BundleHistory, BundleOperation, BundleState, OperationId, ProposalEnd};
use super::service::{BundleQuery, BundleService, BundleView};
use crate::cluster::{CallAnswer, CallId, CallKind, CallResult, ClientId, Cluster, Timer};
use crate::defect::{has_shell_defect, ShellDefect};

/// How long an operator waits for one answer, milliseconds.
const CALL_TIMEOUT_MS: u64 = 700;
/// Pause before an operation is tried elsewhere, milliseconds.
const RETRY_PAUSE_MS: u64 = 60;
/// Calls after which an operation is given up.
const MAX_ATTEMPTS: u32 = 12;

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
enum Work {
    Read,
    Propose(Box<Proposal>),
}

/// A proposal with what it asked for so far.
#[derive(Clone)]
struct Proposal {
    signed: SignedChange,
    enough: bool,
    /// The version was decided; who took it is being asked.
    decided: bool,
}

/// An operation under way.
struct Running {
    id: OperationId,
    work: Work,
    call: Option<CallId>,
    attempts: u32,
    /// Whether a machine may have taken an attempt whose answer is unknown.
    unsure: bool,
}

/// One operator.
pub(super) struct BundleOperator {
    client: ClientId,
    style: OperatorStyle,
    known: IndexedBundle,
    running: Option<Running>,
    past: Vec<Proposal>,
    machine: usize,
    /// Another bundle won: what is known is not in force any more.
    outdated: bool,
    /// Reads once more before it rests.
    last_read: bool,
    stopping: bool,
    pub(super) begun: u64,
    pub(super) unknown: u64,
}

impl BundleOperator {
    pub(super) fn new(client: ClientId, style: OperatorStyle, known: IndexedBundle) -> Self {
        BundleOperator {
            client,
            style,
            known,
            running: None,
            past: Vec::new(),
            machine: 0,
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

    fn pause(&self, cluster: &mut Cluster<BundleService>) {
        let style = self.style;
        let pause_ms = cluster
            .rng()
            .between(style.min_pause_ms, style.max_pause_ms);
        cluster.wake(self.client, pause_ms, Timer::Next);
    }

    /// Begins or continues an operation.
    pub(super) fn woken(
        &mut self,
        cluster: &mut Cluster<BundleService>,
        history: &mut BundleHistory,
        numbers: &mut u64,
    ) {
        if self.last_read {
            return;
        }
        match &self.running {
            Some(running) if running.call.is_some() => {}
            Some(_) => self.attempt(cluster, history),
            None => {
                self.begin(cluster, history, numbers);
                self.attempt(cluster, history);
            }
        }
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
        let client = self.client.0;
        cluster.note(|| format!("operator {client} begins {operation:?}"));
        let id = history.call(operation);
        self.running = Some(Running {
            id,
            work,
            call: None,
            attempts: 0,
            unsure: false,
        });
    }

    fn attempt(&mut self, cluster: &mut Cluster<BundleService>, history: &mut BundleHistory) {
        let Some(running) = &mut self.running else {
            return;
        };
        running.attempts += 1;
        if running.attempts > MAX_ATTEMPTS {
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
        let timeout_ms = if self.style.impatient {
            cluster.rng().between(4, CALL_TIMEOUT_MS / 10)
        } else {
            CALL_TIMEOUT_MS
        };
        running.call = Some(cluster.call(self.client, self.machine, kind, timeout_ms));
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

    pub(super) fn answered(
        &mut self,
        cluster: &mut Cluster<BundleService>,
        history: &mut BundleHistory,
        answer: CallAnswer<BundleService>,
    ) {
        let Some(running) = &mut self.running else {
            return;
        };
        if running.call != Some(answer.call) {
            return;
        }
        running.call = None;
        match answer.result {
            CallResult::Read(Ok(BundleView::InForce(Some(bundle)))) => {
                self.read(cluster, history, *bundle);
            }
            CallResult::Read(Ok(BundleView::Past(Some(PastVersion::Taken(digest))))) => {
                self.learnt_winner(cluster, history, digest);
            }
            CallResult::Read(Ok(BundleView::Past(other))) => {
                let detail = format!("a decided version is read as {other:?}");
                cluster.violate("who took a version stays known", detail);
            }
            CallResult::Proposed(Ok(reply)) => self.decided(cluster, history, &reply),
            CallResult::Proposed(Err(ProposeError::NotLeader { leader })) => {
                let place = leader.and_then(|leader| cluster.place_of(leader));
                self.retry(cluster, place);
            }
            CallResult::Proposed(Err(ProposeError::Unknown)) | CallResult::TimedOut => {
                running.unsure = true;
                self.retry(cluster, None);
            }
            // Nothing was done, or nothing can have been.
            _ => self.retry(cluster, None),
        }
    }

    /// Tries again at the given machine, or at any.
    fn retry(&mut self, cluster: &mut Cluster<BundleService>, place: Option<usize>) {
        let count = cluster.machine_count();
        self.machine = place.unwrap_or_else(|| cluster.rng().below(count));
        cluster.wake(self.client, RETRY_PAUSE_MS, Timer::Next);
    }

    fn read(
        &mut self,
        cluster: &mut Cluster<BundleService>,
        history: &mut BundleHistory,
        bundle: IndexedBundle,
    ) {
        let Some(running) = self.running.take() else {
            return;
        };
        cluster.observe("confirmed read");
        history.read(running.id, state(bundle.version(), bundle.digest()));
        self.known = bundle;
        self.outdated = false;
        self.last_read = self.stopping;
        self.pause(cluster);
    }

    fn decided(
        &mut self,
        cluster: &mut Cluster<BundleService>,
        history: &mut BundleHistory,
        reply: &[u8],
    ) {
        let outcome = match decode(reply) {
            Ok(MetaReply::Bundle(outcome)) => outcome,
            other => {
                cluster.violate("replies fit", format!("{other:?}"));
                return;
            }
        };
        match outcome {
            ProposalOutcome::Accepted { .. } => {
                self.proposed(cluster, history, ProposalEnd::Accepted);
            }
            ProposalOutcome::OtherBase { version, digest } => {
                let winner = state(version, digest);
                self.proposed(cluster, history, ProposalEnd::Conflict(winner));
            }
            ProposalOutcome::Wrong { .. } => self.proposed(cluster, history, ProposalEnd::Wrong),
            ProposalOutcome::Decided => {
                if let Some(running) = &mut self.running {
                    if let Work::Propose(proposal) = &mut running.work {
                        proposal.decided = true;
                    }
                }
                self.attempt(cluster, history);
            }
        }
    }

    /// The version was taken before; by whom tells what this proposal became.
    fn learnt_winner(
        &mut self,
        cluster: &mut Cluster<BundleService>,
        history: &mut BundleHistory,
        winner: Digest,
    ) {
        let Some(Running {
            work: Work::Propose(proposal),
            ..
        }) = &self.running
        else {
            return;
        };
        let change = &proposal.signed.change;
        let defect = cluster.defect();
        let mut won = winner == change.digest;
        if has_shell_defect(defect, ShellDefect::DecidedCountsAsAccepted) {
            won = true;
        }
        if has_shell_defect(defect, ShellDefect::ResentCountsAsConflict) {
            won = false;
        }
        let end = if won {
            ProposalEnd::Accepted
        } else {
            ProposalEnd::Conflict(state(change.version, winner))
        };
        self.proposed(cluster, history, end);
    }

    fn proposed(
        &mut self,
        cluster: &mut Cluster<BundleService>,
        history: &mut BundleHistory,
        end: ProposalEnd,
    ) {
        let Some(running) = self.running.take() else {
            return;
        };
        let client = self.client.0;
        cluster.note(|| format!("operator {client} hears {end:?}"));
        cluster.observe(match end {
            ProposalEnd::Accepted => "proposal accepted",
            ProposalEnd::Conflict(_) => "proposal in conflict",
            ProposalEnd::Wrong => "proposal without its signatures",
        });
        history.proposed(running.id, end);
        self.outdated |= matches!(end, ProposalEnd::Conflict(_));
        if let Work::Propose(proposal) = running.work {
            if end == ProposalEnd::Accepted {
                let change = &proposal.signed.change;
                // One that was sent again may be older than what is known.
                let _ = self.known.apply(change);
            }
            self.past.push(*proposal);
        }
        self.pause(cluster);
    }
}

fn state(version: u64, digest: Digest) -> BundleState {
    BundleState {
        version,
        digest: short_digest(digest),
    }
}
