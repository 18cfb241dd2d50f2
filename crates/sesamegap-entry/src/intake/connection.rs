//! One caller's connection.

use super::request;
use crate::catalogue::Limits;
use crate::core::{Core, Phase};
use crate::telemetry::events;
use sesamegap_http::serving::{self, Bounds, CloseReason, ConnectionPolicy};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tracing::debug;

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
}

/// Serves a connection until either end closes it.
pub async fn serve(core: Arc<Core>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(event = events::BOUND, %error, "connection closed before it was served");
        return;
    }
    let mut phases = core.phases();
    let closing = super::reached(&mut phases, Phase::Closing);
    let answer = |request, busy| request::answer(Arc::clone(&core), request, busy);
    match serving::serve(stream, core.as_ref(), answer, closing).await {
        CloseReason::Closed(Some(error)) => {
            debug!(event = events::BOUND, %error, "connection ended early");
        }
        CloseReason::TimedOut(due) => {
            debug!(event = events::BOUND, bound = ?due, "connection closed");
        }
        CloseReason::Closed(None) | CloseReason::Stopped => {}
    }
}
