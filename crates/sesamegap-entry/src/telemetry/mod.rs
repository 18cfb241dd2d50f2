//! Log lines on standard output, bounded and never waited for.
//!
//! Lines are JSON objects. They go through a bounded queue to a thread of their own; when the
//! reader of the pipe stops, lines are dropped and counted rather than requests held up.

pub mod endpoints;
pub mod events;
pub mod metrics;

use tracing::Subscriber;
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
    /// Starts logging to standard output; `RUST_LOG` chooses the level, else `info`.
    pub fn start() -> Self {
        let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
        let (subscriber, logging) = Self::to(std::io::stdout(), filter);
        let set = tracing::subscriber::set_global_default(subscriber);
        // A test may have set up its own log, which stays.
        drop(set);
        logging
    }

    /// A log to any writer; one that blocks holds up nobody but its own thread.
    pub fn to<W>(writer: W, filter: EnvFilter) -> (impl Subscriber + Send + Sync, Self)
    where
        W: std::io::Write + Send + 'static,
    {
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(QUEUED)
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
            _guard: Some(guard),
        };
        (subscriber, logging)
    }

    /// No log at all, for tests.
    pub fn disabled() -> Self {
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
