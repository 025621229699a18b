//! Rolls bundles out with the operators' command line, as operators do.

use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{bail, Context};
use pinerill_types::bundle::{signing_key_from_hex, Bundle, BundleChange, SignedChange};
use pinerill_types::OperatorName;
use serde::Deserialize;
use tokio::time::{sleep, Instant};

use crate::fleet::operator::{CommandOutput, OperatorCommands};

/// Longest time until all nodes have a bundle in force.
const IN_FORCE_TIME: Duration = Duration::from_secs(20);
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Names of the operators; each bundle needs both.
const NAMES: [&str; 2] = ["amina", "brahim"];
/// Groups that share the batch jobs.
pub const JOB_GROUPS: usize = 4;

/// One operator.
#[derive(Clone, Debug)]
struct Operator {
    name: &'static str,
    key: PathBuf,
    public_key: String,
}

/// The operators of a cluster and their commands.
#[derive(Clone, Debug)]
pub struct Operators {
    commands: OperatorCommands,
    folder: PathBuf,
    settings: PathBuf,
    operators: Vec<Operator>,
}

/// A bundle as `pinerill bundle status --json` tells it.
#[derive(Clone, Debug, Deserialize)]
pub struct BundleInForce {
    /// Its version.
    pub version: u64,
    /// Its digest.
    pub digest: String,
    /// Nodes with the version that each has in force.
    pub nodes: Vec<NodeVersion>,
}

/// The version that a node has in force.
#[derive(Clone, Debug, Deserialize)]
pub struct NodeVersion {
    /// The node.
    pub node: String,
    /// Its version.
    pub version: u64,
}

/// Makes a cluster key with `pinerill cluster keygen`.
///
/// # Errors
/// When the command fails.
pub async fn make_cluster_key(
    commands: &OperatorCommands,
    folder: &Path,
) -> anyhow::Result<PathBuf> {
    let path = folder.join("cluster.key");
    commands
        .succeed(&["cluster", "keygen", "--out", &shown(&path)])
        .await?;
    Ok(path)
}

impl Operators {
    /// Makes the operators' keys with `pinerill bundle keygen`.
    ///
    /// # Errors
    /// When a command fails.
    pub async fn with_keys(
        commands: OperatorCommands,
        folder: &Path,
        settings: PathBuf,
    ) -> anyhow::Result<Self> {
        let mut operators = Vec::new();
        for name in NAMES {
            let key = folder.join(format!("{name}.key"));
            let out = shown(&key);
            let printed = commands
                .succeed(&["bundle", "keygen", "--out", &out])
                .await?;
            operators.push(Operator {
                name,
                key,
                public_key: printed.trim().to_owned(),
            });
        }
        Ok(Self {
            commands,
            folder: folder.to_path_buf(),
            settings,
            operators,
        })
    }

    /// Runs a command with the cluster's settings; `arguments` name it.
    ///
    /// # Errors
    /// When it can't be started.
    pub async fn run(&self, arguments: &[&str]) -> anyhow::Result<CommandOutput> {
        let settings = shown(&self.settings);
        let mut all = arguments.to_vec();
        all.extend(["--settings", &settings]);
        self.commands.run(&all).await
    }

    /// As [`Self::run`], for a command that must succeed; returns its output.
    ///
    /// # Errors
    /// When it ends with another exit code than 0.
    pub async fn succeed(&self, arguments: &[&str]) -> anyhow::Result<String> {
        let settings = shown(&self.settings);
        let mut all = arguments.to_vec();
        all.extend(["--settings", &settings]);
        self.commands.succeed(&all).await
    }

    /// Runs `cluster init` once.
    ///
    /// # Errors
    /// When it can't be started.
    pub async fn found(&self) -> anyhow::Result<CommandOutput> {
        let sign_offs = self.operators.len().to_string();
        let groups = JOB_GROUPS.to_string();
        let mut arguments = vec!["cluster", "init", "--sign-offs", &sign_offs];
        arguments.extend(["--job-groups", &groups]);
        let operators = self.operators.iter();
        let flags: Vec<String> = operators
            .map(|operator| format!("--operator={}={}", operator.name, operator.public_key))
            .collect();
        arguments.extend(flags.iter().map(String::as_str));
        self.run(&arguments).await
    }

