//! How long to wait for an upstream before a retryable request is sent elsewhere.
//!
//! An upstream with requests in flight may stop responding, or may only be slow because it is full. Waiting too
//! long makes callers spend their deadline on a dead upstream; giving up too early wastes work on a live one.
//! Silence is measured from the last byte received from the upstream on any connection of this VM, so that
//! one long prompt does not make a busy engine look dead.

use std::time::Duration;

/// Longest silence before the first event while the engine sends nothing on other connections either. On an
/// uneventful day, 99 of 100 first tokens of long prompts arrive within 0.9 to 1.2 s.
pub const FIRST_EVENT: Duration = Duration::from_millis(1_100);

/// Longest silence before the first event while the engine sends on other connections.
pub const FIRST_EVENT_BUSY: Duration = Duration::from_millis(2_500);

/// Longest silence between events. Engines pause for tens of milliseconds, and longer when preempted.
pub const NEXT_EVENT: Duration = Duration::from_millis(900);

/// Longest silence between events while the engine sends on other connections.
pub const NEXT_EVENT_BUSY: Duration = Duration::from_secs(2);

/// Multiple of its latency objective that a plain request waits before it is retried elsewhere.
const PLAIN_OBJECTIVE_FACTOR: f64 = 2.5;

/// Silence tolerated on a stream.
pub fn stream(started: bool, active_elsewhere: bool) -> Duration {
    match (started, active_elsewhere) {
        (false, false) => FIRST_EVENT,
        (false, true) => FIRST_EVENT_BUSY,
        (true, false) => NEXT_EVENT,
        (true, true) => NEXT_EVENT_BUSY,
    }
}

/// Time that a retryable plain request may take at one worker.
pub fn plain(objective: Duration) -> Duration {
    objective.mul_f64(PLAIN_OBJECTIVE_FACTOR)
}
