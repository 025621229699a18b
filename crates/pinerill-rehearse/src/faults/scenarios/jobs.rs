//! Clients who resend jobs, and jobs that are cancelled.

use std::time::Duration;

use async_trait::async_trait;
use futures::future::join_all;

use crate::check::{Cancel, Indeterminate, JobHistory};
use crate::faults::scenario::Scenario;
use crate::faults::stage::Stage;
use crate::fleet::process::Signal;
use crate::ledger::unix_us;
use crate::load::job_client::JobClient;

/// Items of the resent job.
const ITEMS: usize = 160;
/// How often it is submitted at once.
const COPIES: usize = 6;
/// HTTP status of a conflict.
const CONFLICT: u16 = 409;
/// Items of the cancelled job: far more than run before the cancel.
const MANY_ITEMS: usize = 4_000;
/// Longest time until a call is acknowledged.
const CALL_TIME: Duration = Duration::from_secs(30);
/// Bounds of the moment of the cancel after the first item runs.
const EARLIEST: Duration = Duration::from_millis(500);
const LATEST: Duration = Duration::from_millis(2_000);
/// Bounds of the moment at which a node is killed after a job was sent to it.
const SUBMIT_EARLIEST: Duration = Duration::ZERO;
const SUBMIT_LATEST: Duration = Duration::from_millis(25);

/// The same job is submitted many times at once and again later; the same key
/// with another body is a conflict.
pub struct JobResent;

#[async_trait]
impl Scenario for JobResent {
    fn name(&self) -> &'static str {
        "job-resent"
    }

    fn what(&self) -> &'static str {
        "a job submitted 6 times at once, again after its end, and with another body"
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        let items = stage.items("resent", ITEMS);
        let lines = stage.lines(&items);
        let client = stage.jobs();
        let copies =
            (0..COPIES).map(|_| client.submit_until_acknowledged("resent", &lines, CALL_TIME));
        let mut views = Vec::new();
        for view in join_all(copies).await {
            views.push(view?);
        }
        let id = views[0].id.clone();
        for view in &views {
            let detail = format!("{} instead of {id}", view.id);
            stage.expect("one job for one key", view.id == id, "resent", detail);
        }
        let mut job = JobHistory::new("resent", &items);
        job.id = Some(id.clone());
        stage.history.jobs.push(job);
        check_conflict(stage).await;
        stage.finish_jobs().await?;
        let again = client
            .submit_until_acknowledged("resent", &lines, CALL_TIME)
            .await?;
        let detail = format!("{} instead of {id}", again.id);
        stage.expect("one job for one key", again.id == id, "again", detail);
        check_conflict(stage).await;
        stage.operations += COPIES as u64 + 3;
        Ok(())
    }
}

/// A job is sent to one node, which is killed meanwhile, and at once to
/// another; twice with each node.
pub struct JobResentNodeKilled;

#[async_trait]
impl Scenario for JobResentNodeKilled {
    fn name(&self) -> &'static str {
        "job-resent-node-killed"
    }

    fn what(&self) -> &'static str {
        "6 jobs, each sent to a node that is killed meanwhile and resent to two others"
    }

    fn defect(&self) -> Option<&'static str> {
        Some("job-resent-is-new=return")
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        stage.history.indeterminate = Indeterminate::Allowed;
        let nodes = stage.rehearsal.fleet.nodes.len();
        for round in 0..2 * nodes {
            send_while_killed(stage, round % nodes, round).await?;
        }
        Ok(())
    }
}

/// Sends a job to a node, kills the node and sends it to the others.
async fn send_while_killed(stage: &mut Stage, node: usize, round: usize) -> anyhow::Result<()> {
    let name = format!("node-killed-{round}");
    let items = stage.items(&name, ITEMS);
    let lines = stage.lines(&items);
    let clients: Vec<JobClient> = (0..stage.rehearsal.fleet.nodes.len())
        .map(|index| stage.rehearsal.job_client_of(index))
        .collect();
    let first = clients[node].submit(&name, &lines);
    let kill = async {
        stage.pause(SUBMIT_EARLIEST, SUBMIT_LATEST).await;
        let nodes = &mut stage.rehearsal.fleet.nodes;
        nodes[node].process.signal(Signal::Kill)
    };
    let (answer, killed) = tokio::join!(first, kill);
    killed?;
    let acknowledged = answer.is_ok();
    stage.step(format!(
        "job {round}: node-{} killed, it had acknowledged: {acknowledged}",
        node + 1
    ));
    let others = clients
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != node);
    let resent =
        others.map(|(_, client)| client.submit_until_acknowledged(&name, &lines, CALL_TIME));
    let mut views = answer.into_iter().collect::<Vec<_>>();
    for view in join_all(resent).await {
        views.push(view?);
    }
    let id = views[0].id.clone();
    for view in &views {
        let detail = format!("{} instead of {id}", view.id);
        stage.expect("one job for one key", view.id == id, &name, detail);
    }
    let mut job = JobHistory::new(&name, &items);
    job.id = Some(id);
    stage.history.jobs.push(job);
    stage.operations += views.len() as u64;
    let fleet = &mut stage.rehearsal.fleet;
    fleet.restart_node(node).await?;
    fleet.await_nodes().await
}

/// The same key with other items is refused, and these items never run.
async fn check_conflict(stage: &mut Stage) {
    let others = stage.items("other-body", 3);
    let lines = stage.lines(&others);
    let refused = stage
        .jobs()
        .submit_until_acknowledged("resent", &lines, CALL_TIME)
        .await;
    let status = refused.as_ref().err().and_then(|error| error.status());
    let detail = format!("{refused:?}");
    let conflict = status == Some(CONFLICT);
    stage.expect("other body is a conflict", conflict, "resent", detail);
    let ran = stage.ledger().map(|ledger| {
        let runs = others.iter().map(|item| ledger.runs(&item.content).len());
        runs.sum::<usize>()
    });
    let detail = format!("{ran:?} runs of refused items");
    let none = matches!(ran, Ok(0));
    stage.expect("other body is a conflict", none, "items", detail);
}

/// A large job is cancelled while its items run.
pub struct JobCancelled;

#[async_trait]
impl Scenario for JobCancelled {
    fn name(&self) -> &'static str {
        "job-cancelled"
    }

    fn what(&self) -> &'static str {
        "a job of 4,000 items cancelled while some run, another job goes on"
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        let id = stage.submit("cancelled", MANY_ITEMS).await?;
        stage.submit("goes-on", ITEMS).await?;
        stage.await_batch_run(|_| true).await?;
        stage.pause(EARLIEST, LATEST).await;
        stage.read_jobs().await?;
        let client = stage.jobs();
        let view = client.cancel_until_acknowledged(&id, CALL_TIME).await?;
        stage.step("the cancel is acknowledged");
        stage.history.jobs[0].cancel = Some(Cancel {
            answered_us: unix_us(),
            indeterminate: view.counts.indeterminate,
        });
        stage.operations += 1;
        stage.finish_jobs().await?;
        let ended = stage.history.jobs[0].last_reading();
        let counts = ended.iter().filter(|line| line.digest.is_some()).count();
        let some_left = counts < MANY_ITEMS;
        let detail = format!("{counts} of {MANY_ITEMS} completed before the cancel");
        stage.expect("cancel came in time", some_left, "cancelled", detail);
        Ok(())
    }
}
