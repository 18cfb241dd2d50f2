//! Demand that other routers report in their digests.

use rustc_hash::FxHashMap;
use sesamegap_wire::peer::Digest;
use sesamegap_wire::{Moment, TeamId, VmId};
use std::time::Duration;

/// Time without a digest after which a peer's demand is no longer counted: several missed digests.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without a digest after which a peer is removed.
const PEER_RETENTION: Duration = Duration::from_mins(1);

/// Maximum number of peers: three times the routers expected at the target deployment size.
const MAX_PEERS: usize = 1_024;

/// Maximum number of teams per peer; a longer digest is truncated.
const MAX_TEAMS_PER_PEER: usize = 256;

#[derive(Debug, Default)]
struct Peer {
    heard: Moment,
    counted: bool,
    demand: Vec<(TeamId, f64)>,
}

/// Sums the demand of each team over the other routers.
#[derive(Debug, Default)]
pub struct PeerDemand {
    peers: FxHashMap<VmId, Peer>,
    sums: FxHashMap<TeamId, f64>,
    live: usize,
    swept: Moment,
}

impl PeerDemand {
    /// Replaces the previous digest of a peer. A new peer beyond `MAX_PEERS` is ignored.
    pub fn record_digest(&mut self, vm: VmId, digest: &Digest, now: Moment) {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&vm) {
            return;
        }
        let mut peer = self.peers.remove(&vm).unwrap_or_default();
        self.stop_counting(&mut peer);
        let usable = digest.demand.iter().filter(|(_, rate)| rate.is_finite());
        let demand = usable.take(MAX_TEAMS_PER_PEER);
        peer.demand = demand.map(|(t, rate)| (t.clone(), rate.max(0.0))).collect();
        for (team, rate) in &peer.demand {
            *self.sums.entry(team.clone()).or_default() += rate;
        }
        peer.counted = true;
        peer.heard = now;
        self.live += 1;
        self.peers.insert(vm, peer);
    }

    /// Stops counting peers that have timed out and removes those past their retention. Does work
    /// only five times per `PEER_TIMEOUT`, so it may be called on each poll.
    pub fn sweep(&mut self, now: Moment) {
        if now.since(self.swept) < PEER_TIMEOUT / 5 {
            return;
        }
        self.swept = now;
        let mut peers = std::mem::take(&mut self.peers);
        for peer in peers.values_mut() {
            if peer.counted && now.since(peer.heard) > PEER_TIMEOUT {
                self.stop_counting(peer);
            }
        }
        peers.retain(|_, peer| now.since(peer.heard) <= PEER_RETENTION);
        self.peers = peers;
    }

    fn stop_counting(&mut self, peer: &mut Peer) {
        if !std::mem::take(&mut peer.counted) {
            return;
        }
        self.live -= 1;
        for (team, rate) in &peer.demand {
            if let Some(sum) = self.sums.get_mut(team) {
                *sum -= rate;
                if *sum <= f64::EPSILON * rate.max(1.0) * MAX_PEERS as f64 {
                    self.sums.remove(team);
                }
            }
        }
    }

    /// Demand of a team at the live peers.
    pub fn demand(&self, team: &TeamId) -> f64 {
        self.sums.get(team).copied().unwrap_or(0.0)
    }

    /// Number of peers whose digests are recent.
    pub fn live(&self) -> usize {
        self.live
    }

    /// Number of known peers, including those that have timed out.
    pub fn known(&self) -> usize {
        self.peers.len()
    }
}
