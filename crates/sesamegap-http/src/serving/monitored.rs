//! A caller's stream that records reads and writes, and closes with a last response.

use super::ConnectionPolicy;
use super::activity::Activity;
use bytes::{Buf, Bytes};
use rustix::io::ioctl_fionread;
use std::future::Future;
use std::io;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// Longest wait for the caller to close after the last bytes were sent to it. Closing while bytes
/// from the caller are in transit would reset the connection, and the caller would lose what it has
/// not read yet.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Size of the buffer for bytes that are discarded while waiting for the caller's close.
const DISCARD_BUFFER_BYTES: usize = 4_096;

/// A stream that records reads and writes, and can be closed between two requests.
#[derive(Debug)]
pub struct MonitoredStream<S: AsFd> {
    stream: S,
    activity: Arc<Activity>,
    closing_response: Bytes,
    /// Whether there is a closing response, which the caller needs time to read.
    has_closing_response: bool,
    linger_timer: Option<Pin<Box<Sleep>>>,
    unread_report: fn(u64),
}

impl<S: AsFd> Drop for MonitoredStream<S> {
    fn drop(&mut self) {
        let unread = self.unread();
        if unread > 0 {
            (self.unread_report)(unread);
        }
    }
}

impl<S: AsFd> MonitoredStream<S> {
    /// Wraps a stream; its caller is sent the policy's closing response if it is closed between two requests.
    pub fn new(stream: S, activity: Arc<Activity>, policy: &dyn ConnectionPolicy) -> Self {
        let closing_response = policy.closing_response();
        Self {
            stream,
            activity,
            has_closing_response: !closing_response.is_empty(),
            closing_response,
            linger_timer: None,
            unread_report: policy.unread_report(),
        }
    }

    /// Number of unread bytes in the socket's receive buffer.
    ///
    /// Asks the kernel rather than the runtime, which learns of them only at its next poll of all
    /// sockets: a process that was paused has requests that the runtime does not know of yet.
    fn unread(&self) -> u64 {
        // Nothing can be read from a socket on which this call fails.
        ioctl_fionread(&self.stream).unwrap_or(0)
    }
}

impl<S: AsyncRead + AsFd + Unpin> AsyncRead for MonitoredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.activity.is_closed() {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.record_read();
        }
        if polled.is_pending() && self.activity.checks_unread() {
            self.activity.set_unread(self.unread() > 0);
        }
        polled
    }
}

impl<S: AsyncRead + AsyncWrite + AsFd + Unpin> MonitoredStream<S> {
    /// Sends the rest of the closing response.
    fn write_closing_response(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.closing_response.has_remaining() {
            let sent = ready!(Pin::new(&mut self.stream).poll_write(cx, &self.closing_response))?;
            self.closing_response.advance(sent);
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// Waits for the caller's close, discarding what it still sends.
    fn linger(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let limit = self
            .linger_timer
            .get_or_insert_with(|| Box::pin(sleep(LINGER_TIMEOUT)));
        if limit.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        loop {
            let mut discarded = [0; DISCARD_BUFFER_BYTES];
            let mut discarded = ReadBuf::new(&mut discarded);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut discarded))?;
            if discarded.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl<S: AsyncRead + AsyncWrite + AsFd + Unpin> AsyncWrite for MonitoredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.activity.record_write(polled.is_ready());
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.activity.is_closed() {
            return Pin::new(&mut self.stream).poll_shutdown(cx);
        }
        if self.linger_timer.is_none() {
            ready!(self.write_closing_response(cx))?;
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        if !self.has_closing_response {
            return Poll::Ready(Ok(()));
        }
        self.linger(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.activity.record_write(polled.is_ready());
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
