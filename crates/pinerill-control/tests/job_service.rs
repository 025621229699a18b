//! The service of a job group on hosts that fail over.

mod common;
mod host_support;
mod job_support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use host_support::{eventually, Cluster, WAIT};
use job_support::{ask, completed, job, part};
use pinerill_control::codec::encode;
use pinerill_control::host::GroupHost;
use pinerill_control::job::{JobEntry, JobMachine, JobService};
use pinerill_replica::ReplicaId;
use pinerill_storage::{GroupStore, MemoryStore};
use pinerill_types::job::{JobState, JobStatus, LeasedItem};
use pinerill_types::JobId;
use pinerill_wire::message::{
    AttemptRef, AttemptReport, AttemptVerdict, CancelJob, EndAttempts, JobOutputRequest,
    JobStatusRequest, ListJobs, RefusalCode, RenewLeases, Request, Response, SubmitJob,
};

const GROUP: u32 = host_support::GROUP.0;
const VOTERS: [ReplicaId; 3] = [ReplicaId(1), ReplicaId(2), ReplicaId(3)];

/// A lease that no test outlasts.
const LONG_MS: u64 = 600_000;

struct Services {
    cluster: Cluster<JobMachine>,
    services: BTreeMap<ReplicaId, JobService>,
}

fn address(replica: ReplicaId) -> Option<SocketAddr> {
    Some(SocketAddr::from(([127, 0, 0, 1], replica.0 as u16)))
}

fn services() -> Services {
    let mut cluster = Cluster::of(|| JobMachine::new(GROUP));
    for voter in VOTERS {
        cluster.start(Arc::new(MemoryStore::synced(voter)), &VOTERS);
    }
    let members = cluster.members.iter();
    let services = members
        .map(|(id, member)| (*id, JobService::start(member.group.clone(), address)))
        .collect();
    Services { cluster, services }
}

impl Services {
    /// Asks the leader until it answers, as a node would.
    async fn call(&self, request: Request) -> Response {
        let answer = tokio::time::timeout(WAIT, self.call_again_and_again(request));
        answer.await.expect("an answer in time")
    }

