//! How long to wait for an upstream before a request that may be repeated goes elsewhere.
//!
//! Load: an upstream goes dark with requests on it, or is only slow because it is full. Harm
//! prevented: callers that wait out their deadline on a dead upstream, and work thrown away on a
//! living one. Silence counts from the last byte that came from the upstream on any connection of
//! this VM, so that one long prompt does not make a busy engine look dead.

use std::time::Duration;

/// Longest silence before a first event while nothing else comes from the engine: on a calm day 99
/// of 100 first tokens of long prompts come within 0.9 to 1.2 s.
pub const FIRST_EVENT: Duration = Duration::from_millis(1_100);

/// Longest silence before a first event while the engine is heard on other connections.
pub const FIRST_EVENT_BUSY: Duration = Duration::from_millis(2_500);

/// Longest silence between events; engines pause for tens of milliseconds, preempted ones longer.
pub const NEXT_EVENT: Duration = Duration::from_millis(900);

/// Longest silence between events while the engine is heard on other connections.
pub const NEXT_EVENT_BUSY: Duration = Duration::from_secs(2);

/// How many times its objective a plain request waits before it is repeated elsewhere.
const PLAIN_OBJECTIVES: f64 = 2.5;

/// Silence that is borne on a stream.
pub fn stream(started: bool, heard: bool) -> Duration {
    match (started, heard) {
        (false, false) => FIRST_EVENT,
        (false, true) => FIRST_EVENT_BUSY,
        (true, false) => NEXT_EVENT,
        (true, true) => NEXT_EVENT_BUSY,
    }
}

/// Time that a plain request which may be repeated is given at one worker.
pub fn plain(objective: Duration) -> Duration {
    objective.mul_f64(PLAIN_OBJECTIVES)
}
