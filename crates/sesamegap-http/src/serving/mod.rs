//! Serves a caller's connection and closes it without losing a request.
//!
//! A server closes idle connections after a timeout and when it stops, and a request may arrive at
//! that moment. A request already in the socket's receive buffer is read and answered before the
//! connection is closed. The usual graceful shutdown of a server does not do this: it closes the
//! connections it believes idle, and a busy or paused process learns late what its sockets hold.
//! A partly received head may still be completed within its timeout, and a finished response is
//! delivered first.
//!
//! For a request that is still in transit, the server sends a closing response (status 408, RFC
//! 9110 section 15.5.9), which says that nothing sent after it is run. Without it the caller only
//! sees a closed connection and cannot tell whether its request ran.

mod activity;
mod guarded;
mod monitored;

pub use activity::{Bounds, Deadline, RequestGuard};
pub use guarded::guard_body;

use activity::Activity;
use bytes::Bytes;
use http::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use monitored::MonitoredStream;
use std::convert::Infallible;
use std::error::Error;
use std::future::{Future, poll_fn};
use std::os::fd::AsFd;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::{sleep, timeout};

/// Smallest head buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// How often the timeouts of a busy connection are checked again.
const RECHECK: Duration = Duration::from_secs(5);

/// How often a connection is checked for whether it can close once the server stops: short compared
/// with the seconds that a stop takes, and rare enough for hundreds of connections on a fraction of
/// a core.
const CLOSING_RECHECK: Duration = Duration::from_millis(100);

/// Time after which a stop may close a connection that has not received anything: its request may be on the way.
const UNUSED_TIME: Duration = Duration::from_millis(200);

/// Longest time for a close, including the closing response and the wait for the caller's close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeouts, limits and shutdown rules of a server's connections.
pub trait ConnectionPolicy: Send + Sync {
    /// Current timeouts; they may change while a connection is open.
    fn bounds(&self) -> Bounds;

    /// Largest request head, in bytes, for a connection that opens now.
    fn max_head_bytes(&self) -> usize;

    /// Bytes sent when the server closes a connection between two requests; empty for none.
    fn closing_response(&self) -> Bytes {
        Bytes::new()
    }

    /// Told of the bytes that a connection has received and nobody will read, when it is closed.
    fn unread_report(&self) -> fn(u64) {
        |_| {}
    }

    /// Which connections a server that stops closes now; it may close more later.
    fn closes_on_stop(&self) -> ClosedOnStop {
        ClosedOnStop::Idle
    }
}

/// Connections that a stopping server closes, each value more of them. One with a request in progress ends with its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClosedOnStop {
    /// Those between two requests.
    Idle,
    /// Those too that have not received anything.
    Unused,
    /// Those too that have received a part of a request head.
    Incomplete,
}

impl ClosedOnStop {
    /// Whether it includes a connection with this deadline.
    fn includes(self, deadline: Deadline, is_used: bool) -> bool {
        match deadline {
            Deadline::Busy => true,
            Deadline::Idle(_) => is_used || self >= Self::Unused,
            Deadline::Head(_) => self >= Self::Incomplete,
        }
    }
}

/// Why a connection was closed.
#[derive(Debug)]
pub enum CloseReason {
    /// Closed by the caller or by a response with `connection: close`, or broken.
    Closed(Option<hyper::Error>),
    /// Closed by the server at a timeout.
    TimedOut(Deadline),
    /// Closed by the server because it stops.
    Stopped,
}

/// Serves a connection until either end closes it; `stop` resolves when the server stops.
///
/// Responses to later requests should set `connection: close` themselves.
pub async fn serve<S, F, A, B>(
    stream: S,
    policy: &dyn ConnectionPolicy,
    answer: F,
    stop: impl Future<Output = ()>,
) -> CloseReason
where
    S: AsyncRead + AsyncWrite + AsFd + Unpin + Send + 'static,
    F: Fn(Request<Incoming>, RequestGuard) -> A,
    A: Future<Output = Response<B>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let activity = Activity::new();
    let monitored = MonitoredStream::new(stream, Arc::clone(&activity), policy);
    let service = service_fn(|request| {
        let answered = answer(request, activity.begin_request());
        async move { Ok::<_, Infallible>(answered.await) }
    });
    let mut served = pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(policy.max_head_bytes().max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(monitored), service)
    );
    let mut stop = pin!(stop);
    let mut stopping = false;
    let ended = loop {
        let bounds = policy.bounds();
        let wait = recheck_delay(activity.deadline(bounds), bounds, stopping);
        tokio::select! {
            // A disconnect of the caller also cancels its request in progress.
            ended = served.as_mut() => return CloseReason::Closed(ended.err()),
            () = stop.as_mut(), if !stopping => stopping = true,
            () = sleep(wait) => {}
        }
        let is_closed = |deadline| {
            let is_used = activity.has_received_request();
            let is_settled = is_used || activity.age() >= UNUSED_TIME;
            stopping && is_settled && policy.closes_on_stop().includes(deadline, is_used)
        };
        if stopping && activity.deadline(bounds) == Deadline::Busy {
            // The response head may have been sent before the stop, without `connection: close`. A
            // connection kept alive could deliver another request late in the stop, which the
            // process's kill would then abort.
            served.as_mut().graceful_shutdown();
        }
        let deadline = activity.deadline(bounds);
        if !is_closed(deadline) && !deadline.is_past() {
            continue;
        }
        // Processes the bytes that the runtime knows of, which may hold a request head, and checks
        // the socket for more.
        activity.start_unread_check();
        let polled = poll_fn(|cx| Poll::Ready(served.as_mut().poll(cx))).await;
        activity.stop_unread_check();
        if let Poll::Ready(ended) = polled {
            return CloseReason::Closed(ended.err());
        }
        if activity.has_unread() {
            continue;
        }
        let deadline = activity.deadline(bounds);
        if deadline.is_past() {
            break CloseReason::TimedOut(deadline);
        }
        // The end of a response may still be unsent because the caller reads slowly.
        if deadline != Deadline::Busy && is_closed(deadline) && !activity.has_unsent() {
            break CloseReason::Stopped;
        }
    };
    // From here on the connection only closes; no request is read or run.
    activity.close();
    drop(timeout(CLOSE_TIMEOUT, served).await);
    ended
}

/// Time until the connection's state is checked again.
fn recheck_delay(deadline: Deadline, bounds: Bounds, stopping: bool) -> Duration {
    // A head may start while this waits for the idle timeout, and the head timeout may be shorter.
    let recheck = bounds.head / 2;
    let longest = if stopping {
        recheck.min(CLOSING_RECHECK)
    } else {
        recheck
    };
    deadline.remaining(RECHECK).min(longest)
}
