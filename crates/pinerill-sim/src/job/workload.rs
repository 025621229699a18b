//! Callers, nodes and upkeep together, and the last checks.

use pinerill_control::codec::decode;
use pinerill_control::job::{JobCommand, JobEntry, JobReplies};
use pinerill_types::job::{AttemptEnd, ItemState};
use pinerill_types::ServiceName;

use super::caller::{Caller, CallerStyle};
use super::engines::EngineStyle;
use super::ledger::ItemId;
use super::node::WorkerNode;
use super::service::{JobGroup, JobQuery, JobView};
use super::world::World;
use crate::cluster::{
    Applied, CallAnswer, CallKind, CallResult, ClientFault, ClientId, Cluster, Timer, Workload,
};

/// Stands for the upkeep that the group's leader does.
const UPKEEP: ClientId = ClientId(0);
/// First client of the nodes; callers come before.
const FIRST_NODE: u32 = 20;
/// First client of the engines, which no link reaches.
const FIRST_ENGINES: u32 = 100;
/// How often the leader looks whether something is due, milliseconds.
const UPKEEP_MS: u64 = 250;
const UPKEEP_TIMEOUT_MS: u64 = 400;
const SERVICE: &str = "fanar";

const EVERY_ITEM_ENDS: &str = "every item of an accepted job ends";
const RESULT_IS_ANSWER: &str = "a result is the answer that counted";
const ANSWER_IS_OWN: &str = "an answer comes from a run of its own item";

/// How many clients there are, and what they do.
#[derive(Clone, Debug)]
pub struct JobSettings {
    /// Callers.
    pub callers: u32,
    /// How they behave.
    pub style: CallerStyle,
    /// Nodes.
    pub nodes: u32,
    /// How their engines behave.
    pub engines: EngineStyle,
    /// When all engines of a node die, virtual milliseconds.
    pub engine_deaths_ms: Vec<u64>,
    /// How far machines' wall clocks are ahead at most, milliseconds.
    pub wall_skew_ms: u64,
}

/// Clients of a job group.
pub struct JobWorkload {
    settings: JobSettings,
    world: World,
    callers: Vec<Caller>,
    nodes: Vec<WorkerNode>,
    upkeep_leader: usize,
}

impl JobWorkload {
    /// Clients that have not begun.
    pub fn new(settings: JobSettings) -> Self {
        JobWorkload {
            settings,
            world: World::new(Vec::new()),
            callers: Vec::new(),
            nodes: Vec::new(),
            upkeep_leader: 0,
        }
    }

    /// Asks the leader whether something is due; it proposes that itself.
    fn keep_up(&mut self, cluster: &mut Cluster<JobGroup>) {
        cluster.wake(UPKEEP, UPKEEP_MS, Timer::Next);
        let Some(leader) = cluster.leader() else {
            return;
        };
        self.upkeep_leader = leader;
        let stamp_ms = self.world.stamp_ms(cluster.now_ms(), leader);
        let kind = CallKind::ReadAnyway(JobQuery::IsDue(stamp_ms));
        cluster.call(UPKEEP, leader, kind, UPKEEP_TIMEOUT_MS);
    }

    fn upkeep_answered(&mut self, cluster: &mut Cluster<JobGroup>, answer: CallAnswer<JobGroup>) {
        let due = match answer.result {
            CallResult::Read(Ok(view)) | CallResult::Unconfirmed(view) => {
                matches!(view, JobView::IsDue(true))
            }
            _ => false,
        };
        if due {
            let (now_ms, leader) = (cluster.now_ms(), self.upkeep_leader);
            let kind = self.world.propose(now_ms, leader, JobCommand::Maintain);
            cluster.call(UPKEEP, leader, kind, UPKEEP_TIMEOUT_MS);
        }
    }

    fn wake_engines(&mut self, cluster: &mut Cluster<JobGroup>, number: u32, timer: Timer) {
        let Some(node) = self.nodes.get_mut(number as usize) else {
            return;
        };
        if timer == Timer::Serve {
            cluster.observe("engines died");
            node.kill_engines(cluster, &mut self.world);
        } else {
            node.advance_engines(cluster, &mut self.world);
        }
    }

    /// Every item of every job that was acknowledged has one result, and a
    /// completed one has the answer of a run of that item.
    fn check_results(&self, cluster: &mut Cluster<JobGroup>) {
        for caller in &self.callers {
            for (job, whole) in caller.own_jobs() {
                let answers = self.world.truth.answers(job);
                let results: Vec<_> = self.world.facts.results(job).collect();
                if results.len() != whole.items.len() {
                    let detail = format!("{job}: {} of {}", results.len(), whole.items.len());
                    cluster.violate(EVERY_ITEM_ENDS, detail);
                }
                for (item, (state, body)) in results {
                    let counted = answers.get(item.index as usize).cloned().flatten();
                    self.check_result(cluster, item, *state, body, counted);
                }
            }
        }
    }

    fn check_result(
        &self,
        cluster: &mut Cluster<JobGroup>,
        item: ItemId,
        state: ItemState,
        body: &str,
        counted: Option<String>,
    ) {
        let completed = state == ItemState::Completed;
        let fits = match &counted {
            Some(answer) => completed && answer == body,
            None => !completed,
        };
        if !fits {
            let detail = format!("{item:?} is {state:?} `{body}`, counted {counted:?}");
            cluster.violate(RESULT_IS_ANSWER, detail);
        }
        if completed && !self.world.ledger.gave(item, body) {
            cluster.violate(ANSWER_IS_OWN, format!("{item:?} has `{body}`"));
        }
    }

