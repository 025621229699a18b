//! Standard output of the commands. A reader that has gone away is an error
//! like any other, not a panic.

use std::fmt::Display;
use std::io::Write;

use anyhow::Context;

/// Prints a line.
///
/// # Errors
/// When standard output takes nothing more.
pub fn line(text: impl Display) -> anyhow::Result<()> {
    bytes(format!("{text}\n").as_bytes())
}

/// Prints text as it is.
///
/// # Errors
/// When standard output takes nothing more.
pub fn bytes(bytes: &[u8]) -> anyhow::Result<()> {
    let mut stdout = std::io::stdout().lock();
    stdout
        .write_all(bytes)
        .and_then(|()| stdout.flush())
        .context("write with standard output")
}
