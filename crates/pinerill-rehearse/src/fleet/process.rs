//! One child process: started in its own process group, its output in a log
//! file, killed when it is dropped.

use std::fs::File;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{bail, ensure, Context};

use super::warden::Warden;

/// How often a waiting caller looks whether the process ended.
const EXIT_POLL: Duration = Duration::from_millis(10);

/// What to start.
#[derive(Clone, Debug)]
pub struct ProcessSpec {
    /// Name in messages and of the log file.
    pub name: String,
    /// The program.
    pub program: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
    /// Variables of its environment besides the kit's own.
    pub environment: Vec<(String, String)>,
    /// Folder of the log file.
    pub log_folder: PathBuf,
}

/// A signal that the kit sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Planned stop.
    Terminate,
    /// Death without a word.
    Kill,
    /// Freeze.
    Stop,
    /// End of a freeze.
    Continue,
    /// What is measured begins anew; only hollow processes understand it.
    Mark,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Self::Terminate => "TERM",
            Self::Kill => "KILL",
            Self::Stop => "STOP",
            Self::Continue => "CONT",
            Self::Mark => "USR1",
        }
    }
}

/// A process that the kit started.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    log: PathBuf,
    child: Child,
    warden: Option<Arc<Warden>>,
}

impl ChildProcess {
    /// Starts a process. Fails when its log can't be opened or the program
    /// can't be run.
    pub fn start(spec: &ProcessSpec) -> anyhow::Result<Self> {
        let log = spec.log_folder.join(format!("{}.log", spec.name));
        let output = open_log(&log)?;
        let errors = output.try_clone().context("sharing the log file")?;
        let child = Command::new(&spec.program)
            .args(&spec.arguments)
            .envs(spec.environment.iter().cloned())
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .process_group(0)
            .spawn()
            .with_context(|| format!("starting {} ({})", spec.name, spec.program.display()))?;
        Ok(Self {
            name: spec.name.clone(),
            log,
            child,
            warden: None,
        })
    }

    /// The same process, which the warden ends should the kit die.
    pub fn watched_by(mut self, warden: Arc<Warden>) -> Self {
        warden.watch(self.id());
        self.warden = Some(warden);
        self
    }

    /// Name in messages.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Process identifier.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Its log file.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Exit status, `None` while it runs.
    pub fn exit_status(&mut self) -> anyhow::Result<Option<ExitStatus>> {
        let status = self.child.try_wait();
        let status = status.with_context(|| format!("looking after {}", self.name))?;
        if status.is_some() {
            self.forget();
        }
        Ok(status)
    }

    /// Fails when it has ended, with the end of its log.
    pub fn ensure_running(&mut self) -> anyhow::Result<()> {
        match self.exit_status()? {
            None => Ok(()),
            Some(status) => bail!("{} ended with {status}; {}", self.name, log_tail(&self.log)),
        }
    }

    /// Sends a signal, by process identifier.
    pub fn signal(&mut self, signal: Signal) -> anyhow::Result<()> {
        if self.exit_status()?.is_some() {
            return Ok(());
        }
        send_signal(self.id(), signal)
            .with_context(|| format!("sending SIG{} to {}", signal.name(), self.name))
    }

    /// Waits for its end. Fails after `timeout`; it runs on then.
    pub async fn wait(&mut self, timeout: Duration) -> anyhow::Result<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.exit_status()? {
                return Ok(status);
            }
            ensure!(
                Instant::now() < deadline,
                "{} still runs after {timeout:?}; {}",
                self.name,
                log_tail(&self.log)
            );
            tokio::time::sleep(EXIT_POLL).await;
        }
    }

    fn forget(&mut self) {
        if let Some(warden) = self.warden.take() {
            warden.forget(self.id());
        }
    }

    /// Planned stop: SIGTERM, then its end with exit code 0 in `timeout`.
    pub async fn stop(&mut self, timeout: Duration) -> anyhow::Result<()> {
        self.signal(Signal::Terminate)?;
        let status = self.wait(timeout).await?;
        ensure!(
            status.success(),
            "{} ended with {status} at a planned stop; {}",
            self.name,
            log_tail(&self.log)
        );
        Ok(())
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        if let Ok(None) = self.child.try_wait() {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
        self.forget();
    }
}

/// Sends a signal to a process. The shell's `kill` does it, since the
/// workspace forbids unsafe code.
pub fn send_signal(id: u32, signal: Signal) -> anyhow::Result<()> {
    let command = format!("kill -{} {id}", signal.name());
    let status = Command::new("sh")
        .args(["-c", &command])
        .stderr(Stdio::null())
        .status()
        .context("running the shell's kill")?;
    ensure!(status.success(), "kill of process {id}: {status}");
    Ok(())
}

/// The last lines of a log, for error messages.
pub fn log_tail(log: &Path) -> String {
    const LINES: usize = 5;
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    let tail = lines[lines.len().saturating_sub(LINES)..].join("\n  ");
    format!("end of {}:\n  {tail}", log.display())
}

fn open_log(path: &Path) -> anyhow::Result<File> {
    File::options()
        .create(true)
        .append(true)
        .open(path)
        .with_context(|| format!("opening log {}", path.display()))
}
