//! Which peers send a request on for a VM that is partitioned from all upstreams.
//!
//! Links fail for a whole failure domain more often than for single VMs of several, so a peer in another domain is the
//! better choice, and one in the upstream's domain adds no further link between domains. The choice is random otherwise:
//! after the loss of a large domain, hundreds of VMs must not all use the same few peers.

use rand::Rng;
use rand::seq::SliceRandom;
use rustc_hash::FxHashMap;
use sesamegap_wire::Moment;
use std::hash::Hash;
use std::time::Duration;

/// Peers tried for one attempt. Each that is partitioned itself says so at once.
pub const MAX_GATEWAYS: usize = 3;

/// Peers drawn, among which those in better places are preferred; enough to find some in each of a few domains.
const DRAWN: usize = 12;

/// How long a peer that could not send a request on is not asked again.
const AVOIDANCE: Duration = Duration::from_secs(1);

/// Where a peer is, from the best place for a gateway to the worst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// In the upstream's failure domain, which is not this VM's.
    WithUpstream,
    /// In another domain, or an unknown one.
    Elsewhere,
    /// In this VM's domain.
    WithSelf,
    /// It is stopping, and cuts what is left when its grace period ends.
    Stopping,
    /// It did not answer lately; under load all peers may look so to a VM.
    Unresponsive,
}

impl Place {
    /// The place of a peer, from the domains of the peer, the upstream and this VM.
    pub fn of<D: PartialEq>(peer: Option<&D>, upstream: &D, own: &D) -> Self {
        match peer {
            Some(peer) if peer == own => Self::WithSelf,
            Some(peer) if peer == upstream => Self::WithUpstream,
            _ => Self::Elsewhere,
        }
    }
}

/// Peers that recently could not send a request on.
#[derive(Debug)]
pub struct Avoided<K>(FxHashMap<K, Moment>);

impl<K> Default for Avoided<K> {
    fn default() -> Self {
        Self(FxHashMap::default())
    }
}

impl<K: Copy + Eq + Hash> Avoided<K> {
    /// Records that a peer could not send a request on.
    pub fn avoid(&mut self, peer: K, now: Moment) {
        self.0.retain(|_, until| now < *until);
        self.0.insert(peer, now + AVOIDANCE);
    }

    /// Whether a peer is not asked at present.
    pub fn contains(&self, peer: K, now: Moment) -> bool {
        self.0.get(&peer).is_some_and(|until| now < *until)
    }

    /// Chooses the gateways for one attempt, the best first.
    pub fn choose(&self, mut peers: Vec<(K, Place)>, now: Moment, rng: &mut impl Rng) -> Vec<K> {
        peers.retain(|(peer, _)| !self.contains(*peer, now));
        let (drawn, _) = peers.partial_shuffle(rng, DRAWN);
        drawn.sort_by_key(|(_, place)| *place);
        let first = drawn.iter().take(MAX_GATEWAYS);
        first.map(|(peer, _)| *peer).collect()
    }
}
