//! Nodes that die or stop, and callers that go away.

use std::sync::Arc;
use std::time::Duration;

use anyhow::bail;
use async_trait::async_trait;
use futures::StreamExt;
use tokio::time::Instant;

use crate::check::{Indeterminate, RunEnd};
use crate::faults::load::online_profile;
use crate::faults::scenario::Scenario;
use crate::faults::stage::Stage;
use crate::fleet::process::Signal;
use crate::load::content::OnlineRequest;
use crate::load::node_target::{NodeTarget, RequestShape};
use crate::load::online::OnlineTarget;
use crate::load::record::OnlineEnd;
use crate::load::schedule::{Arrival, OnlineKind};

/// Items of the job.
const ITEMS: usize = 240;
/// Length of the online load.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Time that a killed node stays away.
const AWAY: Duration = Duration::from_secs(2);
/// Bounds of the moment of failure after the first item runs.
const EARLIEST: Duration = Duration::from_millis(100);
const LATEST: Duration = Duration::from_millis(900);
/// Callers that go away.
const CALLERS: u64 = 24;
/// Length of the answers that they don't read, in tokens: some 13 s.
const LONG_ANSWER_TOKENS: u32 = 500;
/// Longest time until an engine was told.
const CANCEL_TIME: Duration = Duration::from_secs(10);
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// A caller who waits for a whole answer goes after this time.
const PATIENCE: Duration = Duration::from_secs(1);

/// A node is killed while it streams and runs items.
pub struct NodeKilled;

#[async_trait]
impl Scenario for NodeKilled {
    fn name(&self) -> &'static str {
        "node-killed"
    }

    fn what(&self) -> &'static str {
        "a node killed (kill -9) with requests and items in flight, back after 2 s"
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        stage.history.indeterminate = Indeterminate::Allowed;
        stage.start_online(LOAD_TIME);
        stage.submit("node-killed", ITEMS).await?;
        stage.await_batch_run(|_| true).await?;
        stage.pause(EARLIEST, LATEST).await;
        let index = stage.pick(stage.rehearsal.fleet.nodes.len());
        let fleet = &mut stage.rehearsal.fleet;
        stage.progress.step(format!("killing node-{}", index + 1));
        fleet.nodes[index].process.signal(Signal::Kill)?;
        tokio::time::sleep(AWAY).await;
        fleet.restart_node(index).await?;
        fleet.await_nodes().await
    }
}

/// A node is stopped in a planned way under load.
pub struct NodeStopped;

#[async_trait]
impl Scenario for NodeStopped {
    fn name(&self) -> &'static str {
        "node-stopped"
    }

    fn what(&self) -> &'static str {
        "every node in turn stopped (SIGTERM) under load and started again"
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        stage.start_online(LOAD_TIME);
        stage.submit("node-stopped", ITEMS).await?;
        stage.await_batch_run(|_| true).await?;
        for index in 0..stage.rehearsal.fleet.nodes.len() {
            stage.pause(EARLIEST, LATEST).await;
            stage.step(format!("stopping node-{}", index + 1));
            let fleet = &mut stage.rehearsal.fleet;
            fleet.stop_node(index).await?;
            fleet.restart_node(index).await?;
            fleet.await_nodes().await?;
        }
        stage.finish_online().await?;
        check_nothing_cut(stage);
        Ok(())
    }
}

/// Every request was answered whole, or refused before it ran.
fn check_nothing_cut(stage: &mut Stage) {
    for record in stage.history.online.clone() {
        let cut = matches!(record.end, OnlineEnd::Failed(_));
        let detail = format!("{:?}", record.end);
        stage.expect(
            "planned stop cuts nothing",
            !cut,
            &record.request_id,
            detail,
        );
    }
}

/// Callers close their connections before the answer's end.
pub struct CallersGone;

#[async_trait]
impl Scenario for CallersGone {
    fn name(&self) -> &'static str {
        "callers-gone"
    }

    fn what(&self) -> &'static str {
        "callers of streamed and whole answers close their connections early"
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        let service = stage.rehearsal.preset.service;
        let shapes = [RequestShape::StreamedCompletion, RequestShape::WholeChat];
        let target = Arc::new(stage.rehearsal.online_target(service).with_shapes(&shapes));
        let content = stage.rehearsal.engine_content("gone");
        let mut callers = Vec::new();
        let mut requests = Vec::new();
        for number in 0..CALLERS {
            let request = OnlineRequest {
                max_tokens: LONG_ANSWER_TOKENS,
                ..content.online_request(&online_profile(), &arrival(number))
            };
            requests.push(request.clone());
            callers.push(tokio::spawn(go_away(target.clone(), request)));
        }
        for caller in callers {
            caller.await??;
        }
        stage.operations += CALLERS;
        stage.step("all callers have gone");
        for request in requests {
            check_cancelled(stage, &request).await?;
        }
        Ok(())
    }
}

fn arrival(number: u64) -> Arrival {
    Arrival {
        at: Duration::ZERO,
        number,
        kind: OnlineKind::Short,
        in_burst: false,
        at_most_once: false,
    }
}

/// Reads the beginning of a stream, or waits a while for a whole answer, and
/// closes the connection.
async fn go_away(target: Arc<NodeTarget>, request: OnlineRequest) -> anyhow::Result<()> {
    let sent = tokio::time::timeout(PATIENCE, target.send(&request)).await;
    let Ok(sent) = sent else {
        return Ok(());
    };
    let response = sent?.response;
    if !response.status().is_success() {
        bail!("{}: {}", request.request_id, response.status());
    }
    response.bytes_stream().next().await;
    Ok(())
}

/// The engine must have ended it well before its answer was whole.
async fn check_cancelled(stage: &mut Stage, request: &OnlineRequest) -> anyhow::Result<()> {
    let end = Instant::now() + CANCEL_TIME;
    let mut detail = "never ran".to_owned();
    while Instant::now() < end {
        let ledger = stage.ledger()?;
        let runs = ledger.runs(&request.content);
        let cancelled = |run: &&crate::check::Run| run.end == Some(RunEnd::Cancelled);
        if !runs.is_empty() && runs.iter().filter(cancelled).count() == runs.len() {
            stage.expect("engines told of gone callers", true, "", String::new());
            return Ok(());
        }
        if let Some(run) = runs.first() {
            detail = format!("at {}: {:?}", run.engine, run.end);
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    let subject = &request.request_id;
    stage.expect("engines told of gone callers", false, subject, detail);
    Ok(())
}
