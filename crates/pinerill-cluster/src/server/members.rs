//! Carries out changes of the group's membership, one at a time, and answers
//! orders to empty a machine.

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

/// Pause between two looks at the membership.
const LOOK_PAUSE: Duration = Duration::from_millis(200);
/// Silence after which a voter is replaced if another machine is there.
const LOST_AFTER_MS: u64 = 6_000;
/// Silence up to which a machine counts as present.
const PRESENT_MS: u64 = 1_500;

impl Control {
    /// Looks at the membership again and again while this machine leads.
    pub(super) async fn keep_members(&self) {
        loop {
            sleep(LOOK_PAUSE).await;
            if !self.leads() {
                continue;
            }
            let Ok(Some(step)) = self.with_view("look at members", next_step) else {
                continue;
            };
            self.take_step(step).await;
        }
    }

    async fn take_step(&self, step: MembershipStep) {
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

    /// Looks at the membership as this leader knows it.
    ///
    /// # Errors
    /// When this machine does not lead.
    fn with_view<R>(
        &self,
        step: &'static str,
        look: impl FnOnce(&MembershipView<'_>) -> R,
    ) -> Result<R, Box<Refusal>> {
        let now_ms = self.now_ms();
        let (silent_ms, leading_ms) =
            self.with_leadership(step, |one| (one.silence(now_ms), one.lasted_ms(now_ms)))?;
        let status = self.group.status();
        let mut caught_up: BTreeSet<u64> = status
            .peers
            .iter()
            .filter(|peer| peer.match_index >= status.commit)
            .map(|peer| peer.id.0)
            .collect();
        caught_up.insert(self.record.replica);
        let silent_ms = with_acknowledged(silent_ms, &status.peers);
        Ok(self.group.with_machine(|machine: &ClusterMachine| {
            look(&MembershipView {
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
                    present_ms: PRESENT_MS,
                },
            })
        }))
    }

    /// Takes an order to empty the machine of this name.
    pub(super) async fn start_retirement(&self, name: &str) -> Result<CallsResponse, Box<Refusal>> {
        let step = "start retirement";
        self.with_leadership(step, |_| ())?;
        self.barrier(step).await?;
        let Some(replica) = self.replica_of(name) else {
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

    /// How far the emptying of a machine is.
    pub(super) fn retirement_state(&self, name: &str) -> Result<CallsResponse, Box<Refusal>> {
        let step = "look at retirement";
        let Some(replica) = self.replica_of(name) else {
            self.with_leadership(step, |_| ())?;
            return Ok(CallsResponse::Retirement(RetirementState::Unknown));
        };
        let retiring = self
            .group
            .with_machine(|machine| machine.retiring().contains(&replica));
        let emptied = self.with_view(step, |view| is_drained(view, ReplicaId(replica)))?;
        let state = match retiring && emptied {
            true => RetirementState::Completed,
            false => RetirementState::Serving,
        };
        Ok(CallsResponse::Retirement(state))
    }

    fn replica_of(&self, name: &str) -> Option<u64> {
        self.group.with_machine(|machine| {
            let mut records = machine.machines().iter();
            let found = records.find(|(_, record)| record.name == name)?;
            Some(*found.0)
        })
    }
}

/// A machine is heard by what it says and by what it acknowledges.
fn with_acknowledged(
    mut silent_ms: BTreeMap<u64, u64>,
    peers: &[pinerill_replica::PeerStatus],
) -> BTreeMap<u64, u64> {
    for peer in peers {
        let silent = silent_ms.entry(peer.id.0).or_insert(peer.silent_ms);
        *silent = (*silent).min(peer.silent_ms);
    }
    silent_ms
}
