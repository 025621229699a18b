//! `pinerill cluster`: found, inspect and repair the control machines.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::bail;
use clap::{Args, Subcommand};
use pinerill_types::bundle::{check_bundle, Bundle, Operator, Policy};
use pinerill_types::OperatorName;
use pinerill_wire::api::{CallError, CallErrorKind, ControlApi};
use pinerill_wire::message::{
    ClusterInit, ClusterStatusRequest, ClusterStatusResponse, ReplaceReplica, ReplicaRecord,
    Request, Response, META_GROUP,
};
use serde_json::json;

use crate::exit::WrongInput;
use crate::files::write_secret;
use crate::operator::{block_on, ClusterArguments};
use crate::output;

/// Pause between two looks at a repair.
const REPAIR_PAUSE: Duration = Duration::from_millis(500);

/// Commands about the control machines.
#[derive(Subcommand)]
pub enum ClusterCommand {
    /// Writes a new random cluster key.
    Keygen {
        /// File to write; it must not exist.
        #[arg(long)]
        out: PathBuf,
    },
    /// Founds a new cluster; refused when any machine already has one.
    Init(InitArguments),
    /// Shows control machines and replicated groups.
    Status {
        #[command(flatten)]
        cluster: ClusterArguments,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Puts a control machine with an empty folder in the place of a lost one.
    Replace(ReplaceArguments),
}

/// Arguments of `cluster init`.
#[derive(Args)]
pub struct InitArguments {
    #[command(flatten)]
    cluster: ClusterArguments,
    /// An operator and the public key that `bundle keygen` printed.
    #[arg(long = "operator", value_name = "NAME=PUBLIC_KEY", required = true)]
    operators: Vec<String>,
    /// Operators who must sign each bundle.
    #[arg(long, default_value_t = 1)]
    sign_offs: u32,
    /// Groups that share the batch jobs.
    #[arg(long, default_value_t = 8)]
    job_groups: u32,
    /// Voters of each group.
    #[arg(long, default_value_t = 5)]
    voters: u32,
    /// Prints JSON.
    #[arg(long)]
    json: bool,
}

/// Arguments of `cluster replace`.
#[derive(Args)]
pub struct ReplaceArguments {
    #[command(flatten)]
    cluster: ClusterArguments,
    /// Identity of the lost data folder, as `cluster status` shows it.
    #[arg(long, value_parser = parse_replica)]
    lost: u64,
    /// Identity of the new data folder.
    #[arg(long, value_parser = parse_replica)]
    new: u64,
    /// Waits until the repair is done, at most that many seconds.
    #[arg(long, default_value_t = 120)]
    wait_seconds: u64,
    /// Prints JSON, once the repair is done.
    #[arg(long)]
    json: bool,
}

fn parse_replica(text: &str) -> Result<u64, String> {
    u64::from_str_radix(text, 16).map_err(|_| format!("`{text}` is not a hexadecimal identity"))
}

/// Runs the command.
pub fn run(command: ClusterCommand) -> anyhow::Result<()> {
    match command {
        ClusterCommand::Keygen { out } => keygen(&out),
        ClusterCommand::Init(arguments) => block_on(init(arguments)),
        ClusterCommand::Status { cluster, json } => block_on(status(cluster, json)),
        ClusterCommand::Replace(arguments) => block_on(replace(arguments)),
    }
}

fn keygen(out: &std::path::Path) -> anyhow::Result<()> {
    let bytes: [u8; 32] = rand::random();
    write_secret(out, &hex::encode(bytes))?;
    output::line(out.display())
}

fn founding_bundle(arguments: &InitArguments) -> anyhow::Result<Bundle> {
    let mut founding = Bundle {
        policy: Policy {
            sign_offs: arguments.sign_offs,
            ..Policy::default()
        },
        ..Bundle::default()
    };
    for text in &arguments.operators {
        let (name, public_key) = text
            .split_once('=')
            .ok_or_else(|| WrongInput(format!("--operator {text}: use NAME=PUBLIC_KEY")))?;
        let name: OperatorName = name
            .parse()
            .map_err(|error| WrongInput(format!("--operator {text}: {error}")))?;
        let operator = Operator {
            public_key: public_key.to_owned(),
        };
        founding.operators.insert(name, operator);
    }
    let problems = check_bundle(&founding);
    if let Some(problem) = problems.first() {
        return Err(WrongInput(problem.to_string()).into());
    }
    Ok(founding)
}

async fn init(arguments: InitArguments) -> anyhow::Result<()> {
    let request = Request::ClusterInit(ClusterInit {
        founding: founding_bundle(&arguments)?,
        job_groups: arguments.job_groups,
        voters: arguments.voters,
    });
    let client = arguments.cluster.client()?;
    let response = client
        .call_any(request, arguments.cluster.timeout())
        .await?;
    let Response::ClusterInit(done) = response else {
        bail!("found the cluster: unexpected answer");
    };
    if arguments.json {
        let replicas: Vec<_> = done.replicas.iter().map(replica_json).collect();
        let cluster_id = hexadecimal(&done.cluster_id);
        return output::line(json!({"cluster_id": cluster_id, "replicas": replicas}));
    }
    output::line(format!("cluster {:016x} founded", done.cluster_id))?;
    for replica in &done.replicas {
        let (identity, name, zone) = (replica.replica, &replica.name, &replica.zone);
        output::line(format!("  {identity:016x} {name} {zone}"))?;
    }
    Ok(())
}

async fn status(cluster: ClusterArguments, as_json: bool) -> anyhow::Result<()> {
    let client = cluster.client()?;
    let request = Request::ClusterStatus(ClusterStatusRequest);
    let response = client.call_any(request, cluster.timeout()).await?;
    let Response::ClusterStatus(status) = response else {
        bail!("read the cluster's status: unexpected answer");
    };
    if as_json {
        return output::line(status_json(&status));
    }
    print_status(&status)
}

fn hexadecimal(identity: &u64) -> String {
    format!("{identity:016x}")
}

fn replica_json(replica: &ReplicaRecord) -> serde_json::Value {
    json!({
        "replica": hexadecimal(&replica.replica),
        "name": replica.name,
        "zone": replica.zone,
        "address": replica.address,
        "reachable": replica.reachable,
    })
}

fn status_json(status: &ClusterStatusResponse) -> serde_json::Value {
    let replicas: Vec<_> = status.replicas.iter().map(replica_json).collect();
    let groups: Vec<_> = status
        .groups
        .iter()
        .map(|group| {
            json!({
                "group": group.group,
                "leader": group.leader.as_ref().map(hexadecimal),
                "term": group.term,
                "commit": group.commit,
                "applied": group.applied,
                "voters": group.voters.iter().map(hexadecimal).collect::<Vec<_>>(),
                "learners": group.learners.iter().map(hexadecimal).collect::<Vec<_>>(),
            })
        })
        .collect();
    json!({
        "cluster_id": hexadecimal(&status.cluster_id),
        "replicas": replicas,
        "groups": groups,
    })
}

fn print_status(status: &ClusterStatusResponse) -> anyhow::Result<()> {
    output::line(format!("cluster {:016x}", status.cluster_id))?;
    for replica in &status.replicas {
        let reachable = if replica.reachable {
            "reachable"
        } else {
            "UNREACHABLE"
        };
        output::line(format!(
            "  {:016x} {} {} {} {reachable}",
            replica.replica, replica.name, replica.zone, replica.address
        ))?;
    }
    for group in &status.groups {
        let leader = group
            .leader
            .map_or("none".to_owned(), |leader| format!("{leader:016x}"));
        output::line(format!(
            "group {} leader {leader} term {} commit {} applied {} voters {} learners {}",
            group.group,
            group.term,
            group.commit,
            group.applied,
            group.voters.len(),
            group.learners.len()
        ))?;
    }
    Ok(())
}

async fn replace(arguments: ReplaceArguments) -> anyhow::Result<()> {
    let client = arguments.cluster.client()?;
    let end = Instant::now() + Duration::from_secs(arguments.wait_seconds);
    loop {
        let request = Request::ReplaceReplica(ReplaceReplica {
            lost: arguments.lost,
            new: arguments.new,
        });
        let response = client
            .call_leader(META_GROUP, request, arguments.cluster.timeout())
            .await?;
        let Response::ReplaceReplica(progress) = response else {
            bail!("replace a replica: unexpected answer");
        };
        let (done, remaining) = (progress.done, progress.remaining);
        if !arguments.json {
            output::line(format!("{done} groups done, {remaining} remaining"))?;
        } else if remaining == 0 {
            output::line(json!({"done": done, "remaining": remaining}))?;
        }
        if remaining == 0 {
            return Ok(());
        }
        if Instant::now() >= end {
            return Err(not_done_in_time(remaining).into());
        }
        tokio::time::sleep(REPAIR_PAUSE).await;
    }
}

/// The repair goes on in the cluster; whether it has been done shows when the
/// command is run again.
fn not_done_in_time(remaining: u32) -> CallError {
    CallError {
        kind: CallErrorKind::Unknown,
        step: "replace a replica".to_owned(),
        peer: "control machines".to_owned(),
        message: format!("{remaining} groups remain; run the same command again"),
    }
}