    /// The bundle in force.
    ///
    /// # Errors
    /// When `bundle show` fails.
    pub async fn show(&self) -> anyhow::Result<Bundle> {
        let text = self.succeed(&["bundle", "show"]).await?;
        Bundle::from_toml(&text).context("reading the bundle in force")
    }

    /// Checks, signs and proposes `bundle` and waits until `nodes` nodes have
    /// it in force. Returns its version.
    ///
    /// # Errors
    /// When a command fails or a node does not take it over in time.
    pub async fn roll_out(&self, bundle: &Bundle, nodes: usize) -> anyhow::Result<u64> {
        let signed = self.sign(bundle, "rollout").await?;
        self.succeed(&["bundle", "propose", &shown(&signed)])
            .await?;
        self.await_in_force(bundle.version, nodes).await?;
        Ok(bundle.version)
    }

    /// Checks a bundle and has every operator sign it as a change of the one
    /// in force. Returns the file of the signed change.
    ///
    /// # Errors
    /// When a command fails.
    pub async fn sign(&self, bundle: &Bundle, name: &str) -> anyhow::Result<PathBuf> {
        let document = self.folder.join(format!("{name}-{}.toml", bundle.version));
        let text = bundle.to_toml().context("writing a bundle")?;
        std::fs::write(&document, text)
            .with_context(|| format!("writing {}", document.display()))?;
        let document = shown(&document);
        self.commands
            .succeed(&["bundle", "check", &document])
            .await?;
        let signed = self.folder.join(format!("{name}-{}.json", bundle.version));
        for (index, operator) in self.operators.iter().enumerate() {
            let (out, key) = (shown(&signed), shown(&operator.key));
            let mut arguments = vec!["bundle", "sign"];
            match index {
                0 => arguments.push(&document),
                _ => arguments.extend([out.as_str(), "--add"]),
            }
            arguments.extend(["--operator", operator.name, "--key", &key, "--out", &out]);
            self.succeed(&arguments).await?;
        }
        Ok(signed)
    }

    /// Signs a change with every operator's key, without a command: for many
    /// changes in a row.
    ///
    /// # Errors
    /// When a key file can't be read.
    pub fn sign_directly(&self, change: BundleChange) -> anyhow::Result<SignedChange> {
        let mut signed = SignedChange {
            change,
            sign_offs: Vec::new(),
        };
        for operator in &self.operators {
            let path = &operator.key;
            let text = std::fs::read_to_string(path)
                .with_context(|| format!("reading {}", path.display()))?;
            let key = signing_key_from_hex(&text)?;
            signed.sign(OperatorName::from(operator.name), &key);
        }
        Ok(signed)
    }

    /// What `bundle status` says.
    ///
    /// # Errors
    /// When the command fails or prints something else.
    pub async fn status(&self) -> anyhow::Result<BundleInForce> {
        let text = self.succeed(&["bundle", "status", "--json"]).await?;
        serde_json::from_str(&text).with_context(|| format!("bundle status {text}"))
    }

    /// Waits until at least `nodes` nodes have `version` or a later one.
    ///
    /// # Errors
    /// After the longest time, with what was seen last.
    pub async fn await_in_force(&self, version: u64, nodes: usize) -> anyhow::Result<()> {
        let end = Instant::now() + IN_FORCE_TIME;
        loop {
            let status = self.status().await?;
            let there = status.nodes.iter().filter(|node| node.version >= version);
            if status.version >= version && there.count() >= nodes {
                return Ok(());
            }
            if Instant::now() >= end {
                bail!("version {version} not in force on {nodes} nodes: {status:?}");
            }
            sleep(LOOK_PAUSE).await;
        }
    }
}

fn shown(path: &Path) -> String {
    path.display().to_string()
}
