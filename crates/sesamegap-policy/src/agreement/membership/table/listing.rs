//! What the platform's list of entry VMs says of peers.

use super::{MemberUpdate, Status};
use super::{Members, PRESUMED, Peer};
use crate::agreement::ProcessId;
use sesamegap_wire::{Moment, VmId};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a listed peer must be dead before its entry is removed from the platform's list.
const REMOVAL_AGE: Duration = Duration::from_mins(1);

impl Members {
    /// Replaces the platform's list of entry VMs.
    ///
    /// The list may be out of date, so it determines only which peers to probe, not their status. Only the VMs of a list
    /// longer than [`MembershipConfig::contactable`] are presumed alive if nothing is known of them.
    pub fn seed(&mut self, list: impl IntoIterator<Item = (VmId, SocketAddr)>, now: Moment) {
        self.seeded = true;
        self.seeds = list
            .into_iter()
            .filter(|(vm, _)| *vm != self.me.who.vm)
            .collect();
        if self.seeds.len() > self.config.contactable {
            self.presume_listed(now);
        }
    }

    /// Adds the listed VMs of which nothing is known, as alive. These entries are not gossiped: every process has the
    /// list, and the first update from the VM itself replaces them.
    fn presume_listed(&mut self, now: Moment) {
        for (vm, addr) in &self.seeds {
            self.peers.entry(vm.clone()).or_insert_with(|| Peer {
                latest: MemberUpdate {
                    who: ProcessId {
                        vm: vm.clone(),
                        incarnation: PRESUMED,
                    },
                    addr: *addr,
                    version: 0,
                    status: Status::Alive,
                },
                since: now,
                sends: u32::MAX,
            });
        }
    }

    /// Returns the addresses of the other entry VMs on the platform's list.
    pub fn seed_addrs(&self) -> impl Iterator<Item = SocketAddr> {
        self.seeds.values().copied()
    }

    /// Whether the platform's list has been read.
    pub fn is_seeded(&self) -> bool {
        self.seeded
    }

    /// Number of other VMs that are listed or were alive recently.
    pub fn known(&self) -> usize {
        let unlisted = self.peers.keys();
        let unlisted = unlisted.filter(|vm| !self.seeds.contains_key(*vm));
        self.seeds.len() + unlisted.count()
    }

    /// Returns the VMs whose entries are to be removed from the platform's list: they have been dead for long.
    ///
    /// A VM that sees fewer than half of the listed ones alive may itself be on the smaller side of a partition, and
    /// removes none. A VM whose entry is removed wrongly is unknown to processes that begin, until it reads the list.
    pub fn removable(&self, now: Moment) -> Vec<VmId> {
        let listed = || self.seeds.keys().filter_map(|vm| self.peers.get(vm));
        let alive = listed().filter(|peer| peer.latest.status == Status::Alive);
        if (alive.count() + 1) * 2 <= self.seeds.len() + 1 {
            return Vec::new();
        }
        let is_old = |peer: &&Peer| {
            peer.latest.status == Status::Dead && now.since(peer.since) >= REMOVAL_AGE
        };
        let old = listed().filter(is_old);
        old.map(|peer| peer.latest.who.vm.clone()).collect()
    }
}
