//! Structured lines on standard output, bounded and never in the way.
//!
//! Each kind of line (its field `event`, or its target) has a budget a second;
//! what is left out is counted on the next line of its kind. A writer of its
//! own takes lines from a bounded queue: a reader that is slow or stands still
//! costs lines, never a request.

mod budget;
mod explain;
mod line;

use std::io::Write;
use std::time::Instant;

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::{Level, Record};
use parking_lot::Mutex;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};

pub use budget::{Admission, LineBudget};
pub use explain::{Explanation, SourcedLine};
pub use line::Line;

/// Lines that may wait to be written.
const QUEUE_LINES: usize = 2_000;
/// Libraries that log each request.
const QUIET: &str = "rocket=off, hyper=off, hyper_util=off, reqwest=off, rustls=off";

/// A running log; what waits is written when it is dropped.
pub struct Log {
    _logger: LoggerHandle,
    _writer: WorkerGuard,
}

/// Starts logging at `level` to standard output.
///
/// # Errors
/// When the level is unknown or a logger runs already.
pub fn start(level: &str) -> Result<Log, FlexiLoggerError> {
    let (lines, writer) = NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUE_LINES)
        .lossy(true)
        .thread_name("log-writer")
        .finish(std::io::stdout());
    let logger = Logger::try_with_str(format!("{level}, {QUIET}"))?
        .log_to_writer(Box::new(BoundedWriter::new(lines)))
        .start()?;
    Ok(Log {
        _logger: logger,
        _writer: writer,
    })
}

struct BoundedWriter {
    started: Instant,
    dropped: ErrorCounter,
    state: Mutex<WriterState>,
}

struct WriterState {
    budget: LineBudget,
    lines: NonBlocking,
    /// Lines lost at the queue that were told already.
    told_dropped: usize,
}

impl BoundedWriter {
    fn new(lines: NonBlocking) -> Self {
        BoundedWriter {
            started: Instant::now(),
            dropped: lines.error_counter(),
            state: Mutex::new(WriterState {
                budget: LineBudget::default(),
                lines,
                told_dropped: 0,
            }),
        }
    }
}

impl LogWriter for BoundedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let now_ms = self.started.elapsed().as_millis() as u64;
        let mut state = self.state.lock();
        let kind = line::kind(record);
        let Admission::Write { left_out } =
            state
                .budget
                .admit(&kind, record.level() <= Level::Warn, now_ms)
        else {
            return Ok(());
        };
        let mut text = line::format(&now.format_rfc3339(), record);
        if left_out > 0 {
            line::append(&mut text, "left_out", &left_out.to_string());
        }
        let dropped = self.dropped.dropped_lines();
        if dropped > state.told_dropped {
            let newly = dropped - state.told_dropped;
            line::append(&mut text, "dropped", &newly.to_string());
            state.told_dropped = dropped;
        }
        text.push('\n');
        state.lines.write_all(text.as_bytes())
    }

    fn flush(&self) -> std::io::Result<()> {
        self.state.lock().lines.flush()
    }
}
