//! Selects the addresses that callers should use.

use crate::core::{Core, Phase};
use crate::telemetry::events;
use sesamegap_policy::routing::engines::{rank, seed};
use smol_str::ToSmolStr;
use std::net::SocketAddr;
use std::time::Duration;
use tracing::info;

/// Most addresses in one answer; callers read no more.
const MAX_ADDRS: usize = 64;

/// How long callers cache an answer. Short, so that callers soon stop using a VM that died or is leaving; the cost is
/// one small locator request for about forty requests of a caller.
const TTL: Duration = Duration::from_secs(2);

/// How long callers cache an answer of a VM that does not know all others yet, or is cut off from them.
const UNSURE_TTL: Duration = Duration::from_secs(1);

/// Returns the addresses for callers, and how long to cache them.
///
/// VMs are named that were heard of, by this VM or by another one, and were not found to be gone since. A listed VM that
/// nobody heard may have left long ago: after a restart of all VMs, each names itself until the others have announced
/// themselves. It is the same on a VM that hears no other one.
pub fn answer(core: &Core) -> (Vec<SocketAddr>, Duration) {
    let port = core.settings().listen.callers.port();
    let peers = core.peers.addrs_by_status();
    let is_unsure = !peers.presumed.is_empty() || core.peers.is_cut_off();
    let counts = (
        peers.alive.len(),
        peers.presumed.len(),
        peers.suspected.len(),
    );
    let own_key = seed(core.settings().vm.as_str());
    let named = sample(peers.alive, own_key).into_iter();
    let mut addrs: Vec<SocketAddr> = named.map(|peer| SocketAddr::new(peer.ip(), port)).collect();
    // A VM that is stopping, or has no document or upstreams yet, directs callers to other VMs if there are any.
    let serves = core.is_ready() || (addrs.is_empty() && core.phase() == Phase::Serving);
    if serves {
        addrs.insert(0, core.settings().listen.callers);
    }
    if addrs.is_empty() {
        let others = sample(peers.presumed, own_key).into_iter();
        addrs = others
            .map(|peer| SocketAddr::new(peer.ip(), port))
            .collect();
    }
    if core.peers.is_answer_log_due() {
        info!(
            event = events::LOCATED,
            named = addrs.len(),
            own = serves,
            alive = counts.0,
            presumed = counts.1,
            suspected = counts.2,
            cut_off = core.peers.is_cut_off(),
            "named VMs to a caller"
        );
    }
    let ttl = if is_unsure { UNSURE_TTL } else { TTL };
    (addrs, ttl.min(core.settings().spans.answer_ttl))
}

/// Chooses the VMs to name out of those that are alive.
///
/// If every VM named the first of one order, all callers of a fleet of hundreds would use the same 64 VMs, and a failure
/// domain could take all of these with it. So each VM names others, and always the same, since callers leave connections
/// to VMs that are no longer named.
fn sample(mut addrs: Vec<SocketAddr>, own_key: u64) -> Vec<SocketAddr> {
    let count = MAX_ADDRS - 1;
    if count < addrs.len() {
        addrs.sort_by_cached_key(|addr| rank(own_key, seed(&addr.ip().to_smolstr())));
        addrs.truncate(count);
    }
    addrs
}
