//! Files that arguments name. One that is missing or may not be used is wrong
//! input; a disk that fails is not.

use std::fs;
use std::io::{Error, ErrorKind, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use anyhow::Context;

use crate::exit::WrongInput;

/// Reads a text file.
///
/// # Errors
/// When it can't be read; the message names `step` and the file.
pub fn read_text(step: &str, path: &Path) -> anyhow::Result<String> {
    fs::read_to_string(path).map_err(|error| failure(step, path, error))
}

/// Reads a file.
///
/// # Errors
/// As [`read_text`].
pub fn read_bytes(step: &str, path: &Path) -> anyhow::Result<Vec<u8>> {
    fs::read(path).map_err(|error| failure(step, path, error))
}

/// Writes a file, over one that is there.
///
/// # Errors
/// When it can't be written; the message names `step` and the file.
pub fn write_text(step: &str, path: &Path, text: &str) -> anyhow::Result<()> {
    fs::write(path, text).map_err(|error| failure(step, path, error))
}

/// Writes a secret to a new file that only its owner can read.
///
/// # Errors
/// When the file exists or can't be written.
pub fn write_secret(path: &Path, secret: &str) -> anyhow::Result<()> {
    let written = fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path)
        .and_then(|mut file| {
            writeln!(file, "{secret}")?;
            file.sync_all()
        });
    written.map_err(|error| failure("write secret", path, error))
}

fn failure(step: &str, path: &Path, error: Error) -> anyhow::Error {
    let named = format!("{step} with {}", path.display());
    match error.kind() {
        ErrorKind::NotFound
        | ErrorKind::AlreadyExists
        | ErrorKind::PermissionDenied
        | ErrorKind::IsADirectory
        | ErrorKind::NotADirectory
        | ErrorKind::InvalidData => WrongInput(format!("{named}: {error}")).into(),
        _ => Err::<(), _>(error).context(named).unwrap_err(),
    }
}
