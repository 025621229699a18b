//! What the scenarios of bundles bring about.

use super::bundles::Setup;
use super::planning::{
    bad_links_for, crash, cut_leader, direction, lose_disk, one_of, target, FIRST_MS,
};
use crate::cluster::{ClientFault, Direction, Fault, PlannedFault, Target, Trigger};
use crate::random::SimRng;

fn client_fault(rng: &mut SimRng) -> Fault {
    let duration_ms = rng.between(500, 5_000);
    Fault::Client(match rng.below(4) {
        0 => ClientFault::Restart,
        1 => ClientFault::Freeze { duration_ms },
        _ => ClientFault::Cut {
            duration_ms,
            direction: direction(rng),
        },
    })
}

pub(super) fn crash_unsynced(rng: &mut SimRng, setup: &mut Setup) {
    setup.cluster.min_sync_ms = 5;
    setup.cluster.max_sync_ms = 40;
    setup.cluster.slow_sync_share = 0.1;
    setup.workload.nodes = 1;
    let mut planner = setup.planner(rng);
    planner.faults_after_moments(18, crash);
    // All at once: what was acknowledged must be on the disks.
    let at_ms = planner.moment();
    for place in 0..setup.cluster.machines {
        let target = Target::Place(place);
        let down_ms = rng.between(1, 200);
        setup.plan.add(at_ms, Fault::Crash { target, down_ms });
    }
}

/// Timeouts that lie close together make many candidates at once; voters
/// crash while their votes wait for slow disks, and are back at once.
pub(super) fn contested_elections(rng: &mut SimRng, setup: &mut Setup) {
    setup.cluster.election_min_ms = 300;
    setup.cluster.election_max_ms = 310;
    setup.cluster.min_sync_ms = 10;
    setup.cluster.max_sync_ms = 60;
    setup.cluster.quality.max_delay_ms = 40;
    setup.workload.nodes = 1;
    setup.workload.operators = 2;
    for number in 1..=30 {
        let trigger = Trigger::AfterElection {
            number,
            delay_ms: rng.between(50, 500),
        };
        let fault = Fault::Freeze {
            target: Target::Leader,
            duration_ms: rng.between(310, 450),
        };
        setup.plan.faults.push(PlannedFault { trigger, fault });
    }
    for number in 1..=80 {
        let trigger = Trigger::AfterCandidacy {
            number,
            delay_ms: rng.between(2, 60),
        };
        let fault = Fault::Crash {
            target: Target::Any,
            down_ms: rng.between(1, 3),
        };
        setup.plan.faults.push(PlannedFault { trigger, fault });
    }
}

/// Leaders that are cut off right after they won leave entries behind that
/// no majority has, of which several terms then compete.
pub(super) fn leader_churn(rng: &mut SimRng, setup: &mut Setup) {
    setup.cluster.machines = one_of(rng, &[3, 5]);
    setup.cluster.max_append_bytes = 1;
    setup.cluster.election_min_ms = 250;
    setup.cluster.election_max_ms = 450;
    setup.cluster.quality.max_delay_ms = 15;
    setup.workload.nodes = 1;
    setup.workload.style.min_pause_ms = 1;
    setup.workload.style.max_pause_ms = 60;
    setup.plan.duration_ms = 30_000;
    for number in 1..=60 {
        let trigger = Trigger::AfterElection {
            number,
            delay_ms: rng.between(0, 80),
        };
        let target = Target::Leader;
        let duration_ms = rng.between(250, 1_200);
        let cut = |direction| Fault::Cut {
            target,
            direction,
            clients: false,
            duration_ms,
        };
        let fault = match rng.below(5) {
            0 => Fault::Crash {
                target,
                down_ms: duration_ms,
            },
            1 => cut(direction(rng)),
            _ => cut(Direction::Outbound),
        };
        setup.plan.faults.push(PlannedFault { trigger, fault });
    }
}

pub(super) fn lost_disk_after_ack(rng: &mut SimRng, setup: &mut Setup) {
    setup.workload.style.min_pause_ms = 1;
    setup.workload.style.max_pause_ms = 60;
    setup.workload.nodes = 1;
    let mut planner = setup.planner(rng);
    planner.faults_after_moments(6, lose_disk);
    planner.faults_after_moments(6, |rng| Fault::Split {
        duration_ms: rng.between(100, 1_500),
        smaller: rng.between(1, 2) as usize,
    });
}

pub(super) fn second_loss_after_repair(rng: &mut SimRng, setup: &mut Setup) {
    setup.workload.nodes = 1;
    let fault = |rng: &mut SimRng| Fault::LoseDisk {
        target: target(rng),
        down_ms: rng.between(1, 400),
    };
    let first = fault(rng);
    let first_ms = rng.between(FIRST_MS, FIRST_MS + 1_000);
    setup.plan.add(first_ms, first);
    // Sometimes a second one is lost while the first is under repair.
    if rng.chance(0.5) {
        let second = fault(rng);
        let second_ms = first_ms + rng.between(1, 800);
        setup.plan.add(second_ms, second);
    }
    for number in 1..=5 {
        let trigger = Trigger::AfterRepair {
            number,
            delay_ms: rng.between(0, 30),
        };
        let fault = fault(rng);
        setup.plan.faults.push(PlannedFault { trigger, fault });
    }
}

