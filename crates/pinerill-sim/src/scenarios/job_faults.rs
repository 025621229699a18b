//! What the scenarios of jobs bring about.

use pinerill_node::batch::LEASE_MS;

use super::jobs::Setup;
use super::planning::{
    bad_links, client_fault, crash, cut_leader, direction, lose_disk, target, FIRST_MS,
};
use crate::cluster::{ClientFault, Direction, Fault, Target};
use crate::random::SimRng;

fn plan_engine_deaths(rng: &mut SimRng, setup: &mut Setup, count: u64) {
    let deaths = setup.planner(rng).moments(count);
    setup.workload.engine_deaths_ms = deaths;
}

fn restart_node(_rng: &mut SimRng) -> Fault {
    Fault::Client(ClientFault::Restart)
}

fn split(rng: &mut SimRng) -> Fault {
    Fault::Split {
        smaller: rng.between(1, 2) as usize,
        duration_ms: rng.between(300, 3_000),
    }
}

fn freeze(rng: &mut SimRng) -> Fault {
    Fault::Freeze {
        target: target(rng),
        duration_ms: rng.between(200, 4_000),
    }
}

fn cut(rng: &mut SimRng) -> Fault {
    Fault::Cut {
        target: target(rng),
        direction: direction(rng),
        clients: rng.chance(0.2),
        duration_ms: rng.between(500, 5_000),
    }
}

pub(super) fn workers_die(rng: &mut SimRng, setup: &mut Setup) {
    setup.workload.engines.lost_share = 0.1;
    setup.workload.engines.refused_share = 0.1;
    plan_engine_deaths(rng, setup, 12);
    setup.planner(rng).faults(8, restart_node);
}

pub(super) fn resent(rng: &mut SimRng, setup: &mut Setup) {
    setup.workload.style.impatient = true;
    setup.workload.style.resend_share = 0.5;
    setup.workload.style.min_pause_ms = 5;
    setup.workload.style.max_pause_ms = 300;
    let mut planner = setup.planner(rng);
    planner.faults(6, bad_links);
    planner.faults(4, crash);
}

pub(super) fn cancel(rng: &mut SimRng, setup: &mut Setup) {
    setup.workload.style.cancel_share = 0.5;
    setup.workload.style.max_pause_ms = 300;
    let mut planner = setup.planner(rng);
    planner.faults(8, |rng| Fault::Crash {
        target: Target::Leader,
        down_ms: rng.between(1, 900),
    });
    planner.faults(4, bad_links);
    planner.faults(4, |rng| client_fault(rng, LEASE_MS / 2));
}

pub(super) fn at_most_once(rng: &mut SimRng, setup: &mut Setup) {
    setup.workload.style.once_share = 0.9;
    setup.workload.engines.lost_share = 0.05;
    plan_engine_deaths(rng, setup, 4);
    let mut planner = setup.planner(rng);
    planner.faults(8, bad_links);
    planner.faults(6, crash);
    planner.faults(6, |rng| client_fault(rng, 8_000));
}

pub(super) fn frozen_nodes(rng: &mut SimRng, setup: &mut Setup) {
    setup.plan.duration_ms = 2 * LEASE_MS;
    setup.workload.style.once_share = 0.5;
    setup.workload.style.max_pause_ms = 1_500;
    let mut planner = setup.planner(rng);
    planner.faults(6, |rng| {
        let duration_ms = rng.between(LEASE_MS / 2, LEASE_MS + 8_000);
        let direction = direction(rng);
        Fault::Client(match rng.below(2) {
            0 => ClientFault::Freeze { duration_ms },
            _ => ClientFault::Cut {
                duration_ms,
                direction,
            },
        })
    });
    planner.faults(2, bad_links);
}

pub(super) fn control_crash(rng: &mut SimRng, setup: &mut Setup) {
    setup.cluster.min_sync_ms = 5;
    setup.cluster.max_sync_ms = 40;
    setup.cluster.slow_sync_share = 0.1;
    // All at once: what was acknowledged must be on the disks.
    let at_ms = setup.planner(rng).moment();
    for place in 0..setup.cluster.machines {
        let target = Target::Place(place);
        let down_ms = rng.between(1, 200);
        let fault = Fault::Crash { target, down_ms };
        setup.plan.add(at_ms, fault);
    }
    let mut planner = setup.planner(rng);
    planner.faults(14, crash);
    planner.faults(4, lose_disk);
    planner.faults(4, split);
}

pub(super) fn without_leader(rng: &mut SimRng, setup: &mut Setup) {
    setup.workload.wall_skew_ms = 5_000;
    setup.workload.style.once_share = 0.6;
    setup.plan.duration_ms = 2 * LEASE_MS;
    setup.workload.style.max_pause_ms = 1_500;
    // A majority is down for longer than a lease.
    let at_ms = rng.between(FIRST_MS, LEASE_MS / 2);
    for place in 0..setup.cluster.machines / 2 + 1 {
        let target = Target::Place(place);
        let down_ms = LEASE_MS + rng.between(1_000, 3_000);
        let fault = Fault::Crash { target, down_ms };
        setup.plan.add(at_ms, fault);
    }
    setup.planner(rng).faults(6, |rng| Fault::PlannedRestart {
        target: target(rng),
    });
}

/// Some leaders freeze besides, and go on while they are cut off: the group
/// has another leader by then, and nobody has told them.
pub(super) fn silent_cut(rng: &mut SimRng, setup: &mut Setup) {
    setup.workload.callers = 5;
    setup.workload.style.new_share = 0.06;
    setup.workload.style.resend_share = 0.05;
    setup.workload.style.cancel_share = 0.1;
    setup.workload.style.recent_share = 0.95;
    setup.workload.style.min_pause_ms = 1;
    setup.workload.style.max_pause_ms = 60;
    let mut planner = setup.planner(rng);
    planner.faults(5, cut_leader);
    for _ in 0..5 {
        let at_ms = planner.moment();
        let duration_ms = planner.rng.between(1_200, 3_000);
        let target = Target::Leader;
        let cut = Fault::Cut {
            target,
            direction: Direction::Both,
            clients: false,
            duration_ms: duration_ms + 1_000,
        };
        let freeze = Fault::Freeze {
            target,
            duration_ms,
        };
        planner.plan.add(at_ms, cut);
        planner.plan.add(at_ms, freeze);
    }
}

pub(super) fn everything(rng: &mut SimRng, setup: &mut Setup) {
    setup.cluster.max_sync_ms = 25;
    setup.cluster.slow_sync_share = 0.05;
    setup.workload.style.impatient = rng.chance(0.3);
    setup.workload.style.once_share = 0.5;
    setup.workload.style.cancel_share = 0.15;
    setup.workload.wall_skew_ms = 2_000;
    plan_engine_deaths(rng, setup, 4);
    let mut planner = setup.planner(rng);
    planner.faults(5, crash);
    planner.faults(3, lose_disk);
    planner.faults(3, cut);
    planner.faults(3, freeze);
    planner.faults(3, bad_links);
    planner.faults(3, split);
    planner.faults(6, |rng| client_fault(rng, LEASE_MS + 5_000));
}