    async fn call_again_and_again(&self, request: Request) -> Response {
        loop {
            let leader = self.cluster.leader().await;
            let response = self.services[&leader].call(request.clone()).await;
            match &response {
                Response::Refused(refusal) if is_passing(refusal.code) => {}
                _ => return response,
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    async fn submit(&self, part: &SubmitJob) -> (JobId, JobState) {
        match self.call(Request::SubmitJob(part.clone())).await {
            Response::SubmitJob(response) => (response.job, response.state),
            other => panic!("{other:?}"),
        }
    }

    async fn lease(&self, sequence: u64, limit: u32, lease_ms: u64) -> Vec<LeasedItem> {
        let mut question = ask("node-1", 1, sequence, limit);
        question.group = GROUP;
        question.lease_ms = lease_ms;
        match self.call(Request::LeaseItems(question)).await {
            Response::LeaseItems(response) => response.items,
            other => panic!("{other:?}"),
        }
    }

    async fn complete(&self, items: &[LeasedItem]) -> Vec<AttemptVerdict> {
        let reports = items.iter().map(|item| AttemptReport {
            attempt: attempt_of(item),
            end: completed(&item.input.custom_id),
        });
        let ends = EndAttempts {
            group: GROUP,
            node: "node-1".into(),
            reports: reports.collect(),
        };
        match self.call(Request::EndAttempts(ends)).await {
            Response::EndAttempts(response) => response.verdicts,
            other => panic!("{other:?}"),
        }
    }

    async fn status(&self, job: JobId) -> JobStatus {
        let tenant = "anna".into();
        match self
            .call(Request::JobStatus(JobStatusRequest { tenant, job }))
            .await
        {
            Response::JobStatus(status) => status,
            other => panic!("{other:?}"),
        }
    }
}

fn attempt_of(item: &LeasedItem) -> AttemptRef {
    AttemptRef {
        job: item.job,
        index: item.index,
        attempt: item.attempt,
    }
}

/// Whether asking again may help.
fn is_passing(code: RefusalCode) -> bool {
    use RefusalCode::{NotLeader, OutcomeUnknown, Unavailable};
    matches!(code, NotLeader | Unavailable | OutcomeUnknown)
}

fn refusal_code(response: Response) -> RefusalCode {
    match response {
        Response::Refused(refusal) => refusal.code,
        other => panic!("{other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn job_survives_its_leader_between_lease_and_end() {
    let mut services = services();
    let whole = job("anna", "k", 8);
    let (id, _) = services.submit(&part(&whole, 0, 5)).await;
    assert_eq!(services.submit(&whole).await, (id, JobState::InProgress));
    let items = services.lease(1, 5, LONG_MS).await;
    let inputs: Vec<_> = items.iter().map(|item| item.input.clone()).collect();
    assert_eq!(inputs, whole.items[..5]);
    let old = services.cluster.leader().await;
    services.cluster.halt(old).await;
    services.services.remove(&old);
    assert_eq!(services.submit(&whole).await, (id, JobState::InProgress));
    assert_eq!(
        services.lease(1, 5, LONG_MS).await,
        items,
        "the same question"
    );
    let counted = vec![AttemptVerdict::Counted; 5];
    assert_eq!(services.complete(&items).await, counted);
    let rest = services.lease(2, 5, LONG_MS).await;
    services.complete(&rest).await;
    assert_eq!(services.status(id).await.state, JobState::Completed);
    let output = Request::JobOutput(JobOutputRequest {
        tenant: "anna".into(),
        job: id,
        first_index: 0,
        limit: 100,
    });
    for service in services.services.values() {
        let Response::JobOutput(page) = service.call(output.clone()).await else {
            panic!("a follower reads, too");
        };
        let bodies = page.results.iter().map(|result| result.body.as_str());
        assert!(bodies.eq(whole.items.iter().map(|item| item.custom_id.as_str())));
        assert_eq!(page.next_index, 8);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_name_step_peer_and_leader() {
    let services = services();
    let (id, _) = services.submit(&job("anna", "k", 1)).await;
    let leader = services.cluster.leader().await;
    let follower = services.services.iter().find(|(id, _)| **id != leader);
    let (follower, service) = follower.expect("three members");
    let part = Request::SubmitJob(job("anna", "other", 1));
    let Response::Refused(refusal) = service.call(part).await else {
        panic!("a follower proposes nothing");
    };
    assert_eq!(refusal.code, RefusalCode::NotLeader);
    assert_eq!(refusal.leader, address(leader));
    assert_eq!(refusal.step, "submit job");
    assert_eq!(refusal.peer, format!("group {GROUP} at replica {follower}"));
    let of_other = CancelJob {
        tenant: "bela".into(),
        job: id,
    };
    let refused = services.call(Request::CancelJob(of_other)).await;
    assert_eq!(refusal_code(refused), RefusalCode::NotFound);
    let mut conflict = job("anna", "k", 1);
    conflict.body_digest = Default::default();
    let refused = services.call(Request::SubmitJob(conflict)).await;
    assert_eq!(refusal_code(refused), RefusalCode::Conflict);
    let mut greedy = job("anna", "greedy", 5);
    greedy.open_items_limit = 5;
    let refused = services.call(Request::SubmitJob(greedy)).await;
    assert_eq!(refusal_code(refused), RefusalCode::OverLimit);
    let renewal = RenewLeases {
        group: GROUP,
        node: "node-1".into(),
        lease_ms: 0,
        attempts: Vec::new(),
    };
    let refused = services.call(Request::RenewLeases(renewal)).await;
    assert_eq!(refusal_code(refused), RefusalCode::Invalid);
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_off_leader_says_that_the_outcome_is_unknown_and_reads_nothing() {
    let services = services();
    let (id, _) = services.submit(&job("anna", "k", 1)).await;
    let leader = services.cluster.leader().await;
    let service = &services.services[&leader];
    services.cluster.network.cut(leader);
    let tenant: pinerill_types::TenantName = "anna".into();
    let status = JobStatusRequest {
        tenant: tenant.clone(),
        job: id,
    };
    let list = ListJobs {
        group: GROUP,
        tenant: tenant.clone(),
        limit: 1,
    };
    let cancel = CancelJob { tenant, job: id };
    let (cancelled, status, list) = tokio::join!(
        service.call(Request::CancelJob(cancel)),
        service.call(Request::JobStatus(status)),
        service.call(Request::ListJobs(list)),
    );
    assert_eq!(refusal_code(cancelled), RefusalCode::OutcomeUnknown);
    assert_eq!(refusal_code(status), RefusalCode::Unavailable);
    assert_eq!(refusal_code(list), RefusalCode::Unavailable);
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_lets_leases_lapse_without_being_asked() {
    let services = services();
    leases_lapse(&services).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leases_lapse_although_a_former_leader_had_its_clock_ahead() {
    let services = services();
    services.submit(&job("bela", "k", 1)).await;
    let leader = services.cluster.leader().await;
    let group = &services.cluster.members[&leader].group;
    let entry = JobEntry {
        now_ms: group.with_machine(JobMachine::now_ms) + 3_600_000,
        commands: Vec::new(),
    };
    let proposed = group.propose(encode(&entry)).await;
    proposed.expect("committed");
    leases_lapse(&services).await;
}

async fn leases_lapse(services: &Services) {
    let mut whole = job("anna", "k", 2);
    // It goes before the jobs of others.
    whole.deadline_ms = 1;
    let (id, _) = services.submit(&whole).await;
    assert_eq!(services.lease(1, 2, 100).await.len(), 2);
    let lapsed = || {
        let members = services.cluster.members.values();
        let mut status = members.map(|member| {
            let of = |machine: &JobMachine| machine.status(&"anna".into(), id);
            member.group.with_machine(of)
        });
        status
            .all(|one| one.is_some_and(|one| one.counts.pending == 2))
            .then_some(())
    };
    eventually("the leases have lapsed", lapsed).await;
    let items = services.lease(2, 2, LONG_MS).await;
    assert!(items.iter().all(|item| item.attempt == 2));
    services.complete(&items).await;
    assert_eq!(services.status(id).await.counts.completed, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_that_come_together_share_entries_and_get_their_own_replies() {
    let services = services();
    services.submit(&job("anna", "first", 1)).await;
    let leader = services.cluster.leader().await;
    let host = &services.cluster.members[&leader].host;
    let before = host.counters().proposals;
    const JOBS: u32 = 200;
    let jobs = (1..=JOBS).map(|number| {
        let services = &services;
        async move {
            let whole = job("anna", &number.to_string(), number);
            let (id, _) = services.submit(&whole).await;
            (id, number)
        }
    });
    let accepted = futures::future::join_all(jobs).await;
    let entries = host.counters().proposals - before;
    assert!(entries < u64::from(JOBS) / 2, "{entries} entries");
    for (id, number) in accepted {
        assert_eq!(services.status(id).await.counts.total, number);
    }
}

/// With the clock paused no time passes while the test only yields.
#[tokio::test(start_paused = true)]
async fn service_that_is_gone_holds_nothing_of_the_store() {
    let voter = ReplicaId(1);
    let store: Arc<dyn GroupStore> = Arc::new(MemoryStore::synced(voter));
    let remaining = Arc::downgrade(&store);
    let network = Arc::<host_support::Network>::default();
    let host = GroupHost::start(store, network, host_support::settings());
    let group = host
        .add_group(host_support::GROUP, &[voter], JobMachine::new(GROUP))
        .expect("starts");
    let service = JobService::start(group.clone(), address);
    eventually("it leads", || group.status().leads().then_some(())).await;
    let submitted = service.call(Request::SubmitJob(job("anna", "k", 1))).await;
    assert!(matches!(submitted, Response::SubmitJob(_)));
    host.halt().await;
    drop((host, group, service));
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    assert_eq!(remaining.strong_count(), 0);
}
