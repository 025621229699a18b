//! A scenario over one replicated group: clients, faults by plan, and a run.

use super::planning::Planner;
use crate::cluster::{Cluster, ClusterSettings, GroupService, Plan, Simulation, Workload};
use crate::defect::Defect;
use crate::random::SimRng;
use crate::scenario::{RunReport, Scenario};
use crate::trace::{Trace, Tracing};

/// Settings of a family's clients, and what they are clients of.
pub(super) trait ClientSettings: Sized + 'static {
    /// What runs on the group.
    type Service: GroupService;
    /// What the clients do with it.
    type Workload: Workload<Self::Service>;

    /// What every scenario of the family starts from.
    fn setup() -> Setup<Self>;

    /// Clients that have not begun.
    fn into_workload(self) -> Self::Workload;
}

/// What a scenario starts from.
#[derive(Clone, Debug)]
pub(super) struct Setup<C> {
    pub(super) cluster: ClusterSettings,
    pub(super) workload: C,
    pub(super) plan: Plan,
}

impl<C> Setup<C> {
    /// Draws faults into the plan.
    pub(super) fn planner<'a>(&'a mut self, rng: &'a mut SimRng) -> Planner<'a> {
        let plan = &mut self.plan;
        Planner { rng, plan }
    }
}

/// One scenario of the family whose clients have the settings `C`.
pub(super) struct GroupScenario<C> {
    pub(super) name: &'static str,
    pub(super) summary: &'static str,
    /// Changes the family's setup and plans faults.
    pub(super) prepare: fn(&mut SimRng, &mut Setup<C>),
}

impl<C: ClientSettings> Scenario for GroupScenario<C> {
    fn name(&self) -> &'static str {
        self.name
    }

    fn summary(&self) -> &'static str {
        self.summary
    }

    fn run(&self, seed: u64, defect: Option<Defect>, tracing: Tracing) -> RunReport {
        let mut rng = SimRng::new(seed);
        let mut setup = C::setup();
        (self.prepare)(&mut rng.fork(), &mut setup);
        let trace = Trace::new(tracing);
        let cluster: Cluster<C::Service> = Cluster::new(setup.cluster, defect, rng.fork(), trace);
        let workload = setup.workload.into_workload();
        Simulation::run(cluster, workload, &setup.plan)
    }
}

/// The scenarios of a family as the registry holds them.
pub(super) fn family<C: ClientSettings>(
    scenarios: impl IntoIterator<Item = GroupScenario<C>>,
) -> Vec<Box<dyn Scenario>> {
    let mut family: Vec<Box<dyn Scenario>> = Vec::new();
    for scenario in scenarios {
        family.push(Box::new(scenario));
    }
    family
}
