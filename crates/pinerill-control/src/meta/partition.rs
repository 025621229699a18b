//! Spreads the replicas of groups over control machines and zones.

use std::collections::BTreeMap;

use pinerill_types::ZoneName;
use pinerill_wire::message::META_GROUP;

use super::cluster::{ControlMachine, GroupPlan};

/// Voters that a group gets: the greatest odd number of at most `wanted` and
/// `machines`, since an even one bears no more losses than the odd below it.
pub fn voter_count(wanted: u32, machines: usize) -> usize {
    let most = machines.min(wanted as usize);
    if most.is_multiple_of(2) {
        most.saturating_sub(1)
    } else {
        most
    }
}

/// Plans the meta group and `job_groups` job groups over `machines`.
///
/// Each group takes machines of the zones that it uses least so far, and
/// among those the machine with the fewest replicas.
pub fn spread_replicas(
    machines: &[ControlMachine],
    job_groups: u32,
    voters_wanted: u32,
) -> Vec<GroupPlan> {
    let voters = voter_count(voters_wanted, machines.len());
    let mut load: BTreeMap<u64, u32> = BTreeMap::new();
    (META_GROUP..=META_GROUP + job_groups)
        .map(|group| {
            let chosen = choose_voters(machines, voters, &mut load);
            GroupPlan::new(group, chosen)
        })
        .collect()
}

fn choose_voters(
    machines: &[ControlMachine],
    voters: usize,
    load: &mut BTreeMap<u64, u32>,
) -> Vec<u64> {
    let mut zones: BTreeMap<&ZoneName, u32> = BTreeMap::new();
    let mut chosen: Vec<u64> = Vec::with_capacity(voters);
    while chosen.len() < voters {
        let free = machines.iter().filter(|one| !chosen.contains(&one.replica));
        let cost = |one: &&ControlMachine| {
            let in_zone = zones.get(&one.zone).copied().unwrap_or(0);
            let on_machine = load.get(&one.replica).copied().unwrap_or(0);
            (in_zone, on_machine, one.replica)
        };
        let Some(best) = free.min_by_key(cost) else {
            break;
        };
        *zones.entry(&best.zone).or_default() += 1;
        *load.entry(best.replica).or_default() += 1;
        chosen.push(best.replica);
    }
    chosen
}
