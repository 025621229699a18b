//! The trace of a run, written only when asked for.

/// What becomes of the trace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Tracing {
    /// Nothing is written.
    #[default]
    Off,
    /// Lines are kept for the report.
    Keep,
    /// Lines are printed at once, so that they survive a panic.
    Print,
}

/// Collects the trace of one run.
#[derive(Debug, Default)]
pub struct Trace {
    tracing: Tracing,
    lines: Vec<String>,
}

impl Trace {
    /// An empty trace.
    pub fn new(tracing: Tracing) -> Self {
        Trace {
            tracing,
            lines: Vec::new(),
        }
    }

    /// Adds a line; `text` is only built when the trace is on.
    pub fn note(&mut self, now_ms: u64, text: impl FnOnce() -> String) {
        match self.tracing {
            Tracing::Off => {}
            Tracing::Keep => self.lines.push(format!("{now_ms:>8} {}", text())),
            Tracing::Print => println!("{now_ms:>8} {}", text()),
        }
    }

    /// The lines kept.
    pub fn into_lines(self) -> Vec<String> {
        self.lines
    }
}
