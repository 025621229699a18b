//! Proposals of bundles, the bundle in force, and who has it.

use pinerill_types::bundle::SignedChange;
use pinerill_wire::message::{
    BundleShown, BundleStatusResponse, ProposalAnswer, ProposeBundleResponse, RefusalCode,
    Response, META_GROUP,
};

use super::control::Control;
use super::refusal::{propose_refused, read_refused, refused};
use crate::codec::{decode, encode};
use crate::host::{GroupHandle, ReadError};
use crate::meta::{
    read_history, MetaCommand, MetaMachine, MetaReply, PastVersion, ProposalOutcome,
};

const PROPOSE: &str = "propose bundle";
const SHOW: &str = "read bundle";

impl Control {
    /// Proposes the next bundle, as the meta group's leader.
    pub(super) async fn propose_bundle(&self, signed: SignedChange) -> Response {
        let proposed = (signed.change.version, signed.change.digest);
        let command = MetaCommand::ProposeBundle(Box::new(signed));
        let outcome = match self.propose_meta(&command, PROPOSE).await {
            Ok(MetaReply::Bundle(outcome)) => outcome,
            Ok(other) => return self.unexpected(PROPOSE, &other),
            Err(refusal) => return *refusal,
        };
        let answer = |answer, version, digest| {
            Response::ProposeBundle(ProposeBundleResponse {
                answer,
                version,
                digest,
            })
        };
        match outcome {
            ProposalOutcome::Accepted { version, digest } => {
                self.count(&self.counters.bundles_accepted);
                log::info!("bundle {version} accepted, digest {digest}");
                answer(ProposalAnswer::Accepted, version, digest)
            }
            ProposalOutcome::OtherBase { version, digest } => {
                answer(ProposalAnswer::Conflict, version, digest)
            }
            ProposalOutcome::Wrong { message } => {
                refused(RefusalCode::Invalid, PROPOSE, self.name(), message)
            }
            ProposalOutcome::Decided => match self.winner(proposed.0).await {
                Ok(PastVersion::Taken(digest)) if resent_is_refused() => {
                    answer(ProposalAnswer::Conflict, proposed.0, digest)
                }
                Ok(PastVersion::Taken(digest)) if digest == proposed.1 => {
                    answer(ProposalAnswer::Accepted, proposed.0, digest)
                }
                Ok(PastVersion::Taken(digest)) => {
                    answer(ProposalAnswer::Conflict, proposed.0, digest)
                }
                Ok(PastVersion::Forgotten) => {
                    let message = format!("bundle {} is too old to be told apart", proposed.0);
                    refused(RefusalCode::Conflict, PROPOSE, self.name(), message)
                }
                Err(error) => read_refused(&error, PROPOSE, self.name()),
            },
        }
    }

    /// Which bundle took a version that is decided.
    async fn winner(&self, version: u64) -> Result<PastVersion, ReadError> {
        let meta = self.groups.meta().ok_or(ReadError::Stopped)?;
        // The history's write may still be on its way to the table.
        meta.read_barrier().await?;
        let table = meta.table()?;
        read_history(&table, version).map_err(|error| {
            log::error!("history of bundles: {error:#}");
            ReadError::Stopped
        })
    }

    /// Proposes a command to the meta group and decodes its reply.
    pub(super) async fn propose_meta(
        &self,
        command: &MetaCommand,
        step: &str,
    ) -> Result<MetaReply, Box<Response>> {
        let Some(meta) = self.groups.meta() else {
            return Err(Box::new(self.not_initialised(step)));
        };
        let reply = match meta.propose(encode(command)).await {
            Ok(reply) => reply,
            Err(error) => {
                let leader = self.leader_address(META_GROUP);
                return Err(Box::new(propose_refused(&error, step, self.name(), leader)));
            }
        };
        match decode(&reply) {
            Ok(MetaReply::NotFounded) => Err(Box::new(self.not_initialised(step))),
            Ok(MetaReply::Rejected { message }) => Err(Box::new(refused(
                RefusalCode::Invalid,
                step,
                self.name(),
                message,
            ))),
            Ok(reply) => Ok(reply),
            Err(error) => Err(Box::new(refused(
                RefusalCode::OutcomeUnknown,
                step,
                self.name(),
                error,
            ))),
        }
    }

    /// This machine knows of no cluster. Another one may: a machine whose disk
    /// was lost must not hold up nodes that happen to ask it first.
    pub(super) fn not_initialised(&self, step: &str) -> Response {
        let message = "no cluster is initialised here";
        refused(RefusalCode::Unavailable, step, self.name(), message)
    }

    pub(super) fn unexpected(&self, step: &str, reply: &MetaReply) -> Response {
        let message = format!("unexpected reply {reply:?}");
        refused(RefusalCode::OutcomeUnknown, step, self.name(), message)
    }

    /// The meta group with everything committed so far.
    async fn confirmed_meta(&self) -> Result<&GroupHandle<MetaMachine>, Box<Response>> {
        let Some(meta) = self.groups.meta() else {
            return Err(Box::new(self.not_initialised(SHOW)));
        };
        match meta.read_barrier().await {
            Ok(_) => Ok(meta),
            Err(error) => Err(Box::new(read_refused(&error, SHOW, self.name()))),
        }
    }

    /// The bundle in force, confirmed by a quorum.
    pub(super) async fn bundle_show(&self) -> Response {
        let meta = match self.confirmed_meta().await {
            Ok(meta) => meta,
            Err(refusal) => return *refusal,
        };
        let shown = meta.with_machine(|machine| {
            machine.bundle().map(|bundle| BundleShown {
                bundle: bundle.bundle().clone(),
                digest: bundle.digest(),
            })
        });
        shown.map_or_else(|| self.not_initialised(SHOW), Response::BundleShow)
    }

    /// The version in force and which nodes have which.
    pub(super) async fn bundle_status(&self) -> Response {
        let meta = match self.confirmed_meta().await {
            Ok(meta) => meta,
            Err(refusal) => return *refusal,
        };
        let in_force = meta.with_machine(|machine| {
            machine
                .bundle()
                .map(|bundle| (bundle.version(), bundle.digest()))
        });
        let Some((version, digest)) = in_force else {
            return self.not_initialised(SHOW);
        };
        Response::BundleStatus(BundleStatusResponse {
            version,
            digest,
            nodes: self.directory.lock().node_bundles(),
        })
    }
}

/// Whether a winner that is sent again is refused: a deliberate defect, never
/// without a fail point.
fn resent_is_refused() -> bool {
    fail::fail_point!("bundle-resent-is-refused", |_| true);
    false
}
