//! Table of the peers that a process knows.

mod listing;
mod probing;

pub use probing::Probe;

use super::{MemberUpdate, Status, StatusChange};
use crate::agreement::ProcessId;
use sesamegap_wire::{Incarnation, Moment, VmId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Member updates piggybacked on one message: enough to spread them fast, few enough to add only a
/// few hundred bytes per round.
const MAX_PIGGYBACKED: usize = 8;

/// How often one update is sent, for each doubling of the number of peers.
const SENDS_PER_DOUBLING: u32 = 3;

/// Incarnation of a VM that is presumed alive: older than any that a process can have.
const PRESUMED: Incarnation = Incarnation(0);

/// How long a listed VM that was never heard of is presumed alive: all VMs of a fleet may be starting together.
const START_TIME: Duration = Duration::from_secs(3);

/// Parameters of the failure detector.
#[derive(Debug, Clone, Copy)]
pub struct MembershipConfig {
    /// How long a suspected peer has to refute the suspicion.
    pub suspicion: Duration,
    /// How long a dead peer is remembered, so that a late update does not bring it back.
    pub memory: Duration,
    /// Number of peers asked to probe a peer that does not answer us.
    pub indirect: usize,
    /// Longest list whose VMs can all be contacted at startup.
    ///
    /// The VMs of a longer list are presumed alive until a probe fails: contacting them one by one takes minutes, and
    /// until then each process would assign the duties of the whole fleet to the few peers that it has met.
    pub contactable: usize,
}

/// Current state of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The newest update on the peer.
    pub latest: MemberUpdate,
    /// When that update was applied.
    pub since: Moment,
    /// How often that update was sent to other peers.
    sends: u32,
}

impl Peer {
    /// Whether the peer, or another peer on its behalf, reported its state; otherwise it is only listed.
    pub fn is_confirmed(&self) -> bool {
        self.latest.who.incarnation > PRESUMED
    }
}

/// All peers known to one process.
#[derive(Debug)]
pub struct Members {
    me: MemberUpdate,
    config: MembershipConfig,
    peers: BTreeMap<VmId, Peer>,
    seeds: BTreeMap<VmId, SocketAddr>,
    seeded: bool,
    /// The worst status that others said this process has, until that was asked for.
    refuted: Option<Status>,
    /// Targets still to be probed in this pass over the peers.
    probe_queue: Vec<VmId>,
    rounds: u32,
    alarmed: bool,
    changes: Vec<StatusChange>,
}

impl Members {
    /// Starts without peers; this process listens at `addr`.
    pub fn new(me: ProcessId, addr: SocketAddr, config: MembershipConfig) -> Self {
        let me = MemberUpdate {
            who: me,
            addr,
            version: 0,
            status: Status::Alive,
        };
        Self {
            me,
            config,
            peers: BTreeMap::new(),
            seeds: BTreeMap::new(),
            seeded: false,
            refuted: None,
            probe_queue: Vec::new(),
            rounds: 0,
            alarmed: false,
            changes: Vec::new(),
        }
    }

    /// Takes the changes of peers' status since the last call.
    pub fn take_changes(&mut self) -> Vec<StatusChange> {
        std::mem::take(&mut self.changes)
    }

    /// Announces that this process is about to stop.
    pub fn leave(&mut self) {
        self.me.status = Status::Leaving;
        self.me.version += 1;
    }

    /// Returns this process's update on itself.
    pub fn me(&self) -> &MemberUpdate {
        &self.me
    }

