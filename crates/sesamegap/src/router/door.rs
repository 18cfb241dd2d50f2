//! Callers' connections: how many there may be, and how all of them end.
//!
//! A connection beyond the bound is closed at once, so that a flood of them costs neither memory
//! nor file descriptors of those that are served. When the router ends, whatever is still open is
//! cut: a connection that outlived it would be answered by a router that no longer decides.

use crate::events;
use poem::http::uri::Scheme;
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use rustix::io::ioctl_fionread;
use std::io::{ErrorKind, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// Accepts callers' connections.
pub struct Door {
    tcp: TcpAcceptor,
    room: Arc<Semaphore>,
    cut: CancellationToken,
}

impl Door {
    /// Lets in so many connections at once, until they are cut.
    pub fn new(listener: TcpListener, most: usize, cut: CancellationToken) -> Result<Self> {
        Ok(Self {
            tcp: TcpAcceptor::from_tokio(listener)?,
            room: Arc::new(Semaphore::new(most.min(Semaphore::MAX_PERMITS))),
            cut,
        })
    }
}

impl Acceptor for Door {
    type Io = Line;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.tcp.local_addr()
    }

    async fn accept(&mut self) -> Result<(Line, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let (tcp, local, remote, scheme) = self.tcp.accept().await?;
            let Ok(permit) = Arc::clone(&self.room).try_acquire_owned() else {
                continue;
            };
            // Tokens are small and must not wait for each other.
            tcp.set_nodelay(true)?;
            let line = Line {
                tcp,
                cut: Box::pin(self.cut.clone().cancelled_owned()),
                _permit: permit,
            };
            return Ok((line, local, remote, scheme));
        }
    }
}

/// One caller's connection.
pub struct Line {
    tcp: TcpStream,
    cut: Pin<Box<WaitForCancellationFutureOwned>>,
    _permit: OwnedSemaphorePermit,
}

impl Line {
    fn check(&mut self, cx: &mut Context<'_>) -> Result<()> {
        if self.cut.as_mut().poll(cx).is_ready() {
            return Err(ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

impl Drop for Line {
    /// Logs bytes that nobody will read: their caller sees a closed connection and no answer.
    fn drop(&mut self) {
        let unread = ioctl_fionread(&self.tcp).unwrap_or(0);
        if unread > 0 {
            let caller = self.tcp.peer_addr().ok();
            tracing::warn!(
                event = events::CALLER_UNREAD.number,
                caller = ?caller,
                unread,
                "connection closed with a caller's bytes unread"
            );
        }
    }
}

impl AsyncRead for Line {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        self.check(cx)?;
        Pin::new(&mut self.tcp).poll_read(cx, buf)
    }
}

impl AsyncWrite for Line {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        self.check(cx)?;
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.check(cx)?;
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}
