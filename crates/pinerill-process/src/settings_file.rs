//! Watches a settings file and reports changes while the process runs.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::sleep;

/// Interval at which the file is read again, since it may change without a SIGHUP.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// A settings file that is watched for changes. Once it is open, SIGHUP reloads the file
/// instead of terminating the process.
pub struct SettingsFile {
    path: PathBuf,
    text: String,
    sighup: Signal,
}

impl SettingsFile {
    /// Opens and reads the file. Must be called within a tokio runtime.
    ///
    /// # Errors
    /// Returns an error if the file can't be read or the SIGHUP handler can't be installed.
    pub fn open(path: &Path) -> io::Result<Self> {
        Ok(SettingsFile {
            path: path.to_owned(),
            text: std::fs::read_to_string(path)?,
            sighup: signal(SignalKind::hangup())?,
        })
    }

    /// Returns the contents of the file as last read.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Waits until the contents have changed and returns them. If the file can't be read,
    /// logs a warning and tries again at the next interval or SIGHUP.
    pub async fn changed(&mut self) -> &str {
        loop {
            tokio::select! {
                _ = self.sighup.recv() => {}
                () = sleep(POLL_INTERVAL) => {}
            }
            match std::fs::read_to_string(&self.path) {
                Ok(text) if text != self.text => {
                    self.text = text;
                    return &self.text;
                }
                Ok(_) => {}
                Err(error) => {
                    log::warn!(event = "settings_unreadable", error:%; "");
                }
            }
        }
    }
}