    /// Returns the peers that answer probes, except those about to stop.
    pub fn alive(&self) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(|peer| peer.latest.status == Status::Alive)
    }

    /// Returns all known peers, whatever their status.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns the state of one peer.
    pub fn peer(&self, vm: &VmId) -> Option<&Peer> {
        self.peers.get(vm)
    }

    /// Whether this incarnation of a process is known to be gone.
    pub fn is_gone(&self, who: &ProcessId) -> bool {
        self.peers.get(&who.vm).is_some_and(|peer| {
            let newer = peer.latest.who.incarnation > who.incarnation;
            newer || (peer.latest.who == *who && peer.latest.status == Status::Dead)
        })
    }

    /// Applies a peer's update on itself, from a probe or from the answer to one; returns whether it shows that a peer is
    /// alive that was suspected or dead.
    pub fn apply_update(&mut self, update: &MemberUpdate, now: Moment) -> bool {
        let is_failed = |peer: &Peer| peer.latest.status >= Status::Suspect;
        let was_failed = self.peer(&update.who.vm).is_some_and(is_failed);
        self.merge(update, now);
        was_failed && !self.peer(&update.who.vm).is_some_and(is_failed)
    }

    /// Returns what is known of all peers, for a process that has just begun.
    pub fn export(&self) -> Vec<MemberUpdate> {
        let known = self.peers.values().filter(|peer| peer.is_confirmed());
        let known = known.map(|peer| peer.latest.clone());
        known.chain([self.me.clone()]).collect()
    }

    /// Applies what a peer knows of all VMs. It is not gossiped, since others have it.
    pub fn import(&mut self, updates: &[MemberUpdate], now: Moment) {
        for update in updates {
            self.merge(update, now);
            if let Some(peer) = self.peers.get_mut(&update.who.vm)
                && peer.latest == *update
            {
                peer.sends = u32::MAX;
            }
        }
    }

    /// Selects the updates for a peer that has sent a message: the one on itself first, so that it can refute it, if it is
    /// suspected or dead.
    pub fn select_updates_for(&mut self, vm: &VmId) -> Vec<MemberUpdate> {
        let known = self.peers.get(vm).map(|peer| peer.latest.clone());
        let known = known.filter(|latest| latest.status >= Status::Suspect);
        known.into_iter().chain(self.select_updates()).collect()
    }

    /// Suspects a peer that answered neither a direct nor an indirect probe; returns the suspicion if it is new.
    pub fn probe_failed(&mut self, vm: &VmId, now: Moment) -> Option<MemberUpdate> {
        let peer = self.peers.get(vm)?;
        if !matches!(peer.latest.status, Status::Alive | Status::Leaving) {
            return None;
        }
        if !peer.is_confirmed() && now.since(peer.since) < START_TIME {
            return None;
        }
        let mut update = peer.latest.clone();
        update.status = Status::Suspect;
        self.merge(&update, now);
        Some(update)
    }

    /// Whether this process has refuted a suspicion since this was last asked.
    pub fn take_refuted(&mut self) -> bool {
        self.take_refutation().is_some()
    }

    /// Returns the worst status of this process that it has refuted since this was last asked.
    pub fn take_refutation(&mut self) -> Option<Status> {
        self.refuted.take()
    }

    /// Applies updates piggybacked on a message.
    pub fn apply_updates(&mut self, updates: &[MemberUpdate], now: Moment) {
        for update in updates.iter().take(MAX_PIGGYBACKED * 2) {
            self.merge(update, now);
        }
    }

    /// Selects the updates to piggyback on a message, least often sent first.
    pub fn select_updates(&mut self) -> Vec<MemberUpdate> {
        let max_sends = SENDS_PER_DOUBLING * (usize::BITS - self.peers.len().leading_zeros() + 1);
        let mut pending: Vec<&mut Peer> = self
            .peers
            .values_mut()
            .filter(|peer| peer.sends < max_sends)
            .collect();
        pending.sort_by_key(|peer| peer.sends);
        let selected = pending.into_iter().take(MAX_PIGGYBACKED);
        selected
            .map(|peer| {
                peer.sends += 1;
                peer.latest.clone()
            })
            .collect()
    }

    fn merge(&mut self, update: &MemberUpdate, now: Moment) {
        if update.who.vm == self.me.who.vm {
            self.refute(update);
            return;
        }
        let known = self.peers.get(&update.who.vm);
        if known.is_some_and(|known| !update.replaces(&known.latest)) {
            return;
        }
        let former = known.map(|known| (known.latest.status, known.since));
        if former.is_none_or(|(status, _)| status != update.status) {
            self.changes.push(StatusChange {
                vm: update.who.vm.clone(),
                former: former.map(|(status, _)| status),
                status: update.status,
                lasted: former.map_or(Duration::ZERO, |(_, since)| now.since(since)),
            });
        }
        let peer = Peer {
            latest: update.clone(),
            since: now,
            sends: 0,
        };
        self.peers.insert(update.who.vm.clone(), peer);
    }

    /// Refutes an update that declares this process suspect or dead.
    ///
    /// A pause or a broken link makes peers suspect a live process. Without a refutation they would
    /// consider it dead permanently and direct no callers to it.
    fn refute(&mut self, update: &MemberUpdate) {
        let about_us = update.who.incarnation == self.me.who.incarnation;
        let wrong = matches!(update.status, Status::Suspect | Status::Dead);
        // An update on an earlier incarnation shows that its sender does not know the present one.
        if wrong {
            self.refuted = self.refuted.max(Some(update.status));
        }
        if about_us && wrong && update.version >= self.me.version {
            self.me.version = update.version + 1;
        }
    }

    fn expire(&mut self, now: Moment) {
        let timeout = self.config.suspicion;
        for peer in self.peers.values_mut() {
            let is_presumed = !peer.is_confirmed() && peer.latest.status == Status::Alive;
            if is_presumed && now.since(peer.since) >= START_TIME {
                // Neither the VM nor a peer that knows it was heard, so its entry on the list is out of date.
                peer.latest.status = Status::Dead;
                self.changes.push(StatusChange {
                    vm: peer.latest.who.vm.clone(),
                    former: Some(Status::Alive),
                    status: Status::Dead,
                    lasted: now.since(peer.since),
                });
                peer.since = now;
                continue;
            }
            if peer.latest.status == Status::Suspect && now.since(peer.since) >= timeout {
                peer.latest.status = Status::Dead;
                self.changes.push(StatusChange {
                    vm: peer.latest.who.vm.clone(),
                    former: Some(Status::Suspect),
                    status: Status::Dead,
                    lasted: now.since(peer.since),
                });
                peer.since = now;
                peer.sends = 0;
            }
        }
        let memory = self.config.memory;
        let seeds = &self.seeds;
        self.peers.retain(|vm, peer| {
            let old = peer.latest.status == Status::Dead && now.since(peer.since) >= memory;
            !old || seeds.contains_key(vm)
        });
    }
}
