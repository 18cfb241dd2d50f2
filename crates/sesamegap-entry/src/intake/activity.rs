//! What a caller's connection is doing, for bounds on idle ones and slow heads.

use crate::catalogue::Limits;
use crate::clock;
use sesamegap_wire::Moment;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// No head has begun.
const NONE: u64 = u64::MAX;

/// State of one connection, in microseconds of the process's clock.
#[derive(Debug)]
pub struct Activity {
    requests: AtomicUsize,
    idle_since: AtomicU64,
    head_since: AtomicU64,
}

/// Which bound a connection reaches next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Due {
    /// A request is being worked on.
    Busy,
    /// The connection is idle until this moment.
    Idle(Moment),
    /// A head is being sent, until this moment.
    Head(Moment),
}

impl Activity {
    /// A connection that was just opened.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            requests: AtomicUsize::new(0),
            idle_since: AtomicU64::new(clock::now().0),
            head_since: AtomicU64::new(NONE),
        })
    }

    /// A request was read; it lasts until the guard is dropped.
    pub fn begin(self: &Arc<Self>) -> Busy {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.head_since.store(NONE, Ordering::Relaxed);
        Busy(Arc::clone(self))
    }

    /// The bound that applies now.
    pub fn due(&self, limits: Limits) -> Due {
        if self.requests.load(Ordering::Relaxed) > 0 {
            return Due::Busy;
        }
        let head = self.head_since.load(Ordering::Relaxed);
        if head != NONE {
            return Due::Head(Moment(head) + limits.head_time);
        }
        Due::Idle(Moment(self.idle_since.load(Ordering::Relaxed)) + limits.idle_time)
    }

    fn read(&self) {
        if self.requests.load(Ordering::Relaxed) > 0 {
            return;
        }
        // Only the first bytes of a head start its time.
        if self.head_since.load(Ordering::Relaxed) == NONE {
            self.head_since.store(clock::now().0, Ordering::Relaxed);
        }
    }
}

impl Due {
    /// How long until the bound is reached; `recheck` while none applies.
    pub fn wait(self, recheck: Duration) -> Duration {
        match self {
            Self::Busy => recheck,
            Self::Idle(at) | Self::Head(at) => at.since(clock::now()),
        }
    }

    /// Whether the bound is reached.
    pub fn is_over(self) -> bool {
        match self {
            Self::Busy => false,
            Self::Idle(at) | Self::Head(at) => clock::now() >= at,
        }
    }
}

/// A request on the connection.
#[derive(Debug)]
pub struct Busy(Arc<Activity>);

impl Drop for Busy {
    fn drop(&mut self) {
        let now = clock::now().0;
        self.0.idle_since.store(now, Ordering::Relaxed);
        self.0.head_since.store(NONE, Ordering::Relaxed);
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A stream that notes when bytes are read.
#[derive(Debug)]
pub struct Watched<S> {
    stream: S,
    activity: Arc<Activity>,
}

impl<S> Watched<S> {
    /// Watches a stream.
    pub fn new(stream: S, activity: Arc<Activity>) -> Self {
        Self { stream, activity }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Watched<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.read();
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Watched<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
