//! Slopes of memory, time and message size, each measured at three sizes or more.
//!
//! Times are means over all operations of one size, on one thread, on whatever else the machine
//! does: quote ratios and slopes of one run. Memory is the growth of the process's resident set,
//! or is counted from capacities where a type tells its own; so each subject keeps what it made
//! until all its sizes are done, and runs best in a process of its own.

mod agreement;
mod chain;
mod fleet;
mod index;
mod messages;
mod placing;
mod queue;
mod upstreams;

use clap::ValueEnum;
use serde::Serialize;
use std::fmt;
use std::time::Instant;

/// What is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Subject {
    /// The index of cached blocks.
    Index,
    /// The choice of an engine.
    Placing,
    /// A request's whole way through the decider.
    Decider,
    /// Requests that wait.
    Queue,
    /// Messages between routers.
    Messages,
    /// Probes and news of membership.
    Membership,
    /// Claims on idempotency keys.
    Claims,
    /// Hashing of prompts.
    Chain,
    /// The list of upstreams on an entry VM.
    Upstreams,
}

/// One figure.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Subject.
    pub subject: &'static str,
    /// Number of things that the figure was measured with.
    pub size: usize,
    /// What the size counts.
    pub of: &'static str,
    /// What was measured.
    pub what: &'static str,
    /// The figure.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<10} {:>9} {:<8} {:<44} {:>12.3} {}",
            self.subject, self.size, self.of, self.what, self.value, self.unit
        )
    }
}

/// Gathers the figures of one subject.
#[derive(Debug)]
struct Rows {
    subject: &'static str,
    of: &'static str,
    list: Vec<Row>,
}

impl Rows {
    fn new(subject: &'static str, of: &'static str) -> Self {
        Self {
            subject,
            of,
            list: Vec::new(),
        }
    }

    fn add(&mut self, size: usize, what: &'static str, value: f64, unit: &'static str) {
        self.list.push(Row {
            subject: self.subject,
            size,
            of: self.of,
            what,
            value,
            unit,
        });
    }

    /// Adds microseconds for each of `count` operations since `start`.
    fn time(&mut self, size: usize, what: &'static str, start: Instant, count: usize) {
        let micros = start.elapsed().as_secs_f64() * 1e6;
        self.add(size, what, micros / count.max(1) as f64, "us");
    }
}

/// Resident memory of this process in bytes; 0 where the system does not tell it.
fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) * 1024.0
}

/// Measures one subject; sizes are divided by `shrink`, which a quick try sets above 1.
pub fn measure(subject: Subject, shrink: usize) -> Vec<Row> {
    let by = |sizes: &[usize]| -> Vec<usize> {
        let sizes = sizes.iter().map(|size| (size / shrink.max(1)).max(8));
        sizes.collect()
    };
    match subject {
        Subject::Index => index::measure(&by(&[120_000, 350_000, 1_000_000, 4_000_000])),
        Subject::Upstreams => upstreams::measure(&by(&[1_000, 10_000, 20_000])),
        Subject::Placing => placing::measure(&by(&[12, 120, 1_700]), by(&[20_000])[0]),
        Subject::Decider => placing::decider(&by(&[12, 120, 1_700]), by(&[20_000])[0]),
        Subject::Queue => queue::measure(&by(&[1_000, 2_000, 4_000, 8_000])),
        Subject::Messages => messages::measure(&by(&[30_000, 100_000, 300_000])),
        Subject::Membership => agreement::membership(&by(&[9, 90, 340])),
        Subject::Claims => agreement::claims(&by(&[10_000, 100_000, 1_000_000])),
        Subject::Chain => chain::measure(&by(&[65_536, 1_048_576, 4_194_304])),
    }
}
