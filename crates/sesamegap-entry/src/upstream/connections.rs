//! Open connections to upstreams, as evidence of which processes run.
//!
//! The end of an answer without a length says nothing of its upstream: a crash ends it too. But a crash ends all
//! connections of a process. One that was open beside the answer and outlives it shows that the process goes on, even if
//! it takes no further connections.

use crate::clock;
use rustc_hash::FxHashMap;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use sesamegap_wire::Moment;
use socket2::SockRef;
use std::io::{self, ErrorKind, IoSlice};
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that are read at once.
const READ_BYTES: usize = 16 << 10;

/// When a connection was opened, and up to when it is known to have been open.
#[derive(Debug)]
pub struct OpenTime {
    opened: Moment,
    seen: Mutex<Moment>,
}

impl OpenTime {
    /// When the connection was last seen open.
    pub fn last_seen(&self) -> Moment {
        *self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection whose state can be looked at while its driver uses it.
#[derive(Debug)]
struct Open(TcpStream);

impl Open {
    /// Whether the other side has neither ended nor reset it, though bytes before that may still be unread.
    fn is_open(&self) -> bool {
        let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut polled = [PollFd::new(&self.0, PollFlags::RDHUP)];
        let count = poll(&mut polled, Some(&Timespec::default()));
        count.is_ok() && !polled[0].revents().intersects(ends)
    }
}

/// Looks at a connection without keeping it open.
#[derive(Debug, Clone)]
pub struct Watch {
    open: Weak<Open>,
    time: Arc<OpenTime>,
}

impl Watch {
    /// Looks whether the connection is open, and records it if so.
    pub fn look(&self) -> bool {
        let now = clock::now();
        let is_open = self.open.upgrade().is_some_and(|open| open.is_open());
        if is_open {
            *self
                .time
                .seen
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = now;
        }
        is_open
    }

    /// Up to when the connection is known to have been open.
    pub fn time(&self) -> Arc<OpenTime> {
        Arc::clone(&self.time)
    }
}

/// The connections of this process to upstreams.
#[derive(Debug, Clone, Default)]
pub struct OpenConnections(Arc<Mutex<FxHashMap<SocketAddr, Vec<Watch>>>>);

impl OpenConnections {
    fn lock(&self) -> MutexGuard<'_, FxHashMap<SocketAddr, Vec<Watch>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, addr: SocketAddr, watch: Watch) {
        self.lock().entry(addr).or_default().push(watch);
    }

    fn remove(&self, addr: SocketAddr, time: &Arc<OpenTime>) {
        let mut all = self.lock();
        if let Some(known) = all.get_mut(&addr) {
            known.retain(|watch| !Arc::ptr_eq(&watch.time, time));
            if known.is_empty() {
                all.remove(&addr);
            }
        }
    }

    /// Whether a connection is open now that the process accepted that also answered on another one.
    ///
    /// An address belongs to one process at a time, so the two have the same if both were open at one moment. Until
    /// `settle` after it was opened, a connection may wait to be accepted, and be left to a process that takes over.
    pub fn has_survivor(&self, addr: SocketAddr, answer: &OpenTime, settle: Duration) -> bool {
        let known = self.lock().get(&addr).cloned().unwrap_or_default();
        let mut beside = known.iter().filter(|watch| {
            let is_answer = std::ptr::eq(Arc::as_ptr(&watch.time), answer);
            !is_answer && watch.time.opened + settle <= answer.last_seen()
        });
        beside.any(Watch::look)
    }
}

/// A connection in [`OpenConnections`] until it is dropped.
#[derive(Debug)]
struct Listing {
    all: OpenConnections,
    addr: SocketAddr,
    time: Arc<OpenTime>,
}

impl Drop for Listing {
    fn drop(&mut self) {
        self.all.remove(self.addr, &self.time);
    }
}

/// The bytes of a connection that can be watched.
#[derive(Debug)]
pub(super) struct WatchedStream {
    open: Arc<Open>,
    _listing: Option<Listing>,
}

impl WatchedStream {
    /// Lists a connection to an upstream among `all`.
    pub(super) fn new(stream: TcpStream, all: Option<&OpenConnections>) -> (Self, Watch) {
        let now = clock::now();
        let time = Arc::new(OpenTime {
            opened: now,
            seen: Mutex::new(now),
        });
        let addr = stream.peer_addr().ok();
        let open = Arc::new(Open(stream));
        let watch = Watch {
            open: Arc::downgrade(&open),
            time: Arc::clone(&time),
        };
        let listing = all.zip(addr).map(|(all, addr)| {
            all.add(addr, watch.clone());
            let all = all.clone();
            Listing { all, addr, time }
        });
        let stream = Self {
            open,
            _listing: listing,
        };
        (stream, watch)
    }

    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.open.0.poll_write_ready(cx))?;
            match write(&self.open.0) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let count = buf.remaining().min(READ_BYTES);
        loop {
            ready!(self.open.0.poll_read_ready(cx))?;
            match self.open.0.try_read(buf.initialize_unfilled_to(count)) {
                Ok(read) => {
                    buf.advance(read);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.open.0).shutdown(Shutdown::Write))
    }
}
