//! One connection that can be cut or made mute.

use super::Shared;
use futures_util::task::AtomicWaker;
use std::io::{Error, ErrorKind, Result as IoResult};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

const LIVE: u8 = 0;
const MUTE: u8 = 1;
const CUT: u8 = 2;

/// The state of one connection.
#[derive(Debug)]
pub(crate) struct Line {
    peer: SocketAddr,
    state: AtomicU8,
    reader: AtomicWaker,
    writer: AtomicWaker,
    /// Bytes that nobody asked for, sent at the next flush.
    extra: Mutex<Vec<u8>>,
}

impl Line {
    pub(super) fn new(peer: SocketAddr) -> Self {
        Self {
            peer,
            state: AtomicU8::new(LIVE),
            reader: AtomicWaker::new(),
            writer: AtomicWaker::new(),
            extra: Mutex::default(),
        }
    }

    pub(super) fn peer(&self) -> SocketAddr {
        self.peer
    }

    pub(super) fn cut(&self) {
        self.turn(CUT);
    }

    pub(super) fn silence(&self) {
        self.turn(MUTE);
    }

    pub(super) fn append(&self, bytes: &[u8]) {
        let mut extra = self.extra.lock().unwrap_or_else(PoisonError::into_inner);
        extra.extend_from_slice(bytes);
    }

    /// Sends the extra bytes, as far as the socket takes them.
    fn send_extra(&self, mut tcp: Pin<&mut TcpStream>, cx: &mut Context<'_>) -> Poll<IoResult<()>> {
        let mut extra = self.extra.lock().unwrap_or_else(PoisonError::into_inner);
        while !extra.is_empty() {
            let sent = ready!(tcp.as_mut().poll_write(cx, &extra))?;
            extra.drain(..sent);
        }
        Poll::Ready(Ok(()))
    }

    fn turn(&self, state: u8) {
        self.state.fetch_max(state, Ordering::AcqRel);
        self.reader.wake();
        self.writer.wake();
    }

    fn state(&self) -> u8 {
        self.state.load(Ordering::Acquire)
    }
}

/// The stand-in's end of one connection.
#[derive(Debug)]
pub struct Wire {
    tcp: Option<TcpStream>,
    line: Arc<Line>,
    shared: Arc<Shared>,
}

impl Wire {
    pub(super) fn new(tcp: TcpStream, line: Arc<Line>, shared: Arc<Shared>) -> Self {
        Self {
            tcp: Some(tcp),
            line,
            shared,
        }
    }

    fn tcp(&mut self) -> IoResult<Pin<&mut TcpStream>> {
        let tcp = self.tcp.as_mut().ok_or(ErrorKind::NotConnected)?;
        Ok(Pin::new(tcp))
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<IoResult<()>> {
        self.line.reader.register(cx.waker());
        match self.line.state() {
            LIVE => self.tcp()?.poll_read(cx, buf),
            MUTE => Poll::Pending,
            _ => Poll::Ready(Err(Error::from(ErrorKind::ConnectionReset))),
        }
    }
}

impl AsyncWrite for Wire {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<IoResult<usize>> {
        self.line.writer.register(cx.waker());
        match self.line.state() {
            LIVE => self.tcp()?.poll_write(cx, buf),
            // Bytes into a connection that something between has forgotten vanish unnoticed.
            MUTE => Poll::Ready(Ok(buf.len())),
            _ => Poll::Ready(Err(Error::from(ErrorKind::BrokenPipe))),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<IoResult<()>> {
        match self.line.state() {
            LIVE => {
                let line = Arc::clone(&self.line);
                let mut tcp = self.tcp()?;
                ready!(line.send_extra(tcp.as_mut(), cx))?;
                tcp.poll_flush(cx)
            }
            _ => Poll::Ready(Ok(())),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<IoResult<()>> {
        match self.line.state() {
            MUTE => Poll::Ready(Ok(())),
            _ => self.tcp()?.poll_shutdown(cx),
        }
    }
}

impl Drop for Wire {
    /// Keeps a mute socket open, since closing it would tell the other end, and resets a cut one,
    /// since closing it would look like an end in good order.
    fn drop(&mut self) {
        let Some(tcp) = self.tcp.take() else {
            return;
        };
        match self.line.state() {
            MUTE => self.shared.keep(tcp),
            CUT => {
                if let Err(error) = tcp.set_zero_linger() {
                    tracing::debug!(%error, "a cut connection is closed and not reset");
                }
            }
            _ => {}
        }
    }
}
