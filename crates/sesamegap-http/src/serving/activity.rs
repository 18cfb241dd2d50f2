//! Activity of a caller's connection, for timeouts on idle connections and slow request heads.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Marks that no head is being received.
const NO_HEAD: u64 = u64::MAX;

/// Timeouts for a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// For receiving a request head.
    pub head: Duration,
    /// Between two requests.
    pub idle: Duration,
}

/// State of one connection; times are in microseconds since it was opened.
#[derive(Debug)]
pub struct Activity {
    opened: Instant,
    requests: AtomicUsize,
    received: AtomicUsize,
    idle_since: AtomicU64,
    head_since: AtomicU64,
    checks_unread: AtomicBool,
    unread: AtomicBool,
    unsent: AtomicBool,
    closed: AtomicBool,
}

/// The timeout that applies to a connection now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deadline {
    /// None, since a request is in progress.
    Busy,
    /// The connection is idle and times out at this instant.
    Idle(Instant),
    /// A request head is being received and times out at this instant.
    Head(Instant),
}

impl Activity {
    /// Starts the record of a newly opened connection.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            opened: Instant::now(),
            requests: AtomicUsize::new(0),
            received: AtomicUsize::new(0),
            idle_since: AtomicU64::new(0),
            head_since: AtomicU64::new(NO_HEAD),
            checks_unread: AtomicBool::new(false),
            unread: AtomicBool::new(false),
            unsent: AtomicBool::new(false),
            closed: AtomicBool::new(false),
        })
    }

    /// Records a request, which is in progress until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let number = self.received.fetch_add(1, Ordering::Relaxed) + 1;
        self.head_since.store(NO_HEAD, Ordering::Relaxed);
        RequestGuard {
            activity: Arc::clone(self),
            number,
        }
    }

    /// Returns the timeout that applies now.
    pub fn deadline(&self, bounds: Bounds) -> Deadline {
        if self.requests.load(Ordering::Relaxed) > 0 {
            return Deadline::Busy;
        }
        let head = self.head_since.load(Ordering::Relaxed);
        if head != NO_HEAD {
            return Deadline::Head(self.instant(head) + bounds.head);
        }
        Deadline::Idle(self.instant(self.idle_since.load(Ordering::Relaxed)) + bounds.idle)
    }

    /// How long the connection has been open.
    pub(super) fn age(&self) -> Duration {
        self.opened.elapsed()
    }

    /// Whether the connection has received any request.
    pub(super) fn has_received_request(&self) -> bool {
        self.received.load(Ordering::Relaxed) > 0
    }

    /// Makes the stream check the socket for unread bytes whenever a read is pending.
    pub(super) fn start_unread_check(&self) {
        self.checks_unread.store(true, Ordering::Relaxed);
    }

    /// Ends these checks.
    pub(super) fn stop_unread_check(&self) {
        self.checks_unread.store(false, Ordering::Relaxed);
    }

    pub(super) fn checks_unread(&self) -> bool {
        self.checks_unread.load(Ordering::Relaxed)
    }

    /// Records whether the socket holds unread bytes.
    pub(super) fn set_unread(&self, unread: bool) {
        self.unread.store(unread, Ordering::Relaxed);
    }

    pub(super) fn has_unread(&self) -> bool {
        self.unread.load(Ordering::Relaxed)
    }

    /// Records whether the socket accepted a write or its send buffer was full.
    ///
    /// A response may be complete for the server long before a slow caller has received all of it.
    pub(super) fn record_write(&self, accepted: bool) {
        self.unsent.store(!accepted, Ordering::Relaxed);
        // Skips reading the clock for every event of a streamed response.
        if accepted && self.requests.load(Ordering::Relaxed) == 0 {
            self.idle_since.store(self.now(), Ordering::Relaxed);
        }
    }

    pub(super) fn has_unsent(&self) -> bool {
        self.unsent.load(Ordering::Relaxed)
    }

    /// Marks the connection as closed: nothing more is read from it.
    pub(super) fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// Records that bytes were read.
    pub(super) fn record_read(&self) {
        self.unread.store(false, Ordering::Relaxed);
        if self.requests.load(Ordering::Relaxed) > 0 {
            return;
        }
        // Only the first bytes of a head start its timeout.
        if self.head_since.load(Ordering::Relaxed) == NO_HEAD {
            self.head_since.store(self.now(), Ordering::Relaxed);
        }
    }

    fn now(&self) -> u64 {
        u64::try_from(self.opened.elapsed().as_micros()).unwrap_or(NO_HEAD - 1)
    }

    fn instant(&self, micros: u64) -> Instant {
        self.opened + Duration::from_micros(micros)
    }
}

impl Deadline {
    /// Time until the timeout; `recheck` while none applies.
    pub fn remaining(self, recheck: Duration) -> Duration {
        match self {
            Self::Busy => recheck,
            Self::Idle(at) | Self::Head(at) => at.saturating_duration_since(Instant::now()),
        }
    }

    /// Whether the timeout has expired.
    pub fn is_past(self) -> bool {
        match self {
            Self::Busy => false,
            Self::Idle(at) | Self::Head(at) => Instant::now() >= at,
        }
    }
}

/// Marks a request as in progress on its connection until dropped.
#[derive(Debug)]
pub struct RequestGuard {
    activity: Arc<Activity>,
    number: usize,
}

impl RequestGuard {
    /// Number of the request on its connection, from 1.
    pub fn number(&self) -> usize {
        self.number
    }

    /// When the connection was opened.
    pub fn opened(&self) -> Instant {
        self.activity.opened
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let activity = &self.activity;
        activity.idle_since.store(activity.now(), Ordering::Relaxed);
        activity.head_since.store(NO_HEAD, Ordering::Relaxed);
        activity.requests.fetch_sub(1, Ordering::Relaxed);
    }
}
