//! Requests that wait for room, with the decider that holds them.

use super::fleet::{Requests, START};
use super::{Row, Rows, placing, resident};
use std::time::{Duration, Instant};

/// Teams whose requests wait.
const TEAMS: u64 = 200;

pub fn measure(sizes: &[usize]) -> Vec<Row> {
    let mut rows = Rows::new("queue", "requests");
    let mut kept = Vec::new();
    for size in sizes {
        let mut decider = placing::ready(1, 200);
        let mut source = Requests::new(TEAMS);
        let (before, mut took) = (resident(), Duration::ZERO);
        let mut now = START;
        for _ in 0..*size {
            now = now + Duration::from_micros(100);
            let work = source.next(now);
            let start = Instant::now();
            decider.submit(work, now);
            decider.poll(now);
            took += start.elapsed();
        }
        let micros = took.as_secs_f64() * 1e6 / *size as f64;
        rows.add(*size, "submit a request with one engine full", micros, "us");
        let grown = resident() - before;
        rows.add(
            *size,
            "resident memory of a request",
            grown / *size as f64,
            "B",
        );
        let dump = decider.dump(now);
        let waiting = dump["queue"]["requests"].as_f64().unwrap_or(-1.0);
        rows.add(*size, "requests that wait", waiting, "");
        kept.push(decider);
    }
    rows.list
}
