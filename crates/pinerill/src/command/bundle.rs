//! `pinerill bundle`: make, sign, propose and show bundles.

use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};

use anyhow::{bail, Context};
use clap::{Args, Subcommand};
use pinerill_types::bundle::{check_bundle, signing_key_from_hex, Bundle, SignedChange};
use pinerill_types::OperatorName;
use pinerill_wire::api::ControlApi;
use pinerill_wire::client::ControlClient;
use pinerill_wire::message::{
    BundleShow, BundleShown, BundleStatusRequest, ProposalAnswer, ProposeBundle, Refusal,
    RefusalCode, Request, Response, META_GROUP,
};
use serde_json::json;

use crate::exit::WrongInput;
use crate::operator::{block_on, ClusterArguments};

/// Commands about bundles.
#[derive(Subcommand)]
pub enum BundleCommand {
    /// Makes an operator's key; prints the public one.
    Keygen {
        /// File for the secret key; it must not exist.
        #[arg(long)]
        out: PathBuf,
    },
    /// Checks a bundle and names every problem.
    Check {
        /// The bundle, TOML.
        file: PathBuf,
    },
    /// Signs a bundle as a change of the one in force, or adds a signature.
    Sign(SignArguments),
    /// Proposes a signed change; safe to run again when an answer was lost.
    Propose {
        #[command(flatten)]
        cluster: ClusterArguments,
        /// The signed change.
        file: PathBuf,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Prints the bundle in force.
    Show {
        #[command(flatten)]
        cluster: ClusterArguments,
        /// Prints JSON instead of TOML.
        #[arg(long)]
        json: bool,
    },
    /// Shows which nodes have which version in force.
    Status {
        #[command(flatten)]
        cluster: ClusterArguments,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
}

/// Arguments of `bundle sign`.
#[derive(Args)]
pub struct SignArguments {
    #[command(flatten)]
    cluster: ClusterArguments,
    /// The bundle, TOML, or with --add a signed change.
    file: PathBuf,
    /// Adds a signature to a signed change.
    #[arg(long)]
    add: bool,
    /// Who signs.
    #[arg(long)]
    operator: String,
    /// The operator's secret key file.
    #[arg(long)]
    key: PathBuf,
    /// Where the signed change goes.
    #[arg(long)]
    out: PathBuf,
}

/// Runs the command.
pub fn run(command: BundleCommand) -> anyhow::Result<()> {
    match command {
        BundleCommand::Keygen { out } => keygen(&out),
        BundleCommand::Check { file } => check(&file),
        BundleCommand::Sign(arguments) => block_on(sign(arguments)),
        BundleCommand::Propose {
            cluster,
            file,
            json,
        } => block_on(propose(cluster, file, json)),
        BundleCommand::Show { cluster, json } => block_on(show(cluster, json)),
        BundleCommand::Status { cluster, json } => block_on(status(cluster, json)),
    }
}

/// Writes a secret to a new file that only its owner can read.
///
/// # Errors
/// When the file exists or can't be written.
pub fn write_secret(path: &Path, secret: &str) -> anyhow::Result<()> {
    use std::os::unix::fs::OpenOptionsExt;
    let mut file = fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path)
        .with_context(|| format!("write secret with {}", path.display()))?;
    writeln!(file, "{secret}")?;
    file.sync_all()?;
    Ok(())
}

fn keygen(out: &Path) -> anyhow::Result<()> {
    let secret: [u8; 32] = rand::random();
    let key = signing_key_from_hex(&hex::encode(secret))?;
    write_secret(out, &hex::encode(secret))?;
    println!("{}", hex::encode(key.verifying_key().to_bytes()));
    Ok(())
}

fn read(path: &Path) -> anyhow::Result<String> {
    fs::read_to_string(path).with_context(|| format!("read file with {}", path.display()))
}

fn load_bundle(path: &Path) -> anyhow::Result<Bundle> {
    let text = read(path)?;
    let bundle = Bundle::from_toml(&text)
        .map_err(|error| WrongInput(format!("{}: {error}", path.display())))?;
    let problems = check_bundle(&bundle);
    if problems.is_empty() {
        return Ok(bundle);
    }
    let lines: Vec<String> = problems.iter().map(|one| format!("  {one}")).collect();
    Err(WrongInput(format!("{}:\n{}", path.display(), lines.join("\n"))).into())
}

fn check(path: &Path) -> anyhow::Result<()> {
    let bundle = load_bundle(path)?;
    println!("version {} digest {}", bundle.version, bundle.digest());
    Ok(())
}

async fn in_force(
    client: &ControlClient,
    cluster: &ClusterArguments,
) -> anyhow::Result<BundleShown> {
    let request = Request::BundleShow(BundleShow);
    match client.call_any(request, cluster.timeout()).await? {
        Response::BundleShow(shown) => Ok(shown),
        _ => bail!("read the bundle in force: unexpected answer"),
    }
}

fn load_signed(path: &Path) -> anyhow::Result<SignedChange> {
    serde_json::from_str(&read(path)?)
        .map_err(|error| WrongInput(format!("{}: {error}", path.display())).into())
}

async fn sign(arguments: SignArguments) -> anyhow::Result<()> {
    let operator: OperatorName = arguments
        .operator
        .parse()
        .map_err(|error| WrongInput(format!("--operator: {error}")))?;
    let key = signing_key_from_hex(&read(&arguments.key)?)?;
    let mut signed = if arguments.add {
        load_signed(&arguments.file)?
    } else {
        let bundle = load_bundle(&arguments.file)?;
        let client = arguments.cluster.client()?;
        let base = in_force(&client, &arguments.cluster).await?.bundle;
        SignedChange {
            change: bundle.change_from(&base),
            sign_offs: Vec::new(),
        }
    };
    signed.sign(operator, &key);
    let text = serde_json::to_string_pretty(&signed)?;
    fs::write(&arguments.out, text)
        .with_context(|| format!("write file with {}", arguments.out.display()))?;
    println!(
        "version {} digest {}: {} entries set, {} removed, {} signatures",
        signed.change.version,
        signed.change.digest,
        signed.change.set.len(),
        signed.change.removed.len(),
        signed.sign_offs.len()
    );
    Ok(())
}

async fn propose(cluster: ClusterArguments, file: PathBuf, as_json: bool) -> anyhow::Result<()> {
    let signed = load_signed(&file)?;
    let client = cluster.client()?;
    let request = Request::ProposeBundle(ProposeBundle { signed });
    let response = client
        .call_leader(META_GROUP, request, cluster.timeout())
        .await?;
    let Response::ProposeBundle(answer) = response else {
        bail!("propose a bundle: unexpected answer");
    };
    let accepted = answer.answer == ProposalAnswer::Accepted;
    if as_json {
        println!(
            "{}",
            json!({"accepted": accepted, "version": answer.version, "digest": answer.digest})
        );
    }
    if accepted {
        if !as_json {
            println!(
                "accepted: version {} digest {}",
                answer.version, answer.digest
            );
        }
        return Ok(());
    }
    let message = format!("version {} is {}", answer.version, answer.digest);
    let refusal = Refusal::new(
        RefusalCode::Conflict,
        "propose a bundle",
        "control",
        message,
    );
    Err(pinerill_wire::api::CallError::from(refusal).into())
}

async fn show(cluster: ClusterArguments, as_json: bool) -> anyhow::Result<()> {
    let client = cluster.client()?;
    let shown = in_force(&client, &cluster).await?;
    if as_json {
        println!(
            "{}",
            json!({"digest": shown.digest, "bundle": shown.bundle})
        );
    } else {
        println!("# digest {}", shown.digest);
        print!("{}", shown.bundle.to_toml()?);
    }
    Ok(())
}

async fn status(cluster: ClusterArguments, as_json: bool) -> anyhow::Result<()> {
    let client = cluster.client()?;
    let request = Request::BundleStatus(BundleStatusRequest);
    let response = client.call_any(request, cluster.timeout()).await?;
    let Response::BundleStatus(status) = response else {
        bail!("read the bundle's status: unexpected answer");
    };
    if as_json {
        let nodes: Vec<_> = status
            .nodes
            .iter()
            .map(|node| json!({"node": node.node, "zone": node.zone, "version": node.version}))
            .collect();
        println!(
            "{}",
            json!({"version": status.version, "digest": status.digest, "nodes": nodes})
        );
        return Ok(());
    }
    println!("version {} digest {}", status.version, status.digest);
    for node in &status.nodes {
        println!("  {} {} version {}", node.node, node.zone, node.version);
    }
    Ok(())
}
