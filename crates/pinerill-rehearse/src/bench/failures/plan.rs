//! What fails when: pure, and the same for the same seed.

use std::time::Duration;

use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;

/// Longest time that a killed worker stays away, and its share of the phase.
const KILLED_AWAY: Duration = Duration::from_secs(2);
const KILLED_AWAY_SHARE: f64 = 0.1;
/// Longest time until a leaving worker is replaced, and its share.
const LEAVING_AWAY: Duration = Duration::from_secs(6);
const LEAVING_AWAY_SHARE: f64 = 0.5;
/// Longest time that a zone is cut off, and its share: longer than the
/// configuration lease of 5 s in phases of 17 s and more.
const ZONE_CUT: Duration = Duration::from_millis(6_500);
const ZONE_CUT_SHARE: f64 = 0.3;

/// What fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureKind {
    /// A worker is killed and started again.
    WorkerKilled,
    /// The platform list says that a worker leaves; it is replaced later.
    WorkerLeaving,
    /// A node is stopped in a planned way and started again.
    NodeStopped,
    /// A zone is cut off from the control machines of other zones.
    ZoneCut,
}

impl FailureKind {
    /// Its name on the page.
    pub fn name(self) -> &'static str {
        match self {
            Self::WorkerKilled => "worker killed",
            Self::WorkerLeaving => "worker leaving",
            Self::NodeStopped => "node stopped",
            Self::ZoneCut => "zone cut off",
        }
    }

    /// Bounds of its moment, as shares of the phase.
    fn moment(self) -> (f64, f64) {
        match self {
            Self::WorkerKilled => (0.05, 0.1),
            Self::WorkerLeaving => (0.2, 0.3),
            Self::NodeStopped => (0.4, 0.45),
            Self::ZoneCut => (0.6, 0.65),
        }
    }

    /// How long it lasts in a phase of `length`; a stopped node is started
    /// again as soon as it has ended.
    fn lasts(self, length: Duration) -> Duration {
        match self {
            Self::WorkerKilled => KILLED_AWAY.min(length.mul_f64(KILLED_AWAY_SHARE)),
            Self::WorkerLeaving => LEAVING_AWAY.min(length.mul_f64(LEAVING_AWAY_SHARE)),
            Self::NodeStopped => Duration::ZERO,
            Self::ZoneCut => ZONE_CUT.min(length.mul_f64(ZONE_CUT_SHARE)),
        }
    }
}

/// One failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFailure {
    /// What fails.
    pub kind: FailureKind,
    /// Index of the worker, node or zone.
    pub subject: usize,
    /// When, since the start of the phase.
    pub at: Duration,
    /// Time until it is healed or replaced.
    pub lasts: Duration,
}

/// All failures of a phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailurePlan {
    /// A worker is killed.
    pub killed: PlannedFailure,
    /// Another worker leaves.
    pub leaving: PlannedFailure,
    /// A node is stopped.
    pub stopped: PlannedFailure,
    /// The zone of another node is cut off.
    pub cut: PlannedFailure,
}

/// How many there are to choose from.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Workers; at least two.
    pub workers: usize,
    /// Zones, with one node each; at least two.
    pub zones: usize,
}

/// The failures of a phase of `length`. Two different workers and nodes of two
/// different zones are hit.
pub fn plan_failures(size: FleetSize, length: Duration, seed: u64) -> FailurePlan {
    let mut random = Pcg64::seed_from_u64(seed);
    let workers = sample(&mut random, size.workers, 2);
    let zones = sample(&mut random, size.zones, 2);
    let mut planned = |kind: FailureKind, subject: usize| {
        let (earliest, latest) = kind.moment();
        PlannedFailure {
            kind,
            subject,
            at: length.mul_f64(random.gen_range(earliest..latest)),
            lasts: kind.lasts(length),
        }
    };
    FailurePlan {
        killed: planned(FailureKind::WorkerKilled, workers.index(0)),
        leaving: planned(FailureKind::WorkerLeaving, workers.index(1)),
        stopped: planned(FailureKind::NodeStopped, zones.index(0)),
        cut: planned(FailureKind::ZoneCut, zones.index(1)),
    }
}
