//! Connections between control machines.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use pinerill_cluster::connections::{KnownMachines, MAX_FULL_MESH};

const MEMBERS: u32 = 9;

fn address(number: u32) -> SocketAddr {
    ([10, 0, (number >> 8) as u8, number as u8], 7020).into()
}

/// What one of so many machines knows; the first ones are members, and the first leads.
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
fn few_machines_are_connected_each_to_each() {
    for machines in [2, 5, MAX_FULL_MESH as u32] {
        for own in 0..machines {
            let wanted = machine(own, machines).connection_targets(&[]);
            let others: BTreeSet<SocketAddr> = (0..machines.max(MEMBERS))
                .filter(|other| *other != own)
                .map(address)
                .collect();
            assert_eq!(wanted, others);
        }
    }
}

#[test]
fn a_machine_keeps_no_more_connections_in_a_fleet_twice_as_large() {
    let most = |machines| {
        let counts = (0..machines).map(|own| machine(own, machines).connection_targets(&[]).len());
        counts.max().unwrap_or(0)
    };
    assert_eq!(most(150), most(300));
    assert!(most(150) <= 16, "{}", most(150));
}

/// Others keep connections to a machine as well; none has to hold all of them but a member.
#[test]
fn a_machine_that_is_no_member_is_kept_connected_to_by_few() {
    let mut kept = vec![0; 150];
    for own in 0..150 {
        let wanted = machine(own, 150).connection_targets(&[]);
        for (number, count) in kept.iter_mut().enumerate() {
            *count += usize::from(wanted.contains(&address(number as u32)));
        }
    }
    let most = kept[MEMBERS as usize..].iter().max();
    assert!(most <= Some(&14), "{most:?}");
    assert!(kept[..MEMBERS as usize].iter().all(|count| *count >= 149));
}

#[test]
fn members_are_connected_each_to_each_whatever_their_number() {
    for own in 0..MEMBERS {
        let wanted = machine(own, 150).connection_targets(&[]);
        for other in (0..MEMBERS).filter(|other| *other != own) {
            assert!(wanted.contains(&address(other)));
        }
    }
}

/// Its seeds may be no members, and its state may name none.
#[test]
fn a_machine_that_knows_no_leader_tries_more_of_the_others() {
    let mut lost = machine(100, 150);
    lost.leader = None;
    lost.members = Vec::new();
    lost.seeds = vec![address(50)];
    let random = [address(4), address(70)];
    let wanted = lost.connection_targets(&random);
    assert!(random.iter().all(|one| wanted.contains(one)));
    lost.leader = Some(address(4));
    let wanted = lost.connection_targets(&random);
    assert!(wanted.contains(&address(4)) && wanted.len() <= 8);
}
