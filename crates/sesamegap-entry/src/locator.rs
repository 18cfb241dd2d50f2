//! Selects the addresses that callers should use.

use crate::core::{Core, Phase};
use std::net::SocketAddr;
use std::time::Duration;

/// Most addresses in one answer; callers read no more.
const MAX_ADDRS: usize = 64;

/// How long callers cache an answer. Short, so that callers soon stop using a VM that died or is leaving; the cost is
/// one small locator request for about forty requests of a caller.
const TTL: Duration = Duration::from_secs(2);

/// Fraction of alive VMs below which suspected VMs are named too: it is then more likely that this VM is partitioned
/// from the others.
const MIN_ALIVE_FRACTION: f64 = 0.5;

/// Returns the addresses for callers, and how long to cache them.
pub fn answer(core: &Core) -> (Vec<SocketAddr>, Duration) {
    let port = core.settings().listen.callers.port();
    let peers = core.peers.addrs_by_status();
    let mut alive = peers.alive;
    let total = alive.len() + peers.suspected.len() + 1;
    if ((alive.len() + 1) as f64) < MIN_ALIVE_FRACTION * total as f64 {
        alive.extend(peers.suspected);
    }
    let mut addrs: Vec<SocketAddr> = alive
        .iter()
        .map(|peer| SocketAddr::new(peer.ip(), port))
        .collect();
    // A VM that is stopping, or has no document or upstreams yet, directs callers to other VMs if there are any.
    let serves = core.is_ready() || (addrs.is_empty() && core.phase() == Phase::Serving);
    if serves {
        addrs.insert(0, core.settings().listen.callers);
    }
    addrs.truncate(MAX_ADDRS);
    (addrs, TTL.min(core.settings().spans.answer_ttl))
}
