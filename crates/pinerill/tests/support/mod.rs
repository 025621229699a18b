//! Runs the built `pinerill` as a user would, with nothing of the test's own
//! environment.

#![allow(dead_code)]

pub mod cluster;

use std::path::{Path, PathBuf};
use std::process::Command;

use serde_json::Value;

/// Exit codes of the commands, as docs/OPERATIONS.md lists them.
pub mod exit {
    pub const DONE: i32 = 0;
    pub const FAILED: i32 = 1;
    pub const WRONG_INPUT: i32 = 2;
    pub const REFUSED: i32 = 3;
    pub const UNAVAILABLE: i32 = 4;
    pub const UNKNOWN: i32 = 5;
}

/// The program under test.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_pinerill");

/// How a command ended.
#[derive(Debug)]
pub struct Finished {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl Finished {
    /// Its output, when it ended with the exit code 0.
    #[track_caller]
    pub fn done(self) -> String {
        assert_eq!(self.code, exit::DONE, "{self:?}");
        assert_eq!(self.stderr, "", "nothing on standard error");
        self.stdout
    }

    /// Its output as the one JSON document that it must be.
    #[track_caller]
    pub fn json(self) -> Value {
        let text = self.done();
        serde_json::from_str(&text).unwrap_or_else(|error| panic!("{error}: {text}"))
    }

    /// Its message, when it ended with `code`. It must have printed nothing.
    #[track_caller]
    pub fn refused(self, code: i32) -> String {
        assert_eq!(self.code, code, "{self:?}");
        assert_eq!(self.stdout, "", "nothing on standard output");
        self.stderr
    }
}

/// Runs a command to its end.
pub fn pinerill(arguments: &[&str]) -> Finished {
    pinerill_in(&[], arguments)
}

/// Runs a command to its end with environment variables.
pub fn pinerill_in(environment: &[(&str, &str)], arguments: &[&str]) -> Finished {
    let output = Command::new(PROGRAM)
        .env_clear()
        .envs(environment.iter().copied())
        .args(arguments)
        .output()
        .expect("the program runs");
    Finished {
        code: output.status.code().expect("ends by itself"),
        stdout: String::from_utf8(output.stdout).expect("text"),
        stderr: String::from_utf8(output.stderr).expect("text"),
    }
}

/// A folder of a test's files, removed at its end.
pub struct Folder(tempfile::TempDir);

impl Folder {
    pub fn new() -> Self {
        Self(tempfile::tempdir().expect("a temporary folder"))
    }

    pub fn path(&self) -> &Path {
        self.0.path()
    }

    /// Path of a file that may not be there.
    pub fn file(&self, name: &str) -> PathBuf {
        self.path().join(name)
    }

    /// As [`Self::file`], as an argument.
    pub fn argument(&self, name: &str) -> String {
        self.file(name).display().to_string()
    }

    /// Writes a file; returns its path as an argument.
    pub fn write(&self, name: &str, text: &str) -> String {
        std::fs::write(self.file(name), text).expect("write");
        self.argument(name)
    }

    /// Reads a file.
    pub fn read(&self, name: &str) -> String {
        std::fs::read_to_string(self.file(name)).expect("read")
    }

    /// A message without the folder's name, which differs from run to run.
    pub fn without_path(&self, text: &str) -> String {
        text.replace(&self.path().display().to_string(), "FOLDER")
    }
}

/// Makes an operator's key in `folder`; returns the public one.
pub fn operator_key(folder: &Folder, name: &str) -> String {
    let out = folder.argument(&format!("{name}.key"));
    let printed = pinerill(&["bundle", "keygen", "--out", &out]).done();
    printed.trim().to_owned()
}
