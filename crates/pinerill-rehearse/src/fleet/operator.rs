//! Runs `pinerill` commands as an operator would, each in a process of its own.

use std::path::PathBuf;
use std::process::Stdio;

use anyhow::{ensure, Context};
use tokio::process::Command;

/// Exit code of a command that was refused.
pub const EXIT_REFUSED: i32 = 3;

/// What a command printed and how it ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// Exit code; none when a signal ended it.
    pub code: Option<i32>,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

/// The operators' command line.
#[derive(Clone, Debug)]
pub struct OperatorCommands {
    /// The `pinerill` executable.
    pub program: PathBuf,
}

impl OperatorCommands {
    /// Runs a command and waits for its end. It is killed when the caller
    /// stops waiting.
    ///
    /// # Errors
    /// When it can't be started.
    pub async fn run(&self, arguments: &[&str]) -> anyhow::Result<CommandOutput> {
        let output = Command::new(&self.program)
            .args(arguments)
            .stdin(Stdio::null())
            .kill_on_drop(true)
            .output()
            .await
            .with_context(|| format!("starting `{}`", shown(arguments)))?;
        Ok(CommandOutput {
            code: output.status.code(),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        })
    }

    /// Runs a command that must end with exit code 0; returns what it printed.
    ///
    /// # Errors
    /// When it ends otherwise, with its message.
    pub async fn succeed(&self, arguments: &[&str]) -> anyhow::Result<String> {
        let output = self.run(arguments).await?;
        ensure!(
            output.code == Some(0),
            "`{}` ended with code {:?}: {}",
            shown(arguments),
            output.code,
            output.stderr.trim()
        );
        Ok(output.stdout)
    }
}

fn shown(arguments: &[&str]) -> String {
    format!("pinerill {}", arguments.join(" "))
}
