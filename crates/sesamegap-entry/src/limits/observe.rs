//! What answers say of the limits of upstreams.

use crate::core::Core;
use crate::fleet::Flight;
use crate::ports::AnswerHead;
use crate::telemetry::events;
use sesamegap_policy::routing::upstream_limits::Statement;
use sesamegap_wire::Moment;
use tracing::{info, warn};

/// Records what the answer to a request says of its upstream's limit.
pub fn record_answer(core: &Core, flight: &Flight, answer_head: &AnswerHead, received: Moment) {
    let rate = match &answer_head.limit {
        None => None,
        Some(Ok(rate)) => Some(*rate),
        Some(Err(error)) => {
            if core.limits.known.lock().record_unreadable(flight.life()) {
                warn!(event = events::UPSTREAM_LIMIT, upstream = %flight.id, %error, "the limit of an upstream cannot be read");
            }
            return;
        }
    };
    let statement = Statement {
        rate,
        sent: flight.sent_at,
        received,
    };
    let change = core.limits.known.lock().observe(flight.life(), statement);
    if let Some(change) = change {
        core.limits.announce(flight.life());
        info!(event = events::UPSTREAM_LIMIT, upstream = %flight.id, ?change, "limit of an upstream");
    }
}
