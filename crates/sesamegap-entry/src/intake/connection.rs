//! One caller's connection.

use super::activity::{Activity, Watched};
use super::request;
use crate::catalogue::Limits;
use crate::core::{Core, Phase};
use crate::telemetry::events;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tracing::debug;

/// Smallest buffer that hyper takes for heads.
const LEAST_HEAD: usize = 8_192;

/// How often a busy connection looks at its bounds again.
const RECHECK: Duration = Duration::from_secs(5);

/// Bounds before the first document is in force.
const FIRST_LIMITS: Limits = Limits {
    head: 16 << 10,
    body: 1 << 20,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(10),
};

/// Bounds in force now.
pub fn limits(core: &Core) -> Limits {
    core.catalogue()
        .map_or(FIRST_LIMITS, |catalogue| catalogue.limits())
}

/// Serves a connection until either end closes it.
pub async fn serve(core: Arc<Core>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(event = events::BOUND, %error, "connection closed before it was served");
        return;
    }
    let activity = Activity::new();
    let watched = Watched::new(stream, Arc::clone(&activity));
    let service = service_fn(|request| {
        let busy = activity.begin();
        request::answer(Arc::clone(&core), request, busy)
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits(&core).head.max(LEAST_HEAD))
        .serve_connection(TokioIo::new(watched), service);
    let mut served = pin!(served);
    let mut phases = core.phases();
    let mut closing = core.phase() >= Phase::Closing;
    if closing {
        served.as_mut().graceful_shutdown();
    }
    loop {
        let limits_now = limits(&core);
        let due = activity.due(limits_now);
        // A head may begin while this waits for an idle connection's end, and has less time.
        let recheck = limits_now.head_time / 2;
        tokio::select! {
            // A caller that leaves ends the connection, and with it the request on it.
            ended = served.as_mut() => {
                if let Err(error) = ended {
                    debug!(event = events::BOUND, error = %error, "connection ended early");
                }
                return;
            }
            () = tokio::time::sleep(due.wait(RECHECK).min(recheck)) => {
                let due = activity.due(limits(&core));
                if due.is_over() {
                    debug!(event = events::BOUND, bound = ?due, "connection closed");
                    return;
                }
            }
            () = super::reached(&mut phases, Phase::Closing), if !closing => {
                closing = true;
                served.as_mut().graceful_shutdown();
            }
        }
    }
}
