//! Callers' connections: how many there may be, how each is served, and how all of them end.
//!
//! A connection beyond the bound is closed at once, so that a flood of them costs neither memory
//! nor file descriptors of those that are served. When the router ends, whatever is still open is
//! cut: a connection that outlived it would be answered by a router that no longer decides.
//!
//! poem's server closes idle connections without a look at what lies in their sockets, so
//! connections are served by [`serving`], and poem's endpoints answer their requests.

use super::callers::ApiError;
use super::core::Core;
use super::phase::Phase;
use crate::events;
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use hyper::body::{Body, Incoming};
use hyper::{Request, Response};
use poem::Endpoint;
use poem::endpoint::BoxEndpoint;
use poem::http::StatusCode;
use poem::http::header::{CONNECTION, HeaderValue};
use poem::http::uri::Scheme;
use poem::web::{LocalAddr, RemoteAddr};
use rustix::io::ioctl_fionread;
use sesamegap_http::serving::{
    self, Bounds, ClosedOnStop, ConnectionPolicy, RequestGuard, guard_body,
};
use std::io::Result;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Idle connections are closed after this, so that a caller that sends half a request and stops
/// cannot hold one for good; longer than any class waits for a whole answer.
const IDLE: Duration = Duration::from_mins(10);

/// Longest head of a request, in bytes: what `hyper` allows where nothing is said.
const LONGEST_HEAD: usize = 400 << 10;

/// Time for the last bytes to reach callers once every request is done.
const FLUSH: Duration = Duration::from_secs(5);

/// Time in which a router that closes still takes the connections that wait at its port; closing
/// it would reset them, with the requests that their callers have sent. It is the time of all of
/// them, since callers that keep coming would hold the port open.
const LAST_ACCEPT: Duration = Duration::from_millis(20);

/// Pause after a failed accept, which mostly means that descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The port at which callers come.
#[derive(Debug)]
pub struct Door {
    core: Arc<Core>,
    listener: TcpListener,
    room: Arc<Semaphore>,
    close: CancellationToken,
    open: TaskTracker,
}

impl Door {
    /// Lets callers in until `close` is cancelled; the core's own end cuts all of them.
    pub fn new(core: Arc<Core>, listener: TcpListener, close: CancellationToken) -> Self {
        let most = core.config.bounds.connections.min(Semaphore::MAX_PERMITS);
        Self {
            core,
            listener,
            room: Arc::new(Semaphore::new(most)),
            close,
            open: TaskTracker::new(),
        }
    }

    /// Serves until the door is closed and all connections have ended.
    pub async fn run(self, app: BoxEndpoint<'static>) {
        let app = Arc::new(app);
        loop {
            tokio::select! {
                () = self.close.cancelled() => break,
                accepted = self.listener.accept() => self.take(&app, accepted).await,
            }
        }
        let last = Instant::now() + LAST_ACCEPT;
        while let Ok(accepted) = timeout_at(last, self.listener.accept()).await {
            self.take(&app, accepted).await;
        }
        drop(self.listener);
        self.open.close();
        // Whoever has not read its answer by then is cut at the router's end.
        drop(timeout(FLUSH, self.open.wait()).await);
    }

    async fn take(&self, app: &App, accepted: Result<(TcpStream, SocketAddr)>) {
        let (tcp, caller) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::warn!(event = events::ACCEPT_FAILED.number, %error, "accept failed");
                sleep(ACCEPT_PAUSE).await;
                return;
            }
        };
        let Ok(permit) = Arc::clone(&self.room).try_acquire_owned() else {
            return;
        };
        let line = Line {
            tcp,
            _permit: permit,
        };
        let (core, app) = (Arc::clone(&self.core), Arc::clone(app));
        let (close, cut) = (self.close.clone(), self.core.cut.clone());
        let served = async move { serve(core, app, line, caller, close).await };
        self.open
            .spawn(async move { cut.run_until_cancelled(served).await });
    }
}

/// What answers requests.
type App = Arc<BoxEndpoint<'static>>;

/// Serves one connection to its end.
async fn serve(
    core: Arc<Core>,
    app: App,
    line: Line,
    caller: SocketAddr,
    close: CancellationToken,
) {
    // Tokens are small and must not wait for each other.
    if let Err(error) = line.tcp.set_nodelay(true) {
        tracing::debug!(event = events::CALLER_GONE.number, %error, %caller, "connection ended early");
        return;
    }
    let local = line.tcp.local_addr().unwrap_or(caller);
    let answer = |request, busy| {
        answer(
            Arc::clone(&core),
            Arc::clone(&app),
            request,
            busy,
            (local, caller),
        )
    };
    let terms = RouterTerms;
    let ended = serving::serve(line, &terms, answer, close.cancelled()).await;
    if let serving::CloseReason::Closed(Some(error)) = ended {
        tracing::debug!(event = events::CALLER_GONE.number, %error, %caller, "connection ended early");
    }
}

/// Answers one request; the guard lasts as long as the answer's body.
async fn answer(
    core: Arc<Core>,
    app: App,
    request: Request<Incoming>,
    busy: RequestGuard,
    (local, caller): (SocketAddr, SocketAddr),
) -> Response<impl Body<Data = Bytes, Error = std::io::Error>> {
    let request = poem::Request::from((
        request,
        LocalAddr(local.into()),
        RemoteAddr(caller.into()),
        Scheme::HTTP,
    ));
    let response = app.get_response(request).await;
    let mut response: Response<BoxBody<Bytes, std::io::Error>> = response.into();
    // A caller of a router that leaves goes elsewhere with its next request. Were its connection
    // kept, the next request could meet the close.
    if core.phases.now() >= Phase::Leaving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response.map(|body| guard_body(body, busy))
}

/// How callers' connections are treated.
#[derive(Debug)]
struct RouterTerms;

impl ConnectionPolicy for RouterTerms {
    fn bounds(&self) -> Bounds {
        Bounds {
            head: IDLE,
            idle: IDLE,
        }
    }

    fn max_head_bytes(&self) -> usize {
        LONGEST_HEAD
    }

    /// The answer to a request that is on its way while its connection is closed.
    fn closing_response(&self) -> Bytes {
        let message =
            "the connection was idle and is closed; what came after its last answer was not run";
        let error = ApiError::not_run(StatusCode::REQUEST_TIMEOUT, "closing", message);
        let body = error.body().to_string();
        let length = body.len();
        Bytes::from(format!(
            "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
        ))
    }

    fn closes_on_stop(&self) -> ClosedOnStop {
        ClosedOnStop::Unused
    }
}

/// One caller's connection.
#[derive(Debug)]
struct Line {
    tcp: TcpStream,
    _permit: OwnedSemaphorePermit,
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

impl AsFd for Line {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.tcp.as_fd()
    }
}

impl AsyncRead for Line {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.tcp).poll_read(cx, buf)
    }
}

impl AsyncWrite for Line {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}
