//! Serves the connection of a caller.

use super::request;
use crate::catalogue::Limits;
use crate::core::{Client, ConnectionGuard, Core, Phase, wait_for_phase};
use crate::telemetry::events;
use bytes::Bytes;
use sesamegap_http::serving::{self, Bounds, CloseReason, ClosedOnStop, ConnectionPolicy};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tracing::{debug, info};

/// Limits until the first document is in force.
const DEFAULT_LIMITS: Limits = Limits {
    head: 16 << 10,
    body: 1 << 20,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(10),
};

/// Sent when a connection is closed between two requests.
const CLOSING_RESPONSE: Bytes = Bytes::from_static(
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-type: text/plain\r\ncontent-length: 28\r\n\r\nconnection closed; not run\r\n",
);

/// Limits of the document in force, or the defaults.
pub fn limits(core: &Core) -> Limits {
    core.catalogue()
        .map_or(DEFAULT_LIMITS, |catalogue| catalogue.limits())
}

impl ConnectionPolicy for Core {
    fn bounds(&self) -> Bounds {
        let limits = limits(self);
        Bounds {
            head: limits.head_time,
            idle: limits.idle_time,
        }
    }

    fn max_head_bytes(&self) -> usize {
        limits(self).head
    }

    /// What is closed here was not run, which the caller of a request that is on its way could not tell otherwise.
    fn closing_response(&self) -> Bytes {
        CLOSING_RESPONSE
    }

    fn closes_on_stop(&self) -> ClosedOnStop {
        match self.phase() {
            Phase::Serving | Phase::Leaving | Phase::Closing => ClosedOnStop::Idle,
            Phase::Ended => ClosedOnStop::Unused,
            Phase::Exiting => ClosedOnStop::Incomplete,
        }
    }

    fn unread_report(&self) -> fn(u64) {
        |unread| {
            info!(
                event = events::CALLER_UNREAD,
                unread, "connection closed with a caller's bytes unread"
            );
        }
    }
}

/// Serves a connection until either side closes it.
pub async fn serve(core: Arc<Core>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(event = events::CALLER_CONNECTION, %error, "cannot set TCP_NODELAY; connection closed");
        return;
    }
    let _open = ConnectionGuard::new(&core, Client::Caller);
    let mut phases = core.subscribe_phase();
    let closing = wait_for_phase(&mut phases, Phase::Closing);
    let handle = |request, busy| request::handle(Arc::clone(&core), request, busy);
    match serving::serve(stream, core.as_ref(), handle, closing).await {
        CloseReason::Closed(Some(error)) => {
            debug!(event = events::CALLER_CONNECTION, %error, "connection closed with an error");
        }
        CloseReason::TimedOut(due) => {
            debug!(event = events::CALLER_CONNECTION, bound = ?due, "connection closed at a time limit");
        }
        CloseReason::Closed(None) | CloseReason::Stopped => {}
    }
}
