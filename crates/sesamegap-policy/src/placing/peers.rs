//! Tokens that peers have sent to engines and that are not computed yet.

use super::ring::EngineNo;
use rustc_hash::FxHashMap;
use sesamegap_wire::Moment;
use smol_str::SmolStr;
use std::time::Duration;

/// A peer that sent no digest for this long is treated as having no requests in flight.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of peers tracked, which is the largest number of routers.
const MAX_PEERS: usize = 512;

#[derive(Debug)]
struct Peer {
    at: Moment,
    waiting: Vec<(EngineNo, f64)>,
}

/// Sums the tokens waiting on each engine over all peers.
#[derive(Debug, Default)]
pub struct Peers {
    peers: FxHashMap<SmolStr, Peer>,
    sums: FxHashMap<EngineNo, f64>,
}

impl Peers {
    /// Replaces a peer's figures; returns the engines whose sum changed.
    pub fn update(
        &mut self,
        from: &str,
        waiting: Vec<(EngineNo, f64)>,
        now: Moment,
    ) -> Vec<EngineNo> {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(from) {
            return Vec::new();
        }
        let mut changed = self.forget(from);
        for (engine, tokens) in &waiting {
            *self.sums.entry(*engine).or_default() += tokens;
            changed.push(*engine);
        }
        self.peers.insert(from.into(), Peer { at: now, waiting });
        changed
    }

    /// Removes peers that have timed out; returns the engines whose sum changed.
    pub fn expire(&mut self, now: Moment) -> Vec<EngineNo> {
        let timed_out = self
            .peers
            .iter()
            .filter(|(_, p)| now.since(p.at) >= PEER_TIMEOUT);
        let timed_out: Vec<SmolStr> = timed_out.map(|(name, _)| name.clone()).collect();
        timed_out
            .iter()
            .flat_map(|name| self.forget(name))
            .collect()
    }

    /// Tokens of all peers waiting on an engine.
    pub fn sum(&self, engine: EngineNo) -> f64 {
        self.sums.get(&engine).copied().unwrap_or(0.0)
    }

    fn forget(&mut self, name: &str) -> Vec<EngineNo> {
        let Some(peer) = self.peers.remove(name) else {
            return Vec::new();
        };
        for (engine, tokens) in &peer.waiting {
            if let Some(sum) = self.sums.get_mut(engine) {
                *sum -= tokens;
            }
        }
        // A remainder below half a token is a rounding error.
        self.sums.retain(|_, sum| *sum > 0.5);
        peer.waiting.into_iter().map(|(engine, _)| engine).collect()
    }
}
