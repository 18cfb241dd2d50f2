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

/// Fraction of alive VMs below which suspected VMs are named too: it is then more likely that this VM is partitioned
/// from the others.
const MIN_ALIVE_FRACTION: f64 = 0.5;

/// Returns the addresses for callers, and how long to cache them.
pub fn answer(core: &Core) -> (Vec<SocketAddr>, Duration) {
    let port = core.settings().listen.callers.port();
    let peers = core.peers.addrs_by_status();
    let mut alive = peers.alive;
    let counts = (alive.len(), peers.presumed.len(), peers.suspected.len());
    let present = alive.len() + peers.presumed.len() + 1;
    let total = present + peers.suspected.len();
    if (present as f64) < MIN_ALIVE_FRACTION * total as f64 {
        alive.extend(peers.suspected);
    }
    let own_key = seed(core.settings().vm.as_str());
    let mut addrs: Vec<SocketAddr> = sample(alive, peers.presumed, own_key)
        .into_iter()
        .map(|peer| SocketAddr::new(peer.ip(), port))
        .collect();
    // A VM that is stopping, or has no document or upstreams yet, directs callers to other VMs if there are any.
    let serves = core.is_ready() || (addrs.is_empty() && core.phase() == Phase::Serving);
    if serves {
        addrs.insert(0, core.settings().listen.callers);
    }
    addrs.truncate(MAX_ADDRS);
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
    (addrs, TTL.min(core.settings().spans.answer_ttl))
}

/// Chooses the VMs to name out of those that are alive; those that are only presumed to be make up for missing ones.
///
/// If every VM named the first of one order, all callers of a fleet of hundreds would use the same 64 VMs, and a failure
/// domain could take all of these with it. So each VM names others, and always the same, since callers leave connections
/// to VMs that are no longer named.
fn sample(
    mut alive: Vec<SocketAddr>,
    mut presumed: Vec<SocketAddr>,
    own_key: u64,
) -> Vec<SocketAddr> {
    keep_first_ranked(&mut alive, MAX_ADDRS - 1, own_key);
    keep_first_ranked(&mut presumed, MAX_ADDRS - 1 - alive.len(), own_key);
    alive.extend(presumed);
    alive
}

fn keep_first_ranked(addrs: &mut Vec<SocketAddr>, count: usize, key: u64) {
    if count < addrs.len() {
        addrs.sort_by_cached_key(|addr| rank(key, seed(&addr.ip().to_smolstr())));
        addrs.truncate(count);
    }
}
