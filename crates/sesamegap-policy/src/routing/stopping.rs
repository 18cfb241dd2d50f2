//! What a process that was asked to stop still takes on, and until when it waits for what it has.
//!
//! VMs are stopped one after another under full traffic, with streams of several seconds. A caller may have got the VM's
//! address just before the stop, and may have opened a connection long before it. So connections are accepted for a part
//! of the grace, and what comes on them is taken by what is left of it: soon after the signal a request is taken although it
//! may run for longer than the grace, as most do not; later only if its deadline comes before the exit. What is not taken
//! is refused as not run, so that its caller goes elsewhere at once.

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

/// How long requests are taken that may not end in the grace, however long that is.
///
/// Operators bear that an answer is cut at the end of the grace if its request was sent within 3 s of the signal. The rest
/// is for a process that hears of the signal late.
const LONGEST_TRUST: Duration = Duration::from_millis(2_650);

/// Part of the grace period reserved for the exit itself.
const EXIT_TIME: Duration = Duration::from_millis(300);

/// Part of the grace period before the exit in which callers get their last answers.
const LAST_ANSWERS: Duration = Duration::from_millis(200);

/// How much of the grace is reserved for timers that are late, in multiples of the longest delay seen: the signal was
/// noticed as late, and the exit will be.
const DELAYS: u32 = 2;

/// Parts of the grace, of [`PARTS`], before which the exit never is: operators bear that an answer is cut in the last one.
const KEPT_PARTS: u32 = 5;
const PARTS: u32 = 6;

/// Deadlines, as time since the process was asked to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopDeadlines {
    /// Idle connections stay open until then.
    pub close_idle: Duration,
    /// Connections are accepted until then.
    pub stop_accepting: Duration,
    /// Requests are taken until then even if they may not end in time.
    pub trust: Duration,
    /// Requests without an answer are refused or given up then.
    pub answer: Duration,
    /// The process exits then, even with requests in flight.
    pub exit: Duration,
}

impl StopDeadlines {
    /// The deadlines for the time between SIGTERM and SIGKILL, in a process whose timers were late by up to `delay`.
    pub fn new(grace: Duration, delay: Duration) -> Self {
        let latest = grace.saturating_sub(EXIT_TIME);
        let earliest = (grace * KEPT_PARTS / PARTS).min(latest);
        let exit = latest.saturating_sub(delay * DELAYS).max(earliest);
        let stop_accepting = grace * ACCEPT_PERCENT / 100;
        Self {
            close_idle: grace * IDLE_PERCENT / 100,
            stop_accepting,
            trust: stop_accepting.min(LONGEST_TRUST),
            answer: exit.saturating_sub(LAST_ANSWERS),
            exit,
        }
    }

    /// Whether a request is taken so long after the signal, if its deadline comes after `left`.
    pub fn takes(&self, elapsed: Duration, left: Duration) -> bool {
        elapsed < self.trust || self.ends_in_time(elapsed, left)
    }

    /// Whether a request that begins so long after the signal ends before the exit, if its deadline comes after `left`.
    pub fn ends_in_time(&self, elapsed: Duration, left: Duration) -> bool {
        elapsed.saturating_add(left) <= self.answer
    }
}
