//! All scenarios.

mod bundles;
mod control;
mod disks;
mod jobs;
mod nodes;
mod races;
mod restarts;
mod roles;
mod stale;
mod strangers;
mod together;
mod versions;
mod workers;
mod zones;

use super::scenario::Scenario;

/// Every scenario, in the order in which they are played.
pub fn all() -> Vec<Box<dyn Scenario>> {
    vec![
        Box::new(workers::WorkerKilled),
        Box::new(workers::WorkersLeaving),
        Box::new(workers::LostAnswers),
        Box::new(nodes::NodeKilled),
        Box::new(nodes::NodeStopped),
        Box::new(nodes::CallersGone),
        Box::new(control::ControlStopped),
        Box::new(control::LeaderKilled),
        Box::new(control::LeaderFrozen),
        Box::new(disks::DisksLost),
        Box::new(bundles::RestartAfterChanges),
        Box::new(bundles::RacingOperators),
        Box::new(zones::ZoneCut),
        Box::new(jobs::JobResent),
        Box::new(jobs::JobCancelled),
        Box::new(strangers::OtherClusterKey),
        Box::new(versions::VersionReplaced),
        Box::new(versions::ModelLost),
        Box::new(roles::RolesChanged),
        Box::new(roles::OldOrders),
        Box::new(together::WorkerKilledLeaderFrozen),
        Box::new(together::LeaderKilledTwice),
        Box::new(disks::LossAfterReplace),
        Box::new(races::RacingAnswersLost),
        Box::new(jobs::JobResentNodeKilled),
        Box::new(stale::LeaderCutLong),
        Box::new(restarts::AllControlsKilled),
    ]
}
