//! Log lines on standard output, bounded and never waited for.
//!
//! Lines are JSON objects. They go through a bounded queue to a thread of their own; when the
//! reader of the pipe stops, lines are dropped and counted rather than requests held up.

pub mod endpoints;
pub mod events;
pub mod metrics;

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines queued at most; at some 250 bytes a line this is about a megabyte.
const QUEUED: usize = 4_096;

/// Keeps the log going; dropping it writes what is queued.
#[derive(Debug)]
pub struct Logging {
    dropped: Option<ErrorCounter>,
    _guard: Option<WorkerGuard>,
}

impl Logging {
    /// Starts logging; `RUST_LOG` chooses the level, else `info`.
    pub fn start() -> Self {
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(QUEUED)
            .finish(std::io::stdout());
        let dropped = writer.error_counter();
        let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
        let set = tracing_subscriber::fmt()
            .json()
            .flatten_event(true)
            .with_target(false)
            .with_env_filter(filter)
            .with_writer(writer)
            .try_init();
        // A test may have set up its own log, which stays.
        drop(set);
        Self {
            dropped: Some(dropped),
            _guard: Some(guard),
        }
    }

    /// No log at all, for tests.
    pub fn none() -> Self {
        Self {
            dropped: None,
            _guard: None,
        }
    }

    /// Lines dropped so far.
    pub fn dropped(&self) -> usize {
        self.dropped.as_ref().map_or(0, ErrorCounter::dropped_lines)
    }
}
