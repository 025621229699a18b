//! Jobs under faults: one scenario for each line of what fails and for each
//! promise about items.

use pinerill_node::batch::LEASE_MS;

use super::group_scenario::{family, ClientSettings, GroupScenario};
use super::job_faults as faults;
use crate::cluster::{ClusterSettings, Plan};
use crate::job::{CallerStyle, EngineStyle, JobGroup, JobSettings, JobWorkload};
use crate::scenario::Scenario;

/// How long callers begin operations, unless a scenario says otherwise,
/// virtual milliseconds.
const DURATION_MS: u64 = 30_000;

/// Longest time until everything rests after the last fault, virtual
/// milliseconds: a lease that nobody holds any more runs out first.
const REST_LIMIT_MS: u64 = LEASE_MS + 10_000;

/// What a scenario of jobs starts from.
pub(super) type Setup = super::group_scenario::Setup<JobSettings>;

impl ClientSettings for JobSettings {
    type Service = JobGroup;
    type Workload = JobWorkload;

    fn setup() -> Setup {
        Setup {
            cluster: ClusterSettings::default(),
            workload: JobSettings {
                callers: 3,
                style: CallerStyle::default(),
                nodes: 3,
                engines: EngineStyle::default(),
                engine_deaths_ms: Vec::new(),
                wall_skew_ms: 200,
            },
            plan: Plan {
                duration_ms: DURATION_MS,
                faults: Vec::new(),
                rest_limit_ms: REST_LIMIT_MS,
            },
        }
    }

    fn into_workload(self) -> JobWorkload {
        JobWorkload::new(self)
    }
}

/// All scenarios of this family.
pub fn all() -> Vec<Box<dyn Scenario>> {
    family([
        GroupScenario {
            name: "job_workers_die",
            summary: "workers die and nodes restart with items in flight",
            prepare: faults::workers_die,
        },
        GroupScenario {
            name: "job_resent",
            summary: "impatient callers send jobs again over bad links, at once and much later",
            prepare: faults::resent,
        },
        GroupScenario {
            name: "job_cancel",
            summary: "jobs are cancelled while leaders crash and nodes are cut off",
            prepare: faults::cancel,
        },
        GroupScenario {
            name: "job_at_most_once",
            summary: "items not to be repeated, with lost answers and lost workers",
            prepare: faults::at_most_once,
        },
        GroupScenario {
            name: "job_frozen_nodes",
            summary: "nodes freeze or are cut off past their leases, and go on later",
            prepare: faults::frozen_nodes,
        },
        GroupScenario {
            name: "job_control_crash",
            summary: "control machines crash, lose what was not synced, and lose disks",
            prepare: faults::control_crash,
        },
        GroupScenario {
            name: "job_without_leader",
            summary: "no leader for longer than a lease, and leaders whose clocks differ",
            prepare: faults::without_leader,
        },
        GroupScenario {
            name: "job_silent_cut",
            summary: "leaders are cut off in silence while callers read",
            prepare: faults::silent_cut,
        },
        GroupScenario {
            name: "job_everything",
            summary: "all of it at any moment, together and twice",
            prepare: faults::everything,
        },
    ])
}
