//! The table of peers and the rounds of probes.

use super::{MemberUpdate, Status};
use crate::agreement::Holder;
use rand::seq::SliceRandom;
use rand::{Rng, RngExt};
use sesamegap_wire::{Moment, VmId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// News sent along with one message: enough to spread it fast, small enough for a few hundred
/// bytes a round.
const PIGGYBACK: usize = 8;

/// How often one piece of news is sent, for each doubling of the number of peers.
const REPEATS: u32 = 3;

/// Spans and sizes of the rounds.
#[derive(Debug, Clone, Copy)]
pub struct MembershipConfig {
    /// How long a suspected peer has to refute it.
    pub suspicion: Duration,
    /// How long a dead peer is remembered, so that late news does not bring it back.
    pub memory: Duration,
    /// Peers asked to probe in our place when one does not answer.
    pub indirect: usize,
}

/// A probe to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// Whom to probe.
    pub target: VmId,
    /// Where.
    pub addr: SocketAddr,
    /// Peers that can probe it in our place, should it not answer us.
    pub through: Vec<SocketAddr>,
    /// News to send along; what is believed of the target comes first, so that it can refute it.
    pub news: Vec<MemberUpdate>,
}

/// A peer as believed now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The newest that was heard.
    pub news: MemberUpdate,
    /// Since when.
    pub since: Moment,
    spread: u32,
}

/// All peers of one process.
#[derive(Debug)]
pub struct Members {
    me: MemberUpdate,
    rules: MembershipConfig,
    peers: BTreeMap<VmId, Peer>,
    seeds: BTreeMap<VmId, SocketAddr>,
    round: Vec<VmId>,
}

impl Members {
    /// Starts with nobody but this process, which listens at `addr`.
    pub fn new(me: Holder, addr: SocketAddr, rules: MembershipConfig) -> Self {
        let me = MemberUpdate {
            who: me,
            addr,
            version: 0,
            status: Status::Alive,
        };
        Self {
            me,
            rules,
            peers: BTreeMap::new(),
            seeds: BTreeMap::new(),
            round: Vec::new(),
        }
    }

    /// Takes the platform's list of entry VMs, in place of the former one.
    ///
    /// The list alone makes nobody alive or dead: it lags, and only says whom to ask.
    pub fn seed(&mut self, list: impl IntoIterator<Item = (VmId, SocketAddr)>) {
        self.seeds = list
            .into_iter()
            .filter(|(vm, _)| *vm != self.me.who.vm)
            .collect();
    }

    /// Where the platform's list says that other entry VMs are.
    pub fn seed_addrs(&self) -> impl Iterator<Item = SocketAddr> {
        self.seeds.values().copied()
    }

    /// Says that this process is about to stop.
    pub fn leave(&mut self) {
        self.me.status = Status::Leaving;
        self.me.version += 1;
    }

    /// What this process says of itself.
    pub fn me(&self) -> &MemberUpdate {
        &self.me
    }

