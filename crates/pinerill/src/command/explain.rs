//! `pinerill explain`: what became of a request, from logs.

use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

use anyhow::Context;
use clap::Args;
use pinerill_process::logging::{Explanation, SourcedLine};

use crate::exit::WrongInput;

/// Arguments of `explain`.
#[derive(Args)]
pub struct ExplainArguments {
    /// The request, job, item or worker.
    id: String,
    /// Logs of processes; standard input if there are none.
    files: Vec<PathBuf>,
}

/// Prints what the logs tell of one request.
///
/// # Errors
/// When a log can't be read or nothing mentions the request.
pub fn run(arguments: ExplainArguments) -> anyhow::Result<()> {
    let mut lines = Vec::new();
    if arguments.files.is_empty() {
        read(BufReader::new(io::stdin()), "input", &mut lines).context("read standard input")?;
    }
    for path in &arguments.files {
        read_file(path, &mut lines).with_context(|| format!("read log {}", path.display()))?;
    }
    match Explanation::for_id(&arguments.id, lines) {
        Some(explanation) => {
            print!("{explanation}");
            Ok(())
        }
        None => Err(WrongInput(format!("no line mentions {}", arguments.id)).into()),
    }
}

fn read_file(path: &Path, lines: &mut Vec<SourcedLine>) -> io::Result<()> {
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    let file = std::fs::File::open(path)?;
    read(BufReader::new(file), &name, lines)
}

fn read(input: impl BufRead, name: &str, lines: &mut Vec<SourcedLine>) -> io::Result<()> {
    for text in input.split(b'\n') {
        let text = text?;
        lines.extend(SourcedLine::parse(name, &String::from_utf8_lossy(&text)));
    }
    Ok(())
}