pub(super) fn silent_cut_leader(rng: &mut SimRng, setup: &mut Setup) {
    setup.workload.style.read_share = 0.6;
    setup.workload.style.min_pause_ms = 5;
    setup.workload.style.max_pause_ms = 80;
    let mut planner = setup.planner(rng);
    planner.faults_after_moments(4, cut_leader);
    planner.faults_after_moments(2, |rng| Fault::Cut {
        target: Target::Follower,
        direction: direction(rng),
        clients: false,
        duration_ms: rng.between(1_000, 6_000),
    });
}

pub(super) fn racing_operators(rng: &mut SimRng, setup: &mut Setup) {
    setup.workload.operators = 6;
    setup.workload.style.min_pause_ms = 0;
    setup.workload.style.max_pause_ms = 15;
    setup.workload.style.read_share = 0.1;
    setup.workload.nodes = 1;
    setup.plan.duration_ms = 6_000;
    setup.cluster.quality.max_delay_ms = 20;
    let mut planner = setup.planner(rng);
    planner.faults_after_moments(2, bad_links_for(300, 1_500));
}

pub(super) fn resent_proposal(rng: &mut SimRng, setup: &mut Setup) {
    setup.workload.style.impatient = true;
    setup.workload.style.resend_share = 0.4;
    setup.workload.nodes = 1;
    setup.plan.duration_ms = 10_000;
    let mut planner = setup.planner(rng);
    planner.faults_after_moments(3, bad_links_for(300, 1_500));
    planner.faults_after_moments(3, crash);
}

pub(super) fn restart_after_hundreds(rng: &mut SimRng, setup: &mut Setup) {
    setup.cluster.learners = 1;
    setup.workload.operators = 2;
    setup.workload.style.min_pause_ms = 0;
    setup.workload.style.max_pause_ms = 5;
    setup.workload.style.read_share = 0.02;
    setup.workload.style.resend_share = 0.02;
    let longest_ms = setup.plan.duration_ms - FIRST_MS;
    for target in [Target::Follower, Target::Any] {
        let down_ms = rng.between(longest_ms / 2, longest_ms - 1_000);
        setup.plan.add(FIRST_MS, Fault::Crash { target, down_ms });
    }
    let duration_ms = rng.between(longest_ms / 2, longest_ms - 1_000);
    let direction = Direction::Both;
    let cut = ClientFault::Cut {
        duration_ms,
        direction,
    };
    setup.plan.add(FIRST_MS, Fault::Client(cut));
    let mut planner = setup.planner(rng);
    planner.faults_after_moments(2, |_| Fault::Client(ClientFault::Restart));
}

pub(super) fn frozen_leader(rng: &mut SimRng, setup: &mut Setup) {
    setup.workload.style.read_share = 0.5;
    setup.workload.style.max_pause_ms = 100;
    let mut planner = setup.planner(rng);
    planner.faults_after_moments(6, |rng| Fault::Freeze {
        target: one_of(rng, &[Target::Leader, Target::Leader, Target::Any]),
        duration_ms: rng.between(200, 4_000),
    });
}

pub(super) fn cut_off_nodes(rng: &mut SimRng, setup: &mut Setup) {
    setup.cluster.learners = 1;
    setup.workload.nodes = 6;
    let mut planner = setup.planner(rng);
    planner.faults_after_moments(10, client_fault);
    planner.faults_after_moments(3, bad_links_for(500, 3_000));
    planner.faults_after_moments(3, |rng| Fault::Cut {
        target: Target::Any,
        direction: direction(rng),
        clients: false,
        duration_ms: rng.between(1_000, 5_000),
    });
}

pub(super) fn planned_restarts(rng: &mut SimRng, setup: &mut Setup) {
    let mut at_ms = FIRST_MS;
    while at_ms < setup.plan.duration_ms - 1_000 {
        let target = target(rng);
        setup.plan.add(at_ms, Fault::PlannedRestart { target });
        at_ms += rng.between(300, 1_500);
    }
}

pub(super) fn everything_at_once(rng: &mut SimRng, setup: &mut Setup) {
    setup.cluster.max_sync_ms = 25;
    setup.cluster.slow_sync_share = 0.05;
    setup.workload.nodes = 4;
    setup.workload.operators = 4;
    setup.workload.style.impatient = rng.chance(0.3);
    let mut planner = setup.planner(rng);
    planner.faults_after_moments(4, crash);
    planner.faults_after_moments(4, lose_disk);
    planner.faults_after_moments(4, client_fault);
    planner.faults_after_moments(3, |rng| Fault::Cut {
        target: target(rng),
        direction: direction(rng),
        clients: rng.chance(0.3),
        duration_ms: rng.between(300, 4_000),
    });
    planner.faults_after_moments(3, |rng| Fault::Freeze {
        target: target(rng),
        duration_ms: rng.between(200, 3_000),
    });
    for at_ms in planner.moments(2) {
        let duration_ms = planner.rng.between(300, 2_000);
        let smaller = planner.rng.between(1, 2) as usize;
        let split = Fault::Split {
            smaller,
            duration_ms,
        };
        planner.plan.add(at_ms, Fault::BadLinks { duration_ms });
        planner.plan.add(at_ms, split);
    }
}
