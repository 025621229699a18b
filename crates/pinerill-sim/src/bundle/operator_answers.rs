//! What an operator makes of the answers it gets.

use pinerill_control::codec::decode;
use pinerill_control::host::ProposeError;
use pinerill_control::meta::{MetaReply, PastVersion, ProposalOutcome};
use pinerill_types::bundle::IndexedBundle;
use pinerill_types::Digest;

use super::history::{BundleHistory, ProposalEnd};
use super::operator::{state, BundleOperator, Running, Work};
use super::service::{BundleService, BundleView};
use crate::cluster::{CallAnswer, CallResult, Cluster};
use crate::defect::{has_shell_defect, ShellDefect};

impl BundleOperator {
    pub(super) fn answered(
        &mut self,
        cluster: &mut Cluster<BundleService>,
        history: &mut BundleHistory,
        answer: CallAnswer<BundleService>,
    ) {
        if !self.stub.close(answer.call) {
            return;
        }
        let Some(running) = &mut self.running else {
            return;
        };
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
                self.stub.retry(cluster, leader);
            }
            CallResult::Proposed(Err(ProposeError::Unknown)) | CallResult::TimedOut => {
                let wrong = ShellDefect::UnknownCountsAsNotDone;
                running.unsure |= !has_shell_defect(cluster.defect(), wrong);
                self.stub.retry(cluster, None);
            }
            // Nothing was done, or nothing can have been.
            _ => self.stub.retry(cluster, None),
        }
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
        let client = self.stub.client().0;
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
