//! Logging to standard output, without blocking.
//!
//! Log lines are JSON objects. They go through a bounded queue to a writer thread; when the reader
//! of the pipe stops, lines are dropped and counted instead of blocking requests.

pub mod endpoints;
pub mod events;
pub mod metrics;
mod reach;

pub use reach::log_reach;

use tracing::Subscriber;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Capacity of the queue in lines; at about 250 bytes per line this is about a megabyte.
const QUEUE_LINES: usize = 4_096;

/// What is known of the log while it is written.
#[derive(Debug)]
pub struct Logging {
    dropped: Option<ErrorCounter>,
}

/// Keeps the writer thread running; dropping it writes the lines in the queue.
#[derive(Debug)]
pub struct LogWriter {
    _guard: WorkerGuard,
}

impl Logging {
    /// Starts logging to standard output, at the level in `RUST_LOG` or `info`.
    pub fn start() -> (Self, LogWriter) {
        let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
        let (subscriber, logging, writer) = Self::to_writer(std::io::stdout(), filter);
        let result = tracing::subscriber::set_global_default(subscriber);
        // Fails if a test has set its own subscriber, which then stays.
        drop(result);
        (logging, writer)
    }

    /// A subscriber that logs to a writer; a writer that blocks holds up only the writer thread.
    pub fn to_writer<W>(
        writer: W,
        filter: EnvFilter,
    ) -> (impl Subscriber + Send + Sync, Self, LogWriter)
    where
        W: std::io::Write + Send + 'static,
    {
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(QUEUE_LINES)
            .finish(writer);
        let dropped = writer.error_counter();
        let subscriber = tracing_subscriber::fmt()
            .json()
            .flatten_event(true)
            .with_target(false)
            .with_env_filter(filter)
            .with_writer(writer)
            .finish();
        let logging = Self {
            dropped: Some(dropped),
        };
        (subscriber, logging, LogWriter { _guard: guard })
    }

    /// No logging, for tests.
    pub fn disabled() -> Self {
        Self { dropped: None }
    }

    /// Number of lines dropped so far.
    pub fn dropped(&self) -> usize {
        self.dropped.as_ref().map_or(0, ErrorCounter::dropped_lines)
    }
}