    fn count_applied(&self, cluster: &mut Cluster<JobGroup>, entry: &JobEntry) {
        for command in &entry.commands {
            let JobCommand::End(ends) = command else {
                continue;
            };
            for report in &ends.reports {
                cluster.observe(match report.end {
                    AttemptEnd::Completed(_) => "end reported: completed",
                    AttemptEnd::Failed(_) => "end reported: failed",
                    AttemptEnd::Released => "end reported: released",
                    AttemptEnd::Indeterminate(_) => "end reported: unknown",
                });
            }
        }
    }
}

impl Workload<JobGroup> for JobWorkload {
    fn start(&mut self, cluster: &mut Cluster<JobGroup>) {
        let skew_ms = self.settings.wall_skew_ms;
        let count = cluster.machine_count();
        let offsets = (0..count).map(|_| cluster.rng().between(0, skew_ms));
        self.world = World::new(offsets.collect());
        let service = ServiceName::from(SERVICE);
        for number in 0..self.settings.callers {
            let client = ClientId(1 + number);
            let caller = Caller::new(client, service.clone(), self.settings.style);
            self.callers.push(caller);
            cluster.wake(client, UPKEEP_MS, Timer::Next);
        }
        for number in 0..self.settings.nodes {
            let clients = (
                ClientId(FIRST_NODE + number),
                ClientId(FIRST_ENGINES + number),
            );
            let style = self.settings.engines;
            let node = WorkerNode::new(number, clients, service.clone(), style, cluster);
            cluster.wake(node.client(), UPKEEP_MS, Timer::Next);
            self.nodes.push(node);
        }
        for (number, at_ms) in self.settings.engine_deaths_ms.iter().enumerate() {
            let engines = self.nodes[number % self.nodes.len()].engines_client();
            cluster.wake(engines, *at_ms, Timer::Serve);
        }
        cluster.wake(UPKEEP, UPKEEP_MS, Timer::Next);
    }

    fn woken(&mut self, cluster: &mut Cluster<JobGroup>, client: ClientId, timer: Timer) {
        if client == UPKEEP {
            self.keep_up(cluster);
        } else if client.0 >= FIRST_ENGINES {
            self.wake_engines(cluster, client.0 - FIRST_ENGINES, timer);
        } else if client.0 >= FIRST_NODE {
            let world = &mut self.world;
            let node = self.nodes.get_mut((client.0 - FIRST_NODE) as usize);
            match (node, timer) {
                (Some(node), Timer::Next) => node.tick(cluster, world),
                (Some(node), Timer::Serve) => node.take_endings(cluster, world),
                (None, _) => {}
            }
        } else if let Some(caller) = self.callers.get_mut(client.0 as usize - 1) {
            caller.woken(cluster, &mut self.world);
        }
        self.world.report_broken(cluster);
    }

    fn answered(&mut self, cluster: &mut Cluster<JobGroup>, answer: CallAnswer<JobGroup>) {
        let client = answer.client;
        if client == UPKEEP {
            self.upkeep_answered(cluster, answer);
        } else if client.0 >= FIRST_NODE {
            let node = self.nodes.get_mut((client.0 - FIRST_NODE) as usize);
            if let Some(node) = node {
                node.answered(cluster, &mut self.world, answer);
            }
        } else if let Some(caller) = self.callers.get_mut(client.0 as usize - 1) {
            caller.answered(cluster, &mut self.world, answer);
        }
        self.world.report_broken(cluster);
    }

    fn applied(&mut self, cluster: &mut Cluster<JobGroup>, applied: &Applied) {
        let entry = decode::<JobEntry>(&applied.command);
        let replies = decode::<JobReplies>(&applied.answer);
        if let (Ok(entry), Ok(replies)) = (entry, replies) {
            let index = applied.index;
            cluster.note(|| format!("entry {index}: {entry:?} -> {replies:?}"));
            self.count_applied(cluster, &entry);
            self.world.truth.apply(&entry, &replies);
        }
        self.world.report_broken(cluster);
    }

    fn disturb(&mut self, cluster: &mut Cluster<JobGroup>, fault: ClientFault) {
        let index = cluster.rng().below(self.nodes.len());
        let client = self.nodes[index].client();
        cluster.note(|| format!("node {}: {fault:?}", client.0));
        match fault {
            ClientFault::Restart => self.nodes[index].restart(cluster),
            ClientFault::Freeze { duration_ms } => cluster.freeze_client(client, duration_ms),
            ClientFault::Cut {
                duration_ms,
                direction,
            } => cluster.cut_client(client, direction, duration_ms),
        }
    }

    fn wind_down(&mut self, cluster: &mut Cluster<JobGroup>) {
        for caller in &mut self.callers {
            caller.stop();
        }
        for node in &mut self.nodes {
            node.calm_down();
        }
        cluster.note(|| "callers stop".to_owned());
    }

    fn rests(&mut self, _cluster: &mut Cluster<JobGroup>) -> bool {
        let callers_rest = self.callers.iter().all(Caller::rests);
        callers_rest && self.nodes.iter().all(WorkerNode::rests)
    }

    fn finish(&mut self, cluster: &mut Cluster<JobGroup>) {
        self.check_results(cluster);
    }

    fn operations(&self) -> (u64, u64) {
        let begun = self.callers.iter().map(|one| one.begun).sum();
        let unknown = self.callers.iter().map(|one| one.unknown).sum();
        (begun, unknown)
    }
}
