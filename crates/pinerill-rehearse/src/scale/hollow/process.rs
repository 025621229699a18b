//! A process full of hollow nodes: runs until SIGTERM, then writes what they
//! saw.

use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use clap::Args;
use parking_lot::Mutex;
use pinerill_types::settings;
use pinerill_types::{NodeName, ZoneName};
use pinerill_wire::api::Role;
use pinerill_wire::client::ControlClient;
use pinerill_wire::connection::{ClusterKey, Identity, LinkCounters};
use pinerill_wire::message::NodeRecord;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::sleep;

use super::node::{HollowNode, Seen, Tally};
use super::results::{HollowResults, Quantiles};

/// Nodes connect over this time, so that the start is no storm.
const START_SPREAD: Duration = Duration::from_secs(3);

/// Arguments of a process of hollow nodes.
#[derive(Args, Debug, Clone)]
pub struct HollowArguments {
    /// Settings with the section [cluster].
    #[arg(long)]
    pub settings: PathBuf,
    /// Number of its first node.
    #[arg(long)]
    pub first: u64,
    /// How many nodes.
    #[arg(long)]
    pub count: u64,
    /// The zones, over which nodes go in turn.
    #[arg(long, value_delimiter = ',')]
    pub zones: Vec<String>,
    /// Most items of one lease; 0 for nodes that run no batch.
    #[arg(long, default_value_t = 0)]
    pub lease_limit: u32,
    /// Seconds before measuring begins.
    #[arg(long, default_value_t = 5)]
    pub warm_up_seconds: u64,
    /// Where the results go, as JSON.
    #[arg(long)]
    pub out: PathBuf,
}

struct Start {
    at: Instant,
    bytes: [u64; 4],
}

/// Runs hollow nodes until SIGTERM.
///
/// # Errors
/// When settings or cluster key can't be read or the results not written.
pub async fn run(arguments: HollowArguments) -> anyhow::Result<()> {
    let settings = settings::load(&arguments.settings, &[])?;
    let key = ClusterKey::load(&settings.cluster.key_file)?;
    let tally = Arc::new(Tally::default());
    let nodes: Vec<Arc<HollowNode>> = (0..arguments.count)
        .map(|index| {
            let number = arguments.first + index;
            Arc::new(hollow_node(&arguments, number, &settings, &key, &tally))
        })
        .collect();
    for (index, node) in nodes.iter().enumerate() {
        let delay = START_SPREAD.mul_f64(index as f64 / nodes.len() as f64);
        spawn_node(node, delay, arguments.first + index as u64);
    }
    let mark = signal(SignalKind::user_defined1()).context("listening for SIGUSR1")?;
    tokio::spawn(forget_gaps_at(mark, nodes.clone()));
    let mut terminate = signal(SignalKind::terminate()).context("listening for SIGTERM")?;
    let start = tokio::select! {
        start = begin(&arguments, &nodes, &tally) => start,
        _ = terminate.recv() => begin_now(&nodes, &tally),
    };
    terminate.recv().await;
    write_results(&arguments, &nodes, &tally, &start)
}

fn hollow_node(
    arguments: &HollowArguments,
    number: u64,
    settings: &settings::Settings,
    key: &ClusterKey,
    tally: &Arc<Tally>,
) -> HollowNode {
    let zone = &arguments.zones[number as usize % arguments.zones.len()];
    let name = format!("hollow-{number}");
    let cluster = &settings.cluster;
    let identity = Identity::new(&cluster.name, key.clone(), Role::Node, &name, zone);
    HollowNode {
        record: NodeRecord {
            name: NodeName(name),
            zone: ZoneName(zone.clone()),
            incarnation: rand::random(),
            draining: false,
            bundle_version: 0,
        },
        zones: vec![ZoneName(zone.clone())],
        client: ControlClient::new(identity, &cluster.controls),
        seen: Mutex::new(Seen::default()),
        lease_limit: arguments.lease_limit,
        tally: tally.clone(),
    }
}

fn spawn_node(node: &Arc<HollowNode>, delay: Duration, seed: u64) {
    let watching = node.clone();
    tokio::spawn(async move {
        sleep(delay).await;
        watching.watch().await;
    });
    if node.lease_limit > 0 {
        let working = node.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            working.work(seed).await;
        });
    }
}

/// At each mark, the longest time without a confirmed watch begins anew: what
/// a failure costs must not be mixed with what the start did.
async fn forget_gaps_at(mut mark: Signal, nodes: Vec<Arc<HollowNode>>) {
    while mark.recv().await.is_some() {
        for node in &nodes {
            node.seen.lock().longest_unconfirmed = Duration::ZERO;
        }
    }
}

async fn begin(arguments: &HollowArguments, nodes: &[Arc<HollowNode>], tally: &Tally) -> Start {
    sleep(Duration::from_secs(arguments.warm_up_seconds)).await;
    begin_now(nodes, tally)
}

fn begin_now(nodes: &[Arc<HollowNode>], tally: &Tally) -> Start {
    tally.measuring.store(true, Ordering::Relaxed);
    tally.failed_watches.store(0, Ordering::Relaxed);
    Start {
        at: Instant::now(),
        bytes: sum_counters(nodes),
    }
}

fn sum_counters(nodes: &[Arc<HollowNode>]) -> [u64; 4] {
    let mut sums = [0; 4];
    for node in nodes {
        let LinkCounters {
            bytes_out,
            bytes_in,
            frames_out,
            frames_in,
            ..
        } = node.client.counters().as_ref();
        for (sum, counter) in sums
            .iter_mut()
            .zip([bytes_out, bytes_in, frames_out, frames_in])
        {
            *sum += counter.load(Ordering::Relaxed);
        }
    }
    sums
}

fn write_results(
    arguments: &HollowArguments,
    nodes: &[Arc<HollowNode>],
    tally: &Tally,
    start: &Start,
) -> anyhow::Result<()> {
    let now = sum_counters(nodes);
    let since = |index: usize| now[index].saturating_sub(start.bytes[index]);
    let mut results = HollowResults {
        nodes: nodes.len() as u64,
        seconds: start.at.elapsed().as_secs_f64(),
        bytes_out: since(0),
        bytes_in: since(1),
        messages_out: since(2),
        messages_in: since(3),
        failed_watches: tally.failed_watches.load(Ordering::Relaxed),
        reverted: tally.reverted.load(Ordering::Relaxed),
        leased: tally.leased.load(Ordering::Relaxed),
        counted: tally.counted.load(Ordering::Relaxed),
        late: tally.late.load(Ordering::Relaxed),
        ..HollowResults::default()
    };
    let mut unconfirmed = Vec::new();
    for node in nodes {
        let seen = node.seen.lock();
        results.workers_known += seen.workers.len() as u64;
        unconfirmed.push(seen.longest_unconfirmed.as_micros() as u64);
        for (version, at_us) in &seen.versions {
            let total = results.versions.entry(*version).or_default();
            total.nodes += 1;
            total.last_us = total.last_us.max(*at_us);
        }
    }
    results.unconfirmed = Quantiles::of_microseconds(unconfirmed);
    let text = serde_json::to_string(&results)?;
    std::fs::write(&arguments.out, text)
        .with_context(|| format!("writing {}", arguments.out.display()))
}
