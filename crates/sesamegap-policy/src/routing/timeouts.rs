//! How long to wait for an upstream before a retryable request is sent elsewhere.
//!
//! An upstream with requests in flight may stop responding, or may only be slow because it is full, or pause: sound
//! upstreams fall silent for about a second, and most of them at once if the network does. Waiting too long makes
//! callers spend their deadline on a dead upstream; asking another one too early pays twice for work that a live one
//! has nearly done. So a silent stream is not given up: after the time given here another upstream is asked beside it,
//! and the first of the two that goes on serves the stream.
//! Silence is measured from the last byte received from the upstream on any connection of this VM, so that
//! one long prompt does not make a busy engine look dead.

use std::time::Duration;

/// Silence beyond a pause of a sound upstream, which lasts for about a second. It leaves half a second of the shortest
/// time, two seconds, after which callers give up a stream that stands still.
pub const PAUSE: Duration = Duration::from_millis(1_500);

/// Silence beyond a pause that most upstreams share: asked in vain, the others would cost a retry for each stream. It ends,
/// as engines that are lost together never go on.
pub const COMMON_PAUSE: Duration = Duration::from_millis(2_500);

/// Longest silence before the first event while the engine sends on other connections, and before the head. Prompts wait
/// that long in the queues of full engines.
pub const FIRST_EVENT_BUSY: Duration = Duration::from_millis(2_500);

/// Longest silence between events while the engine sends on other connections. It preempts the stream, which may be read
/// in again.
pub const NEXT_EVENT_BUSY: Duration = Duration::from_secs(2);

/// Time until a third upstream is asked after the second one was asked in vain. Each costs a retry.
pub const NEXT_TRY: Duration = Duration::from_millis(500);

/// Time without a byte after which an upstream with requests counts as silent beside another one. Engines that work send
/// every few tens of milliseconds.
pub const SILENT_AFTER: Duration = Duration::from_millis(500);

/// Time before the limit of a request within which its upstream may have stopped work because of the limit: the clocks and
/// timers of two machines, and the rounding of the limit to milliseconds, differ by less.
const LIMIT_TOLERANCE: Duration = Duration::from_millis(100);

/// Largest part of a request's time that is such a tolerance, as a divisor.
const LIMIT_SHARE: u32 = 10;

/// Multiple of its latency objective that a plain request waits before another worker is asked.
const PLAIN_OBJECTIVE_FACTOR: f64 = 2.5;

/// What is known of an upstream that sends nothing on a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Silence {
    /// Whether an event has arrived.
    pub started: bool,
    /// Whether the upstream sends on other connections.
    pub active_elsewhere: bool,
    /// Whether most upstreams are silent too.
    pub common: bool,
}

impl Silence {
    /// Time until another upstream is asked.
    pub fn tolerated(self) -> Duration {
        match (self.active_elsewhere, self.started) {
            (true, false) => FIRST_EVENT_BUSY,
            (true, true) => NEXT_EVENT_BUSY,
            (false, _) if self.common => COMMON_PAUSE,
            (false, _) => PAUSE,
        }
    }
}

/// Whether silence is the network's, or of a pause of all, and not that of one upstream: most of the other upstreams with
/// requests are silent too.
pub fn is_common(silent_others: usize, others: usize) -> bool {
    silent_others * 2 > others
}

/// Time that a retryable plain request waits at one worker until another one is asked beside it.
pub fn plain(objective: Duration) -> Duration {
    objective.mul_f64(PLAIN_OBJECTIVE_FACTOR)
}

/// Whether an upstream may have ended its answer because the request's time was up, `left` before that and `given` that time
/// in all.
///
/// Upstreams stop work at the limit that they are given. If only the end of the connection delimits the answer, a stream that
/// stalled until then would look complete; a sound one that ends so late is broken off for it, just before callers would
/// give it up. A share of the time bounds what a request with little time left can lose.
pub fn may_be_cut(left: Duration, given: Duration) -> bool {
    left < LIMIT_TOLERANCE.min(given / LIMIT_SHARE)
}
