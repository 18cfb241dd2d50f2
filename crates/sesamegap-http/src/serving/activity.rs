//! What a caller's connection is doing, for bounds on idle ones and slow heads.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// No head has begun.
const NO_HEAD: u64 = u64::MAX;

/// Bounds on how long a caller may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// For the head of a request.
    pub head: Duration,
    /// Between two requests.
    pub idle: Duration,
}

/// State of one connection, its times in microseconds since it was opened.
#[derive(Debug)]
pub struct Activity {
    opened: Instant,
    requests: AtomicUsize,
    has_request: AtomicBool,
    idle_since: AtomicU64,
    head_since: AtomicU64,
    checks_unread: AtomicBool,
    unread: AtomicBool,
    unsent: AtomicBool,
    closed: AtomicBool,
}

/// Which bound a connection reaches next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deadline {
    /// A request is being worked on.
    Busy,
    /// The connection is idle until this moment.
    Idle(Instant),
    /// A head is being sent, until this moment.
    Head(Instant),
}

impl Activity {
    /// A connection that was just opened.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            opened: Instant::now(),
            requests: AtomicUsize::new(0),
            has_request: AtomicBool::new(false),
            idle_since: AtomicU64::new(0),
            head_since: AtomicU64::new(NO_HEAD),
            checks_unread: AtomicBool::new(false),
            unread: AtomicBool::new(false),
            unsent: AtomicBool::new(false),
            closed: AtomicBool::new(false),
        })
    }

    /// A request was read; it lasts until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.has_request.store(true, Ordering::Relaxed);
        self.head_since.store(NO_HEAD, Ordering::Relaxed);
        RequestGuard(Arc::clone(self))
    }

    /// The bound that applies now.
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

    /// Whether any request came on the connection.
    pub(super) fn has_received_request(&self) -> bool {
        self.has_request.load(Ordering::Relaxed)
    }

    /// Has the stream look for unread bytes whenever it finds none ready.
    pub(super) fn start_unread_check(&self) {
        self.checks_unread.store(true, Ordering::Relaxed);
    }

    /// Goes back to reading without that look.
    pub(super) fn stop_unread_check(&self) {
        self.checks_unread.store(false, Ordering::Relaxed);
    }

    pub(super) fn checks_unread(&self) -> bool {
        self.checks_unread.load(Ordering::Relaxed)
    }

    /// Notes whether bytes lie in the socket that were not read.
    pub(super) fn set_unread(&self, unread: bool) {
        self.unread.store(unread, Ordering::Relaxed);
    }

    pub(super) fn has_unread(&self) -> bool {
        self.unread.load(Ordering::Relaxed)
    }

    /// Bytes accepted out, or did not since the caller has no room for them.
    ///
    /// An answer may be done for the server long before a slow caller has got all of it.
    pub(super) fn record_write(&self, accepted: bool) {
        self.unsent.store(!accepted, Ordering::Relaxed);
        // An answer under way needs no clock, which would be read at each event of a stream.
        if accepted && self.requests.load(Ordering::Relaxed) == 0 {
            self.idle_since.store(self.now(), Ordering::Relaxed);
        }
    }

    pub(super) fn has_unsent(&self) -> bool {
        self.unsent.load(Ordering::Relaxed)
    }

    /// Ends the connection: nothing more is read from it.
    pub(super) fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// Bytes were read.
    pub(super) fn record_read(&self) {
        self.unread.store(false, Ordering::Relaxed);
        if self.requests.load(Ordering::Relaxed) > 0 {
            return;
        }
        // Only the first bytes of a head start its time.
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
    /// How long until the bound is reached; `recheck` while none applies.
    pub fn remaining(self, recheck: Duration) -> Duration {
        match self {
            Self::Busy => recheck,
            Self::Idle(at) | Self::Head(at) => at.saturating_duration_since(Instant::now()),
        }
    }

    /// Whether the bound is reached.
    pub fn is_past(self) -> bool {
        match self {
            Self::Busy => false,
            Self::Idle(at) | Self::Head(at) => Instant::now() >= at,
        }
    }
}

/// A request on the connection.
#[derive(Debug)]
pub struct RequestGuard(Arc<Activity>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let now = self.0.now();
        self.0.idle_since.store(now, Ordering::Relaxed);
        self.0.head_since.store(NO_HEAD, Ordering::Relaxed);
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}
