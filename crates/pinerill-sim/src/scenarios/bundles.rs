//! Bundles under faults: one scenario for each line of what fails and for
//! each promise about bundles.

use super::bundle_faults as faults;
use super::group_scenario::{family, ClientSettings, GroupScenario};
use crate::bundle::{BundleService, BundleWorkload, OperatorStyle, WorkloadSettings};
use crate::cluster::{ClusterSettings, Plan};
use crate::scenario::Scenario;

/// How long clients begin operations, unless a scenario says otherwise,
/// virtual milliseconds.
const DURATION_MS: u64 = 15_000;

/// Longest time until everything rests after the last fault, virtual
/// milliseconds.
const REST_LIMIT_MS: u64 = 10_000;

/// What a scenario of bundles starts from.
pub(super) type Setup = super::group_scenario::Setup<WorkloadSettings>;

impl ClientSettings for WorkloadSettings {
    type Service = BundleService;
    type Workload = BundleWorkload;

    fn setup() -> Setup {
        Setup {
            cluster: ClusterSettings::default(),
            workload: WorkloadSettings {
                operators: 3,
                style: OperatorStyle::default(),
                nodes: 3,
            },
            plan: Plan {
                duration_ms: DURATION_MS,
                faults: Vec::new(),
                rest_limit_ms: REST_LIMIT_MS,
            },
        }
    }

    fn into_workload(self) -> BundleWorkload {
        BundleWorkload::new(self)
    }
}

/// All scenarios of this family.
pub fn all() -> Vec<Box<dyn Scenario>> {
    family([
        GroupScenario {
            name: "crash_unsynced",
            summary: "control machines crash and lose what was not synced, on slow disks",
            prepare: faults::crash_unsynced,
        },
        GroupScenario {
            name: "contested_elections",
            summary: "voters crash while several candidates ask for their votes",
            prepare: faults::contested_elections,
        },
        GroupScenario {
            name: "leader_churn",
            summary: "leaders crash or are cut off right after they won, appends are small",
            prepare: faults::leader_churn,
        },
        GroupScenario {
            name: "lost_disk_after_ack",
            summary: "disks are lost right after writes were acknowledged, and replaced",
            prepare: faults::lost_disk_after_ack,
        },
        GroupScenario {
            name: "second_loss_after_repair",
            summary: "a second machine is lost right after, or during, the repair of a first",
            prepare: faults::second_loss_after_repair,
        },
        GroupScenario {
            name: "silent_cut_leader",
            summary: "leaders are cut off in silence for long, both ways or one way",
            prepare: faults::silent_cut_leader,
        },
        GroupScenario {
            name: "racing_operators",
            summary: "operators race with equal version numbers over bad links",
            prepare: faults::racing_operators,
        },
        GroupScenario {
            name: "resent_proposal",
            summary: "impatient operators resend proposals, at once and much later",
            prepare: faults::resent_proposal,
        },
        GroupScenario {
            name: "restart_after_hundreds",
            summary: "machines and nodes come back after hundreds of changes",
            prepare: faults::restart_after_hundreds,
        },
        GroupScenario {
            name: "frozen_leader",
            summary: "leaders freeze and go on later as if nothing had happened",
            prepare: faults::frozen_leader,
        },
        GroupScenario {
            name: "cut_off_nodes",
            summary: "nodes are cut off, frozen and restarted while bundles change",
            prepare: faults::cut_off_nodes,
        },
        GroupScenario {
            name: "planned_restarts",
            summary: "control machines hand over and restart one after the other",
            prepare: faults::planned_restarts,
        },
        GroupScenario {
            name: "everything_at_once",
            summary: "all of it at any moment, together and twice",
            prepare: faults::everything_at_once,
        },
    ])
}
