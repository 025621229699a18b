//! Puts faults into a run's plan.

use crate::cluster::{ClientFault, Direction, Fault, Plan, Target};
use crate::random::SimRng;

/// When the first fault may happen: a leader is there, virtual milliseconds.
pub(super) const FIRST_MS: u64 = 1_500;
/// No fault begins so shortly before the end, milliseconds.
const LAST_MARGIN_MS: u64 = 500;

const DIRECTIONS: [Direction; 3] = [Direction::Both, Direction::Inbound, Direction::Outbound];
const TARGETS: [Target; 3] = [Target::Leader, Target::Follower, Target::Any];

/// Draws faults into a plan.
pub(super) struct Planner<'a> {
    pub(super) rng: &'a mut SimRng,
    pub(super) plan: &'a mut Plan,
}

impl Planner<'_> {
    /// A moment at which a fault may happen, virtual milliseconds.
    pub(super) fn moment(&mut self) -> u64 {
        let last_ms = self.plan.duration_ms - LAST_MARGIN_MS;
        self.rng.between(FIRST_MS, last_ms)
    }

    /// Draws `count` faults, each at a moment of its own.
    pub(super) fn faults(&mut self, count: u64, draw: impl Fn(&mut SimRng) -> Fault) {
        for _ in 0..count {
            let at_ms = self.moment();
            let fault = draw(self.rng);
            self.plan.add(at_ms, fault);
        }
    }

    /// Moments at which `count` faults may happen, virtual milliseconds.
    pub(super) fn moments(&mut self, count: u64) -> Vec<u64> {
        (0..count).map(|_| self.moment()).collect()
    }

    /// Draws `count` moments and then as many faults. Every draw decides the
    /// run of a seed, so the order of [`Planner::faults`] gives other runs.
    pub(super) fn faults_after_moments(&mut self, count: u64, draw: impl Fn(&mut SimRng) -> Fault) {
        for at_ms in self.moments(count) {
            let fault = draw(self.rng);
            self.plan.add(at_ms, fault);
        }
    }
}

/// One of the elements, of which there is at least one.
pub(super) fn one_of<T: Copy>(rng: &mut SimRng, from: &[T]) -> T {
    from[rng.below(from.len())]
}

pub(super) fn direction(rng: &mut SimRng) -> Direction {
    one_of(rng, &DIRECTIONS)
}

pub(super) fn target(rng: &mut SimRng) -> Target {
    one_of(rng, &TARGETS)
}

/// A crash of some machine.
pub(super) fn crash(rng: &mut SimRng) -> Fault {
    Fault::Crash {
        target: target(rng),
        down_ms: rng.between(1, 900),
    }
}

/// A leader that is cut off in silence, seldom from its clients too.
pub(super) fn cut_leader(rng: &mut SimRng) -> Fault {
    Fault::Cut {
        target: Target::Leader,
        direction: direction(rng),
        clients: rng.chance(0.2),
        duration_ms: rng.between(1_000, 6_000),
    }
}

/// A machine that loses its disk.
pub(super) fn lose_disk(rng: &mut SimRng) -> Fault {
    Fault::LoseDisk {
        target: target(rng),
        down_ms: rng.between(1, 600),
    }
}

/// Links that lose and delay for at least `shortest_ms` and at most
/// `longest_ms`.
pub(super) fn bad_links_for(shortest_ms: u64, longest_ms: u64) -> impl Fn(&mut SimRng) -> Fault {
    move |rng| Fault::BadLinks {
        duration_ms: rng.between(shortest_ms, longest_ms),
    }
}

/// Links that lose and delay for a while.
pub(super) fn bad_links(rng: &mut SimRng) -> Fault {
    bad_links_for(300, 3_000)(rng)
}

/// A restart, a freeze or a cut of some client, for at most `longest_ms`.
pub(super) fn client_fault(rng: &mut SimRng, longest_ms: u64) -> Fault {
    let duration_ms = rng.between(500, longest_ms);
    Fault::Client(match rng.below(3) {
        0 => ClientFault::Restart,
        1 => ClientFault::Freeze { duration_ms },
        _ => ClientFault::Cut {
            duration_ms,
            direction: direction(rng),
        },
    })
}
