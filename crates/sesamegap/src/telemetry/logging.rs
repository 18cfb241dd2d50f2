//! Sets up the log of a process.

use std::io::IsTerminal;
use tracing_subscriber::EnvFilter;

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Starts logging to standard error; a second call does nothing.
///
/// `RUST_LOG` chooses what is logged, else `info` and above.
pub fn init(format: Format) {
    start(format, "info");
}

/// Starts logging of errors alone, for a program whose output is read by people.
pub fn init_quiet() {
    start(Format::Text, "error");
}

fn start(format: Format, usual: &str) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(usual));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(std::io::stderr().is_terminal());
    // A test or an enclosing program may have set up its own log, which stays.
    let set = match format {
        Format::Text => builder.try_init(),
        Format::Json => builder.json().try_init(),
    };
    drop(set);
}
