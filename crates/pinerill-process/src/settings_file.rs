//! A settings file that may change while the process runs.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::sleep;

/// Pause between two looks at the file: it may change without a signal.
const LOOK_PAUSE: Duration = Duration::from_secs(2);

/// A settings file that is watched. From its opening on SIGHUP does not end
/// the process.
pub struct SettingsFile {
    path: PathBuf,
    text: String,
    hang_up: Signal,
}

impl SettingsFile {
    /// Opens and reads the file. Must be called within a tokio runtime.
    ///
    /// # Errors
    /// When the file can't be read or the system refuses a signal handler.
    pub fn open(path: &Path) -> io::Result<Self> {
        Ok(SettingsFile {
            path: path.to_owned(),
            text: std::fs::read_to_string(path)?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// The text as it was last read.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Waits until the text is another one, and returns it. A file that can't
    /// be read, or not yet, is looked at again later.
    pub async fn changed(&mut self) -> &str {
        loop {
            tokio::select! {
                _ = self.hang_up.recv() => {}
                () = sleep(LOOK_PAUSE) => {}
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
