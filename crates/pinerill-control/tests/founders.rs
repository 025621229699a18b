//! A cluster is founded by all control machines of the settings or not at all.

use std::net::SocketAddr;

use pinerill_control::meta::ControlMachine;
use pinerill_control::server::{founders, FounderMissing};
use pinerill_types::ZoneName;
use pinerill_wire::api::{Peer, Role};
use pinerill_wire::connection::ConnectedPeer;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn machine(port: u16) -> ControlMachine {
    ControlMachine {
        replica: u64::from(port),
        name: format!("control-{port}"),
        zone: ZoneName("zone-0".to_owned()),
        address: address(port),
    }
}

/// A peer that listens at `port` and is reached at `reached_at`.
fn connected(port: u16, reached_at: u16) -> ConnectedPeer {
    let machine = machine(port);
    ConnectedPeer {
        reached_at: address(reached_at),
        peer: Peer {
            role: Role::Control,
            name: machine.name,
            zone: machine.zone.0,
            replica: machine.replica,
            cluster_id: 0,
            address: machine.address,
        },
    }
}

#[test]
fn all_machines_found_the_cluster_in_the_same_order_wherever_it_is_asked_for() {
    let at_first = founders(
        machine(1),
        [address(2), address(3)],
        &[connected(2, 2), connected(3, 3)],
    );
    let at_last = founders(
        machine(3),
        [address(1), address(2)],
        &[connected(2, 2), connected(1, 1)],
    );
    let all = vec![machine(1), machine(2), machine(3)];
    assert_eq!(at_first, Ok(all.clone()));
    assert_eq!(at_last, Ok(all));
}

#[test]
fn a_machine_that_the_view_does_not_show_is_never_left_out_in_silence() {
    let nobody = founders(machine(1), [address(2), address(3)], &[]);
    assert_eq!(nobody, Err(FounderMissing(address(2))));
    let one = founders(machine(1), [address(2), address(3)], &[connected(2, 2)]);
    assert_eq!(one, Err(FounderMissing(address(3))));
}

#[test]
fn a_peer_counts_for_the_address_it_is_reached_at() {
    let behind_proxy = founders(machine(1), [address(12)], &[connected(2, 12)]);
    assert_eq!(behind_proxy, Ok(vec![machine(1), machine(2)]));
}
