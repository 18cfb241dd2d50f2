//! Serves a caller's connection, and closes it without losing a request.
//!
//! A server closes connections that are idle: at a bound, and when it stops. A request may come at
//! that very moment. One that lies in the socket is read and answered before the connection is
//! closed, which the usual graceful shutdown of a server does not do: it closes what it believes
//! idle, and a busy or paused process learns late what its sockets hold. A head that has begun has
//! its time to end, and an answer that is done reaches its caller first. For a request that is still on the way there is the farewell: an
//! answer sent with the close, which says that nothing sent after it is run (status 408, RFC 9110
//! section 15.5.9). Without it such a caller sees a closed connection, and cannot tell whether
//! its request ran.

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

/// Smallest buffer that hyper takes for heads, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// How often a busy connection looks at its bounds again.
const RECHECK: Duration = Duration::from_secs(5);

/// How often a connection that is to close looks whether it may: a small part of the seconds that a
/// stop takes, and seldom enough for hundreds of connections on a part of a core.
const CLOSING_RECHECK: Duration = Duration::from_millis(100);

/// Longest time for a close, with the farewell and the caller's own close, whatever the caller does.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// How a server treats its connections.
pub trait ConnectionPolicy: Send + Sync {
    /// Bounds in force now; they may change while a connection is open.
    fn bounds(&self) -> Bounds;

    /// Longest head, in bytes, of a connection that opens now.
    fn max_head_bytes(&self) -> usize;

    /// What a connection closed between two requests is sent; nothing if empty.
    fn closing_response(&self) -> Bytes {
        Bytes::new()
    }

    /// Whether a stop also closes connections on which no request has come yet.
    fn closes_unused_on_stop(&self) -> bool {
        false
    }
}

/// How a connection ended.
#[derive(Debug)]
pub enum CloseReason {
    /// Closed by the caller or by an answer that said so, or broken.
    Closed(Option<hyper::Error>),
    /// Closed by the server at a bound.
    TimedOut(Deadline),
    /// Closed by the server since it stops.
    Stopped,
}

/// Serves a connection until either end closes it; `stop` resolves when the server stops.
///
/// Answers to requests that come after that should say `connection: close` themselves.
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
    let monitored = MonitoredStream::new(stream, Arc::clone(&activity), policy.closing_response());
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
            // A caller that leaves ends the connection, and with it the request on it.
            ended = served.as_mut() => return CloseReason::Closed(ended.err()),
            () = stop.as_mut(), if !stopping => stopping = true,
            () = sleep(wait) => {}
        }
        let unused = !activity.has_received_request() && !policy.closes_unused_on_stop();
        let closes = stopping && !unused;
        if closes && activity.deadline(bounds) == Deadline::Busy {
            // Its head may have gone out before the stop. Kept after it, the connection would bring
            // a further request late in the time of the stop, and the kill would cut that one.
            served.as_mut().graceful_shutdown();
        }
        if !closes && !activity.deadline(bounds).is_past() {
            continue;
        }
        // Reads what the runtime knows of, which may be the head of a request, and looks for more.
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
        // The last bytes of an answer may still wait for a slow caller.
        if closes && matches!(deadline, Deadline::Idle(_)) && !activity.has_unsent() {
            break CloseReason::Stopped;
        }
    };
    // From here to the close of the socket nothing else runs.
    activity.close();
    drop(timeout(CLOSE_TIMEOUT, served).await);
    ended
}

/// Time until a connection's state is polled at again.
fn recheck_delay(deadline: Deadline, bounds: Bounds, stopping: bool) -> Duration {
    // A head may begin while this waits for an idle connection's end, and has less time.
    let recheck = bounds.head / 2;
    let longest = if stopping {
        recheck.min(CLOSING_RECHECK)
    } else {
        recheck
    };
    deadline.remaining(RECHECK).min(longest)
}
