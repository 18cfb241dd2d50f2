//! A log in memory.

use sesamegap_entry::telemetry::{LogWriter, Logging};
use std::io::{self, Write};
use std::sync::{Arc, LazyLock, Mutex};
use tracing::subscriber::NoSubscriber;
use tracing::{Dispatch, Subscriber};
use tracing_subscriber::EnvFilter;

/// Dispatchers that stay registered for the whole run.
///
/// tracing caches for each call site whether any subscriber wants it. While it knows at most one
/// dispatcher, the thread that reaches a call site first asks its own default only, without a lock. A
/// thread of a test without a subscriber would then disable the call site for the test that listens. With
/// two dispatchers, it asks all registered ones under a lock.
static PERMANENT_DISPATCHERS: LazyLock<[Dispatch; 2]> =
    LazyLock::new(|| [(); 2].map(|()| Dispatch::new(NoSubscriber::default())));

/// Keeps tests without a subscriber from disabling call sites for tests that read the log.
pub fn keep_call_sites_shared() {
    LazyLock::force(&PERMANENT_DISPATCHERS);
}

/// Log lines in memory.
#[derive(Debug, Clone, Default)]
pub struct LogLines(Arc<Mutex<Vec<u8>>>);

impl LogLines {
    /// A subscriber that logs here; all lines are written once the [`LogWriter`] is dropped.
    pub fn subscriber(&self) -> (impl Subscriber + Send + Sync + use<>, LogWriter) {
        keep_call_sites_shared();
        let filter = EnvFilter::new("info");
        let (subscriber, _, writer) = Logging::to_writer(self.clone(), filter);
        (subscriber, writer)
    }

    /// Lines with this event number.
    pub fn with_event(&self, event: u16) -> Vec<String> {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        let number = format!("\"event\":{event}");
        let lines = text.lines().filter(|line| line.contains(&number));
        lines.map(str::to_owned).collect()
    }
}

impl Write for LogLines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
