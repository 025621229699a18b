//! A process that ends the kit's children when the kit dies without a word.
//!
//! It reads process identifiers from its standard input and, when that ends,
//! kills those that are left, by identifier.

use std::collections::BTreeSet;
use std::io::{BufRead, Write};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};

use anyhow::Context;
use parking_lot::Mutex;

use super::process::{send_signal, Signal};

/// The warden as the kit sees it.
#[derive(Debug)]
pub struct Warden {
    child: Mutex<Child>,
    input: Mutex<Option<ChildStdin>>,
}

impl Warden {
    /// Starts the warden: `program` is the kit's own executable.
    pub fn start(program: &Path) -> anyhow::Result<Self> {
        let mut child = Command::new(program)
            .args(["standin", "warden"])
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .process_group(0)
            .spawn()
            .context("starting the warden")?;
        let input = child.stdin.take();
        Ok(Self {
            child: Mutex::new(child),
            input: Mutex::new(input),
        })
    }

    /// Looks after a process from now on.
    pub fn watch(&self, id: u32) {
        self.tell('+', id);
    }

    /// No longer looks after a process: it has ended.
    pub fn forget(&self, id: u32) {
        self.tell('-', id);
    }

    fn tell(&self, sign: char, id: u32) {
        if let Some(input) = self.input.lock().as_mut() {
            // A warden that died can't be told anything; the kit's own drops remain.
            let _ = writeln!(input, "{sign}{id}");
        }
    }
}

impl Drop for Warden {
    fn drop(&mut self) {
        self.input.lock().take();
        let _ = self.child.lock().wait();
    }
}

/// The warden's own work: reads until the end of its input, then kills.
pub fn run() -> anyhow::Result<()> {
    let mut watched = BTreeSet::new();
    for line in std::io::stdin().lock().lines() {
        let Ok(line) = line else {
            break;
        };
        apply(&mut watched, &line);
    }
    for id in watched {
        // It may have ended meanwhile.
        let _ = send_signal(id, Signal::Kill);
    }
    Ok(())
}

fn apply(watched: &mut BTreeSet<u32>, line: &str) {
    let Some((sign, id)) = line.split_at_checked(1) else {
        return;
    };
    let Ok(id) = id.parse() else {
        return;
    };
    match sign {
        "+" => {
            watched.insert(id);
        }
        _ => {
            watched.remove(&id);
        }
    }
}
