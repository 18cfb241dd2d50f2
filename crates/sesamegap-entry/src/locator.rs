//! Which addresses callers should use.

use crate::core::{Core, Phase};
use std::net::SocketAddr;
use std::time::Duration;

/// Addresses in one answer at most; callers read no more.
const MOST: usize = 64;

/// How long callers keep an answer: short, so that a VM that died or leaves is forgotten soon; a
/// question is one small request for some forty of theirs.
const TTL: Duration = Duration::from_secs(2);

/// Part of the known VMs below which those in doubt are named too: then it is more likely that
/// this VM is the one cut off.
const DOUBT: f64 = 0.5;

/// Addresses for callers, and how long to keep them.
pub fn answer(core: &Core) -> (Vec<SocketAddr>, Duration) {
    let port = core.settings().listen.callers.port();
    let known = core.peers.addrs_by_status();
    let mut alive = known.alive;
    let all = alive.len() + known.suspected.len() + 1;
    if ((alive.len() + 1) as f64) < DOUBT * all as f64 {
        alive.extend(known.suspected);
    }
    let mut addrs: Vec<SocketAddr> = alive
        .iter()
        .map(|peer| SocketAddr::new(peer.ip(), port))
        .collect();
    // A VM that stops, or that has no settings yet, sends callers elsewhere if it can.
    let serves = core.is_ready() || (addrs.is_empty() && core.phase() == Phase::Serving);
    if serves {
        addrs.insert(0, core.settings().listen.callers);
    }
    addrs.truncate(MOST);
    (addrs, TTL.min(core.settings().durations.answer_ttl))
}
