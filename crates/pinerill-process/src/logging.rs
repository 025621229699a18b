//! Structured logging to standard output that is rate-limited and never blocks the caller.
//!
//! Each kind of line (its field `event`, or its target if it has none) has a rate limit.
//! Suppressed lines are counted in the next line of the same kind that is written. A
//! dedicated thread writes the lines from a bounded queue: if the reader of standard output
//! is slow or stalled, lines are dropped, and requests are not delayed.

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

/// Capacity of the queue of lines to be written; further lines are dropped.
const QUEUE_CAPACITY: usize = 2_000;
/// Filter that silences libraries which log every request.
const SILENCED_LIBRARIES: &str = "rocket=off, hyper=off, hyper_util=off, reqwest=off, rustls=off";

/// Handle of the running logger. Queued lines are written when it is dropped.
pub struct Log {
    _logger: LoggerHandle,
    _writer: WorkerGuard,
}

/// Starts logging to standard output at `level`, which is a level name such as `info`.
///
/// # Errors
/// Returns an error if the level is unknown or a logger is already installed.
pub fn start(level: &str) -> Result<Log, FlexiLoggerError> {
    let (lines, writer) = NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUE_CAPACITY)
        .lossy(true)
        .thread_name("log-writer")
        .finish(std::io::stdout());
    let logger = Logger::try_with_str(format!("{level}, {SILENCED_LIBRARIES}"))?
        .log_to_writer(Box::new(BoundedWriter::new(lines)))
        .start()?;
    Ok(Log {
        _logger: logger,
        _writer: writer,
    })
}

/// Log writer that applies the rate limits and passes lines on to the queue.
struct BoundedWriter {
    started: Instant,
    dropped: ErrorCounter,
    state: Mutex<WriterState>,
}

struct WriterState {
    budget: LineBudget,
    lines: NonBlocking,
    /// Number of lines dropped by the full queue that earlier lines already reported.
    reported_dropped: usize,
}

impl BoundedWriter {
    fn new(lines: NonBlocking) -> Self {
        BoundedWriter {
            started: Instant::now(),
            dropped: lines.error_counter(),
            state: Mutex::new(WriterState {
                budget: LineBudget::default(),
                lines,
                reported_dropped: 0,
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
        if dropped > state.reported_dropped {
            let newly = dropped - state.reported_dropped;
            line::append(&mut text, "dropped", &newly.to_string());
            state.reported_dropped = dropped;
        }
        text.push('\n');
        state.lines.write_all(text.as_bytes())
    }

    fn flush(&self) -> std::io::Result<()> {
        self.state.lock().lines.flush()
    }
}
