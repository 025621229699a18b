//! Connections that control machines keep to each other.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use pinerill_cluster::connections::{KnownMachines, MAX_FULL_MESH};

const MEMBERS: u32 = 9;

fn address(number: u32) -> SocketAddr {
    ([10, 0, (number >> 8) as u8, number as u8], 7020).into()
}

/// Returns what machine `own` of a fleet of `machines` knows. The first machines are the
/// members, and machine 0 leads.
fn machine(own: u32, machines: u32) -> KnownMachines {
    KnownMachines {
        own: address(own),
        known: (0..machines).map(address).collect(),
        seeds: (0..3).map(address).collect(),
        members: (0..MEMBERS).map(address).collect(),
        leader: Some(address(0)),
    }
}

#[test]
fn a_small_fleet_is_fully_meshed() {
    for machines in [2, 5, MAX_FULL_MESH as u32] {
        for own in 0..machines {
            let targets = machine(own, machines).connection_targets(&[]);
            let others: BTreeSet<SocketAddr> = (0..machines.max(MEMBERS))
                .filter(|other| *other != own)
                .map(address)
                .collect();
            assert_eq!(targets, others);
        }
    }
}

#[test]
fn the_number_of_connections_does_not_grow_with_the_fleet() {
    let most = |machines| {
        let counts = (0..machines).map(|own| machine(own, machines).connection_targets(&[]).len());
        counts.max().unwrap_or(0)
    };
    assert_eq!(most(150), most(300));
    assert!(most(150) <= 16, "{}", most(150));
}

/// Connections are also opened by other machines. Only members may receive one from every
/// machine.
#[test]
fn a_non_member_receives_few_connections() {
    let mut incoming = vec![0; 150];
    for own in 0..150 {
        let targets = machine(own, 150).connection_targets(&[]);
        for (number, count) in incoming.iter_mut().enumerate() {
            *count += usize::from(targets.contains(&address(number as u32)));
        }
    }
    let most = incoming[MEMBERS as usize..].iter().max();
    assert!(most <= Some(&14), "{most:?}");
    assert!(incoming[..MEMBERS as usize]
        .iter()
        .all(|count| *count >= 149));
}

#[test]
fn members_are_fully_meshed_in_a_large_fleet() {
    for own in 0..MEMBERS {
        let targets = machine(own, 150).connection_targets(&[]);
        for other in (0..MEMBERS).filter(|other| *other != own) {
            assert!(targets.contains(&address(other)));
        }
    }
}

/// The machine's seeds may not be members, and its state may name no members at all.
#[test]
fn a_machine_without_a_known_leader_also_connects_to_random_machines() {
    let mut machine_without_leader = machine(100, 150);
    machine_without_leader.leader = None;
    machine_without_leader.members = Vec::new();
    machine_without_leader.seeds = vec![address(50)];
    let random = [address(4), address(70)];
    let targets = machine_without_leader.connection_targets(&random);
    assert!(random.iter().all(|one| targets.contains(one)));
    machine_without_leader.leader = Some(address(4));
    let targets = machine_without_leader.connection_targets(&random);
    assert!(targets.contains(&address(4)) && targets.len() <= 8);
}
