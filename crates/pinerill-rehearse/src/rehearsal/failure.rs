//! What is left of a run that failed.

use anyhow::anyhow;

use crate::fleet::launcher::Launcher;

/// Prints the error and keeps logs and data. Returns the last line to print,
/// which names their folder.
pub fn keep_folder_of_failure(launcher: &Launcher, error: &anyhow::Error) -> anyhow::Error {
    launcher.keep_folder();
    eprintln!("failed: {error:#}");
    anyhow!("logs and data are kept in {}", launcher.folder().display())
}
