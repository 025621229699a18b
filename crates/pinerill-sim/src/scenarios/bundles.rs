//! Bundles under faults: one scenario for each line of what fails and for
//! each promise about bundles.

use super::bundle_faults as faults;
use crate::bundle::{BundleService, BundleWorkload, OperatorStyle, WorkloadSettings};
use crate::cluster::{Cluster, ClusterSettings, Plan, Simulation};
use crate::defect::Defect;
use crate::random::SimRng;
use crate::scenario::{RunReport, Scenario};
use crate::trace::{Trace, Tracing};

/// How long clients begin operations, unless a scenario says otherwise,
/// virtual milliseconds.
const DURATION_MS: u64 = 15_000;

/// Longest time until everything rests after the last fault, virtual
/// milliseconds.
const REST_LIMIT_MS: u64 = 10_000;

/// What a scenario starts from.
#[derive(Clone, Debug)]
pub(super) struct Setup {
    pub(super) cluster: ClusterSettings,
    pub(super) workload: WorkloadSettings,
    pub(super) plan: Plan,
}

impl Default for Setup {
    fn default() -> Self {
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
}

/// A scenario of this family.
struct BundleScenario {
    name: &'static str,
    summary: &'static str,
    prepare: fn(&mut SimRng, &mut Setup),
}

impl Scenario for BundleScenario {
    fn name(&self) -> &'static str {
        self.name
    }

    fn summary(&self) -> &'static str {
        self.summary
    }

    fn run(&self, seed: u64, defect: Option<Defect>, tracing: Tracing) -> RunReport {
        let mut rng = SimRng::new(seed);
        let mut setup = Setup::default();
        (self.prepare)(&mut rng.fork(), &mut setup);
        let trace = Trace::new(tracing);
        let cluster: Cluster<BundleService> =
            Cluster::new(setup.cluster, defect, rng.fork(), trace);
        let workload = BundleWorkload::new(setup.workload);
        Simulation::run(cluster, workload, &setup.plan)
    }
}

/// All scenarios of this family.
pub fn all() -> Vec<Box<dyn Scenario>> {
    let scenarios = [
        BundleScenario {
            name: "crash_unsynced",
            summary: "control machines crash and lose what was not synced, on slow disks",
            prepare: faults::crash_unsynced,
        },
        BundleScenario {
            name: "contested_elections",
            summary: "voters crash while several candidates ask for their votes",
            prepare: faults::contested_elections,
        },
        BundleScenario {
            name: "leader_churn",
            summary: "leaders crash or are cut off right after they won, appends are small",
            prepare: faults::leader_churn,
        },
        BundleScenario {
            name: "lost_disk_after_ack",
            summary: "disks are lost right after writes were acknowledged, and replaced",
            prepare: faults::lost_disk_after_ack,
        },
        BundleScenario {
            name: "second_loss_after_repair",
            summary: "a second machine is lost right after, or during, the repair of a first",
            prepare: faults::second_loss_after_repair,
        },
        BundleScenario {
            name: "silent_cut_leader",
            summary: "leaders are cut off in silence for long, both ways or one way",
            prepare: faults::silent_cut_leader,
        },
        BundleScenario {
            name: "racing_operators",
            summary: "operators race with equal version numbers over bad links",
            prepare: faults::racing_operators,
        },
        BundleScenario {
            name: "resent_proposal",
            summary: "impatient operators resend proposals, at once and much later",
            prepare: faults::resent_proposal,
        },
        BundleScenario {
            name: "restart_after_hundreds",
            summary: "machines and nodes come back after hundreds of changes",
            prepare: faults::restart_after_hundreds,
        },
        BundleScenario {
            name: "frozen_leader",
            summary: "leaders freeze and go on later as if nothing had happened",
            prepare: faults::frozen_leader,
        },
        BundleScenario {
            name: "cut_off_nodes",
            summary: "nodes are cut off, frozen and restarted while bundles change",
            prepare: faults::cut_off_nodes,
        },
        BundleScenario {
            name: "planned_restarts",
            summary: "control machines hand over and restart one after the other",
            prepare: faults::planned_restarts,
        },
        BundleScenario {
            name: "everything_at_once",
            summary: "all of it at any moment, together and twice",
            prepare: faults::everything_at_once,
        },
    ];
    scenarios
        .into_iter()
        .map(|one| Box::new(one) as Box<dyn Scenario>)
        .collect()
}
