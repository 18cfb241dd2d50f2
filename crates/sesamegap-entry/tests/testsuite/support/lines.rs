//! A log in memory.

use sesamegap_entry::telemetry::Logging;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use tracing::Subscriber;
use tracing_subscriber::EnvFilter;

/// Log lines in memory.
#[derive(Debug, Clone, Default)]
pub struct LogLines(Arc<Mutex<Vec<u8>>>);

impl LogLines {
    /// A subscriber that logs here; all lines are written once the [`Logging`] is dropped.
    pub fn subscriber(&self) -> (impl Subscriber + Send + Sync + use<>, Logging) {
        Logging::to_writer(self.clone(), EnvFilter::new("info"))
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
