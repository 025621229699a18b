//! One worker of a rehearsal.

use std::net::SocketAddr;
use std::path::PathBuf;

use super::launcher::Launcher;
use super::process::ChildProcess;
use crate::preset::{Preset, WorkerPlace};

/// Flags that all workers of a fleet get besides their own.
#[derive(Clone, Debug, Default)]
pub struct WorkerFlags(pub Vec<String>);

/// A worker that was started.
#[derive(Debug)]
pub struct RunningWorker {
    /// Where it stands.
    pub place: WorkerPlace,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its address on the platform list: its own or its relay's.
    pub listed: SocketAddr,
    /// File of its ledger; all its incarnations write to it.
    pub ledger: PathBuf,
    /// Its process.
    pub process: ChildProcess,
    arguments: Vec<String>,
}

/// Where a worker listens and what it is told.
#[derive(Clone, Debug)]
pub struct WorkerSpec<'a> {
    /// Whose worker it is.
    pub preset: &'a Preset,
    /// Where it stands.
    pub place: &'a WorkerPlace,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its address on the platform list.
    pub listed: SocketAddr,
    /// Address of the weight store.
    pub weights: SocketAddr,
    /// Further flags.
    pub flags: &'a WorkerFlags,
}

impl RunningWorker {
    /// Starts a worker.
    ///
    /// # Errors
    /// When the process does not start.
    pub fn start(launcher: &Launcher, spec: &WorkerSpec<'_>) -> anyhow::Result<Self> {
        let place = spec.place;
        let ledger = launcher.folder().join(format!("{}.ledger", place.name));
        let own_flags = [
            ("--name", place.name.clone()),
            ("--zone", place.zone.to_string()),
            ("--listen", spec.address.to_string()),
            ("--engines", place.engines.to_string()),
            ("--model", spec.preset.versioned_model()),
            ("--adapter", spec.preset.versioned_adapter()),
            ("--weights", spec.weights.to_string()),
            ("--ledger", ledger.display().to_string()),
        ];
        let mut arguments = vec!["worker".to_string()];
        for (flag, value) in own_flags {
            arguments.extend([flag.to_string(), value]);
        }
        arguments.extend(spec.flags.0.iter().cloned());
        Ok(Self {
            place: place.clone(),
            address: spec.address,
            listed: spec.listed,
            ledger,
            process: launcher.start_standin(&place.name, arguments.clone())?,
            arguments,
        })
    }

    /// Starts a worker that has ended again: a new incarnation at the same
    /// address, which writes on in the same ledger file.
    ///
    /// # Errors
    /// When the process does not start.
    pub fn restart(&mut self, launcher: &Launcher) -> anyhow::Result<()> {
        self.process = launcher.start_standin(&self.place.name, self.arguments.clone())?;
        Ok(())
    }
}
