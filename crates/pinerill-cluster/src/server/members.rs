//! Carries out membership changes of the replicated group, one at a time, while this machine
//! leads, and handles operators' requests to drain a control machine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pinerill_calls::message::{CallsResponse, RetirementState};
use pinerill_replica::ReplicaId;
use pinerill_wire::message::Refusal;
use tokio::time::sleep;

use super::control::Control;
use crate::machine::{ClusterMachine, Command};
use crate::membership::{
    is_drained, may_retire, next_step, MembershipSettings, MembershipStep, MembershipView,
};

/// Interval between two checks of the membership.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time without contact after which a voter is replaced if another machine is available,
/// milliseconds.
const LOST_AFTER_MS: u64 = 6_000;
/// Time without contact up to which a machine counts as present, milliseconds.
const PRESENCE_TIMEOUT_MS: u64 = 1_500;

impl Control {
    /// Checks the membership every [`MEMBERSHIP_CHECK_INTERVAL`] and carries out the next step
    /// while this machine leads. Never returns.
    pub(super) async fn run_membership_changes(&self) {
        loop {
            sleep(MEMBERSHIP_CHECK_INTERVAL).await;
            if !self.leads() {
                continue;
            }
            let Ok(Some(step)) = self.with_view("check membership", next_step) else {
                continue;
            };
            self.apply_step(step).await;
        }
    }

    async fn apply_step(&self, step: MembershipStep) {
        log::info!(event = "membership_step", step:? = step; "");
        match step {
            MembershipStep::Change(change) => {
                if let Err(error) = self.group.change_membership(change).await {
                    log::warn!(event = "membership_step_failed", step:? = step, error:%; "");
                }
            }
            MembershipStep::HandOver(to) => {
                self.group.transfer_leadership(Some(to)).await;
            }
        }
    }

    /// Runs `inspect` on the membership as this leader knows it.
    ///
    /// # Errors
    /// Returns a refusal if this machine does not lead.
    fn with_view<R>(
        &self,
        step: &'static str,
        inspect: impl FnOnce(&MembershipView<'_>) -> R,
    ) -> Result<R, Box<Refusal>> {
        let now_ms = self.now_ms();
        let (silent_ms, leading_ms) =
            self.with_leadership(step, |one| (one.silent_ms(now_ms), one.duration_ms(now_ms)))?;
        let status = self.group.status();
        let mut caught_up: BTreeSet<u64> = status
            .peers
            .iter()
            .filter(|peer| peer.match_index >= status.commit)
            .map(|peer| peer.id.0)
            .collect();
        caught_up.insert(self.record.replica);
        let silent_ms = merge_replication_silence(silent_ms, &status.peers);
        Ok(self.group.with_machine(|machine: &ClusterMachine| {
            inspect(&MembershipView {
                own: ReplicaId(self.record.replica),
                members: &status.members,
                settled: status.members_committed,
                machines: machine.machines(),
                replaced: machine.replaced(),
                retiring: machine.retiring(),
                silent_ms: &silent_ms,
                leading_ms,
                caught_up: &caught_up,
                settings: MembershipSettings {
                    min_voters: self.settings.min_voters(),
                    max_voters: self.settings.max_voters(),
                    lost_after_ms: LOST_AFTER_MS,
                    present_ms: PRESENCE_TIMEOUT_MS,
                },
            })
        }))
    }

    /// Starts to drain the machine with this name, unless too few machines would remain. Has no
    /// further effect if the drain has already started.
    pub(super) async fn start_retirement(&self, name: &str) -> Result<CallsResponse, Box<Refusal>> {
        let step = "start retirement";
        self.with_leadership(step, |_| ())?;
        self.barrier(step).await?;
        let Some(replica) = self.replica_by_name(name) else {
            return Ok(CallsResponse::Retirement(RetirementState::Unknown));
        };
        let retiring = self
            .group
            .with_machine(|machine| machine.retiring().contains(&replica));
        if !retiring {
            if !self.with_view(step, |view| may_retire(view, ReplicaId(replica)))? {
                return Ok(CallsResponse::Retirement(RetirementState::TooFew));
            }
            self.propose(step, Command::Retire(replica)).await?;
            log::info!(event = "retirement_begins", machine = name; "");
        }
        Ok(CallsResponse::Retirement(RetirementState::Serving))
    }

    /// Returns whether the machine with this name has been drained.
    pub(super) fn retirement_state(&self, name: &str) -> Result<CallsResponse, Box<Refusal>> {
        let step = "look at retirement";
        let Some(replica) = self.replica_by_name(name) else {
            self.with_leadership(step, |_| ())?;
            return Ok(CallsResponse::Retirement(RetirementState::Unknown));
        };
        let retiring = self
            .group
            .with_machine(|machine| machine.retiring().contains(&replica));
        let drained = self.with_view(step, |view| is_drained(view, ReplicaId(replica)))?;
        let state = match retiring && drained {
            true => RetirementState::Completed,
            false => RetirementState::Serving,
        };
        Ok(CallsResponse::Retirement(state))
    }

    fn replica_by_name(&self, name: &str) -> Option<u64> {
        self.group.with_machine(|machine| {
            let mut records = machine.machines().iter();
            let found = records.find(|(_, record)| record.name == name)?;
            Some(*found.0)
        })
    }
}

/// Merges the time since each peer last acknowledged a replication message into `silent_ms`,
/// milliseconds by machine, and keeps the shorter time. A machine counts as in contact by its
/// announcements and by its acknowledgements.
fn merge_replication_silence(
    mut silent_ms: BTreeMap<u64, u64>,
    peers: &[pinerill_replica::PeerStatus],
) -> BTreeMap<u64, u64> {
    for peer in peers {
        let silent = silent_ms.entry(peer.id.0).or_insert(peer.silent_ms);
        *silent = (*silent).min(peer.silent_ms);
    }
    silent_ms
}
