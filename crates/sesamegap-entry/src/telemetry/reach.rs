//! Logs whether this VM reaches upstreams.

use super::events;
use crate::clock;
use sesamegap_policy::routing::reachability::ReachChange;
use tracing::{info, warn};

/// Logs that this VM lost or regained the upstreams.
pub fn log_reach(change: ReachChange) {
    match change {
        ReachChange::Same => {}
        ReachChange::Lost {
            unreached,
            connected_ago,
        } => {
            let connected_ago_ms = connected_ago.map(clock::millis);
            warn!(
                event = events::REACHABILITY,
                unreached, connected_ago_ms, "this VM reaches no upstream"
            );
        }
        ReachChange::Regained { after } => {
            info!(
                event = events::REACHABILITY,
                after_ms = clock::millis(after),
                "this VM reaches upstreams again"
            );
        }
    }
}
