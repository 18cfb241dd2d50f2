//! Selection of the peers to probe.

use super::Members;
use super::{MemberUpdate, Status};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, RngExt};
use sesamegap_wire::{Moment, VmId};
use std::net::SocketAddr;

/// Rounds of which one probes a dead peer. Peers that are dead for good would otherwise take the probes of live ones.
const DEAD_PROBE_ROUNDS: u32 = 4;

/// Most probes in a round, while many peers are suspected. Failures come together, when a failure domain or a switch is lost,
/// and with one probe in each round it takes ten seconds until all VMs know of 34 dead ones out of 84.
const MAX_PROBES: usize = 12;

/// Suspected peers that count as a failure of many, besides one of each [`ALARM_PART`] peers: single ones are told by
/// gossip, and more probes and copies of what all know cost much in large fleets.
const ALARM_SUSPECTS: usize = 2;

/// See [`ALARM_SUSPECTS`].
const ALARM_PART: usize = 32;

/// A probe to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// VM to probe.
    pub target: VmId,
    /// Address to probe.
    pub addr: SocketAddr,
    /// Peers that can probe the target on our behalf if it does not answer us.
    pub through: Vec<SocketAddr>,
    /// Updates to send along. The one on the target comes first, so that the target can refute it.
    pub updates: Vec<MemberUpdate>,
}

impl Members {
    /// Expires overdue suspicions and selects the peer to probe in this round.
    pub fn tick(&mut self, now: Moment, rng: &mut dyn Rng) -> Option<Probe> {
        self.expire(now);
        while let Some(vm) = self.next_target(rng) {
            if let Some(addr) = self.addr_of(&vm) {
                let through = self.pick_helpers(&vm, rng);
                let known = self.peers.get(&vm).map(|peer| peer.latest.clone());
                let updates = known.into_iter().chain(self.select_updates()).collect();
                return Some(Probe {
                    target: vm,
                    addr,
                    through,
                    updates,
                });
            }
        }
        None
    }

    /// Number of peers to probe in this round: as many as are suspected, if that is a failure of many, within bounds.
    pub fn probes_due(&self) -> usize {
        if self.is_mass_failure() {
            self.suspects().clamp(1, MAX_PROBES)
        } else {
            1
        }
    }

    fn is_mass_failure(&self) -> bool {
        self.suspects() >= ALARM_SUSPECTS + self.peers.len() / ALARM_PART
    }

    fn suspects(&self) -> usize {
        let suspects = self.peers.values();
        let suspects = suspects.filter(|peer| peer.latest.status == Status::Suspect);
        suspects.count()
    }

    /// Whether suspicions of many peers have come up, or have been decided, since this was last asked. Some of the updates
    /// on them may be lost, so this is the time to copy what a peer knows.
    pub fn take_alarm(&mut self) -> bool {
        let is_alarmed = self.is_mass_failure();
        std::mem::replace(&mut self.alarmed, is_alarmed) != is_alarmed
    }

    fn next_target(&mut self, rng: &mut dyn Rng) -> Option<VmId> {
        self.rounds = self.rounds.wrapping_add(1);
        if self.rounds.is_multiple_of(DEAD_PROBE_ROUNDS)
            && let Some(dead) = self.any_dead(rng)
        {
            return Some(dead);
        }
        if self.probe_queue.is_empty() {
            self.probe_queue = self.targets();
            self.probe_queue.shuffle(rng);
        }
        self.probe_queue.pop().or_else(|| self.any_dead(rng))
    }

    /// Returns all listed VMs and all other peers, except dead ones.
    fn targets(&self) -> Vec<VmId> {
        let is_dead = |vm: &VmId| {
            self.peer(vm)
                .is_some_and(|peer| peer.latest.status == Status::Dead)
        };
        let unlisted = self.peers.keys();
        let unlisted = unlisted.filter(|vm| !self.seeds.contains_key(*vm));
        let known = self.seeds.keys().chain(unlisted);
        known.filter(|vm| !is_dead(vm)).cloned().collect()
    }

    /// Chooses a listed VM that is dead.
    ///
    /// It continues to be probed: after a network partition both sides consider each other dead, and without probes they
    /// would never reconnect.
    fn any_dead(&self, rng: &mut dyn Rng) -> Option<VmId> {
        let dead: Vec<&VmId> = self
            .seeds
            .keys()
            .filter(|vm| {
                self.peer(vm)
                    .is_some_and(|peer| peer.latest.status == Status::Dead)
            })
            .collect();
        dead.choose(rng).map(|vm| (*vm).clone())
    }

    /// Returns the address at which to probe a VM.
    ///
    /// A restarted VM may listen on another address, so the list's address is preferred unless the
    /// peer is alive or leaving.
    fn addr_of(&self, vm: &VmId) -> Option<SocketAddr> {
        let known = self.peers.get(vm);
        let answering = known.filter(|peer| peer.latest.status <= Status::Leaving);
        answering
            .map(|peer| peer.latest.addr)
            .or_else(|| self.seeds.get(vm).copied())
            .or_else(|| known.map(|peer| peer.latest.addr))
    }

    /// Selects random peers that can probe `target` on our behalf.
    fn pick_helpers(&self, target: &VmId, rng: &mut dyn Rng) -> Vec<SocketAddr> {
        let mut helpers: Vec<SocketAddr> = self
            .alive()
            .filter(|peer| peer.latest.who.vm != *target)
            .map(|peer| peer.latest.addr)
            .collect();
        let count = self.config.indirect.min(helpers.len());
        for i in 0..count {
            let j = rng.random_range(i..helpers.len());
            helpers.swap(i, j);
        }
        helpers.truncate(count);
        helpers
    }
}
