//! Starts the processes of one rehearsal, in one folder, under one warden.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use anyhow::{ensure, Context};
use parking_lot::Mutex;
use tempfile::TempDir;

use super::process::{ChildProcess, ProcessSpec};
use super::warden::Warden;

/// Variable of the environment with the fail points of a process.
const FAIL_POINTS: &str = "FAILPOINTS";
/// Folder of the logs in a rehearsal's folder.
const LOG_FOLDER: &str = "logs";

/// Starts processes and keeps their logs and data in one folder.
#[derive(Debug)]
pub struct Launcher {
    path: PathBuf,
    /// Removes the folder when dropped, unless it is kept.
    folder: Mutex<TempDir>,
    warden: Arc<Warden>,
    kit: PathBuf,
    environment: Vec<(String, String)>,
}

impl Launcher {
    /// A launcher with a new folder. Fails when it can't be made.
    pub fn new(name: &str) -> anyhow::Result<Self> {
        let kit = std::env::current_exe().context("finding the kit's executable")?;
        Self::with_kit(name, kit)
    }

    /// A launcher for the kit's executable at `kit`.
    pub fn with_kit(name: &str, kit: PathBuf) -> anyhow::Result<Self> {
        let folder = tempfile::Builder::new()
            .prefix(&format!("pinerill-{name}-"))
            .tempdir()
            .context("making a folder for logs and data")?;
        std::fs::create_dir(folder.path().join(LOG_FOLDER)).context("making the log folder")?;
        let warden = Arc::new(Warden::start(&kit)?);
        Ok(Self {
            path: folder.path().to_path_buf(),
            folder: Mutex::new(folder),
            warden,
            kit,
            environment: Vec::new(),
        })
    }

    /// The same, with deliberate defects in the processes that it starts; a
    /// program that was built without fail points has none.
    pub fn with_defect(mut self, fail_points: &str) -> Self {
        let variable = (FAIL_POINTS.to_owned(), fail_points.to_owned());
        self.environment.push(variable);
        self
    }

    /// The folder of logs and data; removed at the end unless kept.
    pub fn folder(&self) -> &Path {
        &self.path
    }

    /// Keeps the folder, for whoever looks into a failure.
    pub fn keep_folder(&self) {
        self.folder.lock().disable_cleanup(true);
    }

    /// Starts a stand-in.
    pub fn start_standin(
        &self,
        name: &str,
        arguments: Vec<String>,
    ) -> anyhow::Result<ChildProcess> {
        let standin = std::iter::once("standin".to_string());
        self.start(name, &self.kit, standin.chain(arguments).collect())
    }

    /// Starts a program.
    pub fn start(
        &self,
        name: &str,
        program: &Path,
        arguments: Vec<String>,
    ) -> anyhow::Result<ChildProcess> {
        let spec = ProcessSpec {
            name: name.to_string(),
            program: program.to_path_buf(),
            arguments,
            environment: self.environment.clone(),
            log_folder: self.path.join(LOG_FOLDER),
        };
        Ok(ChildProcess::start(&spec)?.watched_by(self.warden.clone()))
    }

    /// The `pinerill` executable, which stands beside the kit's own. Fails
    /// when it is not there.
    pub fn pinerill(&self) -> anyhow::Result<PathBuf> {
        let path = self.kit.with_file_name("pinerill");
        ensure!(
            path.is_file(),
            "there is no {}: build the whole workspace first",
            path.display()
        );
        Ok(path)
    }
}
