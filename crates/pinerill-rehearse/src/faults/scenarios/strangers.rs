//! Processes that don't belong to the cluster.

use std::path::PathBuf;
use std::time::Duration;

use async_trait::async_trait;
use pinerill_types::settings::Settings;
use pinerill_types::NodeName;
use tokio::time::sleep;

use crate::faults::scenario::Scenario;
use crate::faults::stage::Stage;
use crate::fleet::operator::OperatorCommands;
use crate::fleet::ports::free_addresses;
use crate::fleet::process::ChildProcess;

/// Looks at whether the stranger was let in.
const LOOKS: usize = 30;
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Length of the online load beside it.
const LOAD_TIME: Duration = Duration::from_secs(3);
/// Name of the strange node.
const STRANGER: &str = "stranger";

/// An operator and a node with another cluster key.
pub struct OtherClusterKey;

#[async_trait]
impl Scenario for OtherClusterKey {
    fn name(&self) -> &'static str {
        "other-cluster-key"
    }

    fn what(&self) -> &'static str {
        "an operator and a node with another cluster key try to get in"
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        stage.start_online(LOAD_TIME);
        let commands = OperatorCommands {
            program: stage.rehearsal.launcher.pinerill()?,
        };
        let settings = strange_settings(stage, &commands).await?;
        check_commands(stage, &commands, &settings).await?;
        check_node(stage, &settings).await
    }
}

/// Settings of a node of this cluster with a key of its own.
async fn strange_settings(stage: &Stage, commands: &OperatorCommands) -> anyhow::Result<PathBuf> {
    let fleet = &stage.rehearsal.fleet;
    let key = stage.rehearsal.launcher.folder().join("other.key");
    let out = key.display().to_string();
    commands
        .succeed(&["cluster", "keygen", "--out", &out])
        .await?;
    let addresses = free_addresses(2)?;
    let mut cluster = fleet.cluster_settings(None);
    cluster.key_file = key;
    let mut node = fleet.nodes[0].settings.clone();
    node.name = NodeName::from(STRANGER);
    node.listen = addresses[0];
    node.admin = addresses[1];
    let settings = Settings {
        node: Some(node),
        ..fleet.settings(cluster)
    };
    fleet.write_settings(STRANGER, &settings)
}

async fn check_commands(
    stage: &mut Stage,
    commands: &OperatorCommands,
    settings: &std::path::Path,
) -> anyhow::Result<()> {
    let settings = settings.display().to_string();
    for command in [
        ["bundle", "show"],
        ["cluster", "status"],
        ["bundle", "status"],
    ] {
        let arguments = [command[0], command[1], "--settings", &settings];
        let output = commands.run(&arguments).await?;
        stage.operations += 1;
        let refused = output.code != Some(0) && output.stdout.is_empty();
        let detail = format!("code {:?}: {}", output.code, output.stdout);
        stage.expect("strangers are refused", refused, command[1], detail);
    }
    Ok(())
}

async fn check_node(stage: &mut Stage, settings: &std::path::Path) -> anyhow::Result<()> {
    let launcher = &stage.rehearsal.launcher;
    let arguments = vec![
        "node".to_owned(),
        "--settings".to_owned(),
        settings.display().to_string(),
    ];
    let program = launcher.pinerill()?;
    let mut node: ChildProcess = launcher.start(STRANGER, &program, arguments)?;
    stage.step("a node with another key is running");
    for _ in 0..LOOKS {
        let status = stage.rehearsal.operators.status().await?;
        let inside = status.nodes.iter().any(|one| one.node == STRANGER);
        let detail = format!("{status:?}");
        stage.expect("strangers are refused", !inside, "node", detail);
        stage.operations += 1;
        sleep(LOOK_PAUSE).await;
    }
    node.ensure_running()
}
