//! What control machines say about themselves: groups, leaders, metrics.

use std::time::{Duration, Instant};

use anyhow::{bail, Context};
use pinerill_wire::api::ControlApi;
use pinerill_wire::client::ControlClient;
use pinerill_wire::message::{
    ClusterStatusRequest, ClusterStatusResponse, ReplicaRecord, Request, Response, META_GROUP,
};

use super::PinerillFleet;

/// Longest time until all groups have a leader.
const LEADERS_TIME: Duration = Duration::from_secs(30);
/// Longest time until a machine with an empty folder is seen.
const NEW_IDENTITY_TIME: Duration = Duration::from_secs(20);
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// A node's metric of the bundle version that it has in force.
const NODE_VERSION_METRIC: &str = "pinerill_node_bundle_version";
/// Longest time for one question.
const CALL_TIME: Duration = Duration::from_secs(10);

impl PinerillFleet {
    /// Waits until the machine whose folder was lost is reachable under a new
    /// identity, and returns that.
    ///
    /// # Errors
    /// When no control machine answers, or after the longest time.
    pub async fn await_new_identity(&self, name: &str, lost: u64) -> anyhow::Result<u64> {
        let client = self.client()?;
        let end = Instant::now() + NEW_IDENTITY_TIME;
        while Instant::now() < end {
            let status = cluster_status(&client).await?;
            let mut records = status.replicas.iter();
            let new = records.find(|one| one.name == name && one.replica != lost && one.reachable);
            if let Some(new) = new {
                return Ok(new.replica);
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        bail!("{name} was not seen with a new identity in {NEW_IDENTITY_TIME:?}")
    }

    /// Waits until `groups` groups have a leader.
    ///
    /// # Errors
    /// When a control machine ends, or after the longest time.
    pub async fn await_leaders(&mut self, groups: usize) -> anyhow::Result<()> {
        let end = Instant::now() + LEADERS_TIME;
        let client = self.client()?;
        while Instant::now() < end {
            if let Ok(status) = cluster_status(&client).await {
                let led = status.groups.iter().filter(|group| group.leader.is_some());
                if led.count() >= groups {
                    return Ok(());
                }
            }
            self.ensure_controls_run()?;
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        bail!("not all of {groups} groups have a leader after {LEADERS_TIME:?}")
    }

    /// The replica that leads the meta group.
    ///
    /// # Errors
    /// When no control machine answers or there is no leader.
    pub async fn meta_leader(&self) -> anyhow::Result<ReplicaRecord> {
        let status = cluster_status(&*self.client()?).await?;
        let groups = &status.groups;
        let meta = groups.iter().find(|group| group.group == META_GROUP);
        let leader = meta
            .and_then(|group| group.leader)
            .context("the meta group has no leader")?;
        let record = status
            .replicas
            .into_iter()
            .find(|replica| replica.replica == leader);
        record.context("the leader is not among the control machines")
    }

    /// Index of the control machine with this name.
    ///
    /// # Errors
    /// When there is none.
    pub fn control_named(&self, name: &str) -> anyhow::Result<usize> {
        let found = self
            .controls
            .iter()
            .position(|control| control.process.name() == name);
        found.with_context(|| format!("{name} is not among the processes"))
    }

    /// The bundle version that each node says it has in force.
    ///
    /// # Errors
    /// When a node does not answer.
    pub async fn node_versions(&self) -> anyhow::Result<Vec<u64>> {
        let client = reqwest::Client::builder().no_proxy().build()?;
        let mut versions = Vec::new();
        for node in &self.nodes {
            let url = format!("http://{}/metrics", node.settings.admin);
            let response = client.get(&url).send().await;
            let response = response.with_context(|| format!("reading metrics with {url}"))?;
            let text = response.text().await?;
            versions.push(metric(&text, NODE_VERSION_METRIC) as u64);
        }
        Ok(versions)
    }

    /// Sum of a metric over all control machines that answer.
    ///
    /// # Errors
    /// When an answer can't be read.
    pub async fn sum_metric(&self, name: &str) -> anyhow::Result<f64> {
        let client = reqwest::Client::builder().no_proxy().build()?;
        let mut sum = 0.0;
        for control in &self.controls {
            let url = format!("http://{}/metrics", control.settings.admin);
            let Ok(response) = client.get(&url).send().await else {
                continue;
            };
            let text = response.text().await;
            let text = text.with_context(|| format!("reading metrics with {url}"))?;
            sum += metric(&text, name);
        }
        Ok(sum)
    }
}

/// Asks for the cluster's status.
///
/// # Errors
/// When no control machine answers.
pub async fn cluster_status(client: &ControlClient) -> anyhow::Result<ClusterStatusResponse> {
    let request = Request::ClusterStatus(ClusterStatusRequest);
    match client.call_any(request, CALL_TIME).await? {
        Response::ClusterStatus(status) => Ok(status),
        other => bail!("reading the cluster's status: unexpected {other:?}"),
    }
}

/// The value of a metric without labels, or the sum over its labels.
pub fn metric(text: &str, name: &str) -> f64 {
    text.lines()
        .filter_map(|line| line.strip_prefix(name))
        .filter(|rest| rest.starts_with(' ') || rest.starts_with('{'))
        .filter_map(|rest| rest.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}
