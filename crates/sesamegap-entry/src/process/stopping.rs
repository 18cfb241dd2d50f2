//! Deadlines of a process that was asked to stop.
//!
//! VMs are stopped one after another under full traffic, with streams of several seconds. The
//! deadlines keep streams from being cut by SIGKILL, and connections from being refused to callers
//! that still use an address which the locator gave them.

use std::time::Duration;

/// How long idle connections stay open, in percent of the grace period.
///
/// Callers that got the address just before the VM announced that it leaves connect within this
/// time.
const IDLE_PERCENT: u32 = 15;

/// How long connections are accepted, in percent of the grace period.
///
/// This is longer than callers keep an address, and short enough for a stream of five seconds to
/// complete afterwards.
const ACCEPT_PERCENT: u32 = 33;

/// Part of the grace period reserved for the exit itself.
const EXIT_TIME: Duration = Duration::from_millis(300);

/// Deadlines, as time since the process was asked to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopDeadlines {
    /// Idle connections stay open until then.
    pub close_idle: Duration,
    /// Connections are accepted until then.
    pub stop_accepting: Duration,
    /// The process exits then, even with requests in flight.
    pub exit: Duration,
}

impl StopDeadlines {
    /// The deadlines for the time between SIGTERM and SIGKILL.
    pub fn new(grace: Duration) -> Self {
        Self {
            close_idle: grace * IDLE_PERCENT / 100,
            stop_accepting: grace * ACCEPT_PERCENT / 100,
            exit: grace.saturating_sub(EXIT_TIME),
        }
    }
}