    /// Peers that answer, those about to stop left out.
    pub fn alive(&self) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(|peer| peer.news.status == Status::Alive)
    }

    /// All that is believed of peers.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// What is believed of one peer.
    pub fn peer(&self, vm: &VmId) -> Option<&Peer> {
        self.peers.get(vm)
    }

    /// Whether this very life of a process is gone, as far as is known.
    pub fn is_gone(&self, who: &Holder) -> bool {
        self.peers.get(&who.vm).is_some_and(|peer| {
            let newer = peer.news.who.incarnation > who.incarnation;
            newer || (peer.news.who == *who && peer.news.status == Status::Dead)
        })
    }

    /// Ends overdue suspicions and picks the peer to probe in this round.
    pub fn tick(&mut self, now: Moment, rng: &mut dyn Rng) -> Option<Probe> {
        self.expire(now);
        while let Some(vm) = self.next_target(rng) {
            if let Some(addr) = self.addr_of(&vm) {
                let through = self.pick_others(&vm, rng);
                let belief = self.peers.get(&vm).map(|peer| peer.news.clone());
                let news = belief.into_iter().chain(self.select_updates()).collect();
                return Some(Probe {
                    target: vm,
                    addr,
                    through,
                    news,
                });
            }
        }
        None
    }

    /// Takes what a peer said of itself in a probe or in its answer to one.
    pub fn apply_update(&mut self, news: &MemberUpdate, now: Moment) {
        self.learn(news, now);
    }

    /// Notes that a peer answered neither us nor the peers asked in our place.
    pub fn probe_failed(&mut self, vm: &VmId, now: Moment) {
        let Some(peer) = self.peers.get(vm) else {
            return;
        };
        if !matches!(peer.news.status, Status::Alive | Status::Leaving) {
            return;
        }
        let mut news = peer.news.clone();
        news.status = Status::Suspect;
        self.learn(&news, now);
    }

    /// Takes news that came along with a message.
    pub fn apply_updates(&mut self, news: &[MemberUpdate], now: Moment) {
        for piece in news.iter().take(PIGGYBACK * 2) {
            self.learn(piece, now);
        }
    }

    /// News to send along with a message, freshest first.
    pub fn select_updates(&mut self) -> Vec<MemberUpdate> {
        let most = REPEATS * (usize::BITS - self.peers.len().leading_zeros() + 1);
        let mut fresh: Vec<&mut Peer> = self
            .peers
            .values_mut()
            .filter(|peer| peer.spread < most)
            .collect();
        fresh.sort_by_key(|peer| peer.spread);
        let chosen = fresh.into_iter().take(PIGGYBACK);
        chosen
            .map(|peer| {
                peer.spread += 1;
                peer.news.clone()
            })
            .collect()
    }

    fn learn(&mut self, news: &MemberUpdate, now: Moment) {
        if news.who.vm == self.me.who.vm {
            self.refute(news);
            return;
        }
        let known = self.peers.get(&news.who.vm);
        if known.is_some_and(|known| !news.replaces(&known.news)) {
            return;
        }
        let peer = Peer {
            news: news.clone(),
            since: now,
            spread: 0,
        };
        self.peers.insert(news.who.vm.clone(), peer);
    }

    /// Contradicts whoever holds this process for gone.
    ///
    /// A pause or a broken link makes peers suspect a live process. If nothing refuted that, the
    /// process would stay dead to them for good, and callers would not be sent to it.
    fn refute(&mut self, news: &MemberUpdate) {
        let about_us = news.who.incarnation == self.me.who.incarnation;
        let wrong = matches!(news.status, Status::Suspect | Status::Dead);
        if about_us && wrong && news.version >= self.me.version {
            self.me.version = news.version + 1;
        }
    }

    fn expire(&mut self, now: Moment) {
        let overdue = self.rules.suspicion;
        for peer in self.peers.values_mut() {
            if peer.news.status == Status::Suspect && now.since(peer.since) >= overdue {
                peer.news.status = Status::Dead;
                peer.since = now;
                peer.spread = 0;
            }
        }
        let memory = self.rules.memory;
        let seeds = &self.seeds;
        self.peers.retain(|vm, peer| {
            let old = peer.news.status == Status::Dead && now.since(peer.since) >= memory;
            !old || seeds.contains_key(vm)
        });
    }

    fn next_target(&mut self, rng: &mut dyn Rng) -> Option<VmId> {
        if self.round.is_empty() {
            self.round = self.targets();
            self.round.shuffle(rng);
        }
        self.round.pop()
    }

    /// All whom the list names, dead ones included, and all others not held dead.
    ///
    /// A dead peer that is still listed goes on being probed: after a region split both sides hold
    /// each other dead, and without a probe neither would ever hear the other again.
    fn targets(&self) -> Vec<VmId> {
        let live = self
            .peers
            .iter()
            .filter(|(vm, peer)| peer.news.status != Status::Dead && !self.seeds.contains_key(*vm));
        let seeds = self.seeds.keys();
        seeds.chain(live.map(|(vm, _)| vm)).cloned().collect()
    }

    /// Where to probe a VM; a restarted one may listen elsewhere, and then the list knows it.
    fn addr_of(&self, vm: &VmId) -> Option<SocketAddr> {
        let known = self.peers.get(vm);
        let answering = known.filter(|peer| peer.news.status <= Status::Leaving);
        answering
            .map(|peer| peer.news.addr)
            .or_else(|| self.seeds.get(vm).copied())
            .or_else(|| known.map(|peer| peer.news.addr))
    }

    fn pick_others(&self, target: &VmId, rng: &mut dyn Rng) -> Vec<SocketAddr> {
        let mut others: Vec<SocketAddr> = self
            .alive()
            .filter(|peer| peer.news.who.vm != *target)
            .map(|peer| peer.news.addr)
            .collect();
        let most = self.rules.indirect.min(others.len());
        for i in 0..most {
            let j = rng.random_range(i..others.len());
            others.swap(i, j);
        }
        others.truncate(most);
        others
    }
}
