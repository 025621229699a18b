//! Control machines and the groups that they hold.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use pinerill_types::ZoneName;
use pinerill_wire::message::META_GROUP;
use serde::{Deserialize, Serialize};

/// A control machine, by the identity of its data folder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlMachine {
    /// Identity of the folder.
    pub replica: u64,
    /// Name from its settings.
    pub name: String,
    /// Its zone.
    pub zone: ZoneName,
    /// Internal address.
    pub address: SocketAddr,
}

/// Which machines should vote in a group, and which did at the last report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupPlan {
    /// The group.
    pub group: u32,
    /// Who should vote.
    pub voters: Vec<u64>,
    /// Who votes by the last report of the group's leader.
    pub confirmed: Vec<u64>,
}

impl GroupPlan {
    /// A new group, whose first voters are the wanted ones.
    pub fn new(group: u32, voters: Vec<u64>) -> Self {
        Self {
            group,
            confirmed: voters.clone(),
            voters,
        }
    }

    fn replacement_is_done(&self, lost: u64, new: u64) -> bool {
        let in_place = !self.voters.contains(&new) || self.confirmed.contains(&new);
        in_place && !self.confirmed.contains(&lost)
    }
}

/// Who should vote in a group and who should only learn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupMembers {
    /// Voters.
    pub voters: Vec<u64>,
    /// Learners.
    pub learners: Vec<u64>,
}

/// How far a replacement is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replacement {
    /// Groups in which the new one votes and the lost one is out.
    pub done: u32,
    /// Groups still to do.
    pub remaining: u32,
}

/// The cluster as the meta group knows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Cluster {
    pub(super) cluster_id: u64,
    pub(super) machines: BTreeMap<u64, ControlMachine>,
    pub(super) groups: BTreeMap<u32, GroupPlan>,
    /// Lost folders and what took their place. A lost identity never returns.
    pub(super) replaced: BTreeMap<u64, u64>,
}

impl Cluster {
    /// Records a machine.
    pub(super) fn set_machine(&mut self, machine: ControlMachine) -> Result<(), String> {
        if let Some(new) = self.replaced.get(&machine.replica) {
            let lost = machine.replica;
            return Err(format!("replica {lost} was replaced by {new}"));
        }
        self.machines.insert(machine.replica, machine);
        Ok(())
    }

    /// Plans `new` in the place of `lost`. The same replacement again only
    /// tells how far it is.
    pub(super) fn replace(
        &mut self,
        lost: u64,
        new: ControlMachine,
    ) -> Result<Replacement, String> {
        let new_replica = new.replica;
        match self.replaced.get(&lost) {
            Some(other) if *other == new_replica => return Ok(self.progress(lost, new_replica)),
            Some(other) => return Err(format!("replica {lost} was replaced by {other}")),
            None => {}
        }
        if !self.machines.contains_key(&lost) {
            return Err(format!("replica {lost} is not a control machine"));
        }
        if new_replica == lost || self.is_voter(new_replica) {
            return Err(format!("replica {new_replica} holds groups already"));
        }
        self.set_machine(new)?;
        self.machines.remove(&lost);
        self.replaced.insert(lost, new_replica);
        for plan in self.groups.values_mut() {
            for voter in plan.voters.iter_mut().filter(|voter| **voter == lost) {
                *voter = new_replica;
            }
        }
        Ok(self.progress(lost, new_replica))
    }

    /// How far the replacement of `lost` by `new` is.
    pub(super) fn progress(&self, lost: u64, new: u64) -> Replacement {
        let concerned =
            |plan: &&GroupPlan| plan.voters.contains(&new) || plan.confirmed.contains(&lost);
        let plans = self.groups.values().filter(concerned);
        let (done, remaining): (Vec<_>, Vec<_>) =
            plans.partition(|plan| plan.replacement_is_done(lost, new));
        Replacement {
            done: done.len() as u32,
            remaining: remaining.len() as u32,
        }
    }

    /// Records who votes in a group.
    pub(super) fn confirm_group(&mut self, group: u32, voters: Vec<u64>) -> Result<(), String> {
        let plan = self
            .groups
            .get_mut(&group)
            .ok_or_else(|| format!("there is no group {group}"))?;
        plan.confirmed = voters;
        Ok(())
    }

    /// Who should be in a group. Every machine learns the meta group, so that
    /// each can serve the bundle and knows its groups.
    pub(super) fn members(&self, group: u32) -> Option<GroupMembers> {
        let voters = self.groups.get(&group)?.voters.clone();
        let others = self.machines.keys().copied();
        let learners = match group {
            META_GROUP => others.filter(|one| !voters.contains(one)).collect(),
            _ => Vec::new(),
        };
        Some(GroupMembers { voters, learners })
    }

    fn is_voter(&self, replica: u64) -> bool {
        let mut plans = self.groups.values();
        plans.any(|plan| plan.voters.contains(&replica) || plan.confirmed.contains(&replica))
    }
}
