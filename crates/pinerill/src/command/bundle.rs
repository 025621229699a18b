//! `pinerill bundle`: make, sign, propose and show bundles.

use std::path::{Path, PathBuf};

use anyhow::bail;
use clap::{Args, Subcommand};
use pinerill_types::bundle::{
    check_bundle, signing_key_from_hex, Bundle, SignedChange, SigningKey,
};
use pinerill_types::OperatorName;
use pinerill_wire::api::ControlApi;
use pinerill_wire::client::ControlClient;
use pinerill_wire::message::{
    BundleShow, BundleShown, BundleStatusRequest, ProposalAnswer, ProposeBundle, Refusal,
    RefusalCode, Request, Response, META_GROUP,
};
use serde_json::json;

use crate::exit::WrongInput;
use crate::files::{read_text, write_secret, write_text};
use crate::operator::{block_on, ClusterArguments};
use crate::output;

const READ_BUNDLE: &str = "read bundle";
const READ_CHANGE: &str = "read signed change";
const READ_KEY: &str = "read operator's key";

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
        /// Prints JSON.
        #[arg(long)]
        json: bool,
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
    /// Prints JSON.
    #[arg(long)]
    json: bool,
}

/// Runs the command.
pub fn run(command: BundleCommand) -> anyhow::Result<()> {
    match command {
        BundleCommand::Keygen { out } => keygen(&out),
        BundleCommand::Check { file, json } => check(&file, json),
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

fn keygen(out: &Path) -> anyhow::Result<()> {
    let secret: [u8; 32] = rand::random();
    let key = signing_key_from_hex(&hex::encode(secret))?;
    write_secret(out, &hex::encode(secret))?;
    output::line(hex::encode(key.verifying_key().to_bytes()))
}

fn load_bundle(path: &Path) -> anyhow::Result<Bundle> {
    let text = read_text(READ_BUNDLE, path)?;
    let bundle = Bundle::from_toml(&text)
        .map_err(|error| WrongInput(format!("{}: {error}", path.display())))?;
    let problems = check_bundle(&bundle);
    if problems.is_empty() {
        return Ok(bundle);
    }
    let lines: Vec<String> = problems.iter().map(|one| format!("  {one}")).collect();
    Err(WrongInput(format!("{}:\n{}", path.display(), lines.join("\n"))).into())
}

fn check(path: &Path, as_json: bool) -> anyhow::Result<()> {
    let bundle = load_bundle(path)?;
    let (version, digest) = (bundle.version, bundle.digest());
    if as_json {
        return output::line(json!({"version": version, "digest": digest}));
    }
    output::line(format!("version {version} digest {digest}"))
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

fn load_key(path: &Path) -> anyhow::Result<SigningKey> {
    let text = read_text(READ_KEY, path)?;
    signing_key_from_hex(&text)
        .map_err(|error| WrongInput(format!("{READ_KEY} with {}: {error}", path.display())).into())
}

fn load_signed(path: &Path) -> anyhow::Result<SignedChange> {
    serde_json::from_str(&read_text(READ_CHANGE, path)?)
        .map_err(|error| WrongInput(format!("{}: {error}", path.display())).into())
}

async fn sign(arguments: SignArguments) -> anyhow::Result<()> {
    let operator: OperatorName = arguments
        .operator
        .parse()
        .map_err(|error| WrongInput(format!("--operator: {error}")))?;
    let key = load_key(&arguments.key)?;
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
    write_text("write signed change", &arguments.out, &text)?;
    print_signed(&signed, arguments.json)
}

fn print_signed(signed: &SignedChange, as_json: bool) -> anyhow::Result<()> {
    let change = &signed.change;
    let (set, removed) = (change.set.len(), change.removed.len());
    let signatures = signed.sign_offs.len();
    if as_json {
        return output::line(json!({
            "version": change.version,
            "digest": change.digest,
            "set": set,
            "removed": removed,
            "signatures": signatures,
        }));
    }
    output::line(format!(
        "version {} digest {}: {set} entries set, {removed} removed, {signatures} signatures",
        change.version, change.digest
    ))
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
        output::line(
            json!({"accepted": accepted, "version": answer.version, "digest": answer.digest}),
        )?;
    }
    if accepted {
        if !as_json {
            let (version, digest) = (answer.version, answer.digest);
            output::line(format!("accepted: version {version} digest {digest}"))?;
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
        output::line(json!({"digest": shown.digest, "bundle": shown.bundle}))?;
    } else {
        output::line(format!("# digest {}", shown.digest))?;
        output::bytes(shown.bundle.to_toml()?.as_bytes())?;
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
        output::line(json!({"version": status.version, "digest": status.digest, "nodes": nodes}))?;
        return Ok(());
    }
    let (version, digest) = (status.version, status.digest);
    output::line(format!("version {version} digest {digest}"))?;
    for node in &status.nodes {
        let (name, zone, version) = (&node.node, &node.zone, node.version);
        output::line(format!("  {name} {zone} version {version}"))?;
    }
    Ok(())
}
