//! Which VM counts the requests at an upstream that names a limit.

use super::Peers;
use crate::clock;
use sesamegap_policy::agreement::membership::{Peer, Status};
use sesamegap_policy::routing::engines::{rank, seed};
use sesamegap_policy::routing::upstream_limits::{ABSENCE, Counter, Standing, counter};
use sesamegap_wire::Moment;
use std::net::SocketAddr;

impl Peers {
    /// Returns the VM that counts the requests at an incarnation of an upstream; this VM is one that may if it `counts`.
    pub fn counter(&self, life: u64, counts: bool) -> Counter<SocketAddr> {
        let now = clock::now();
        let is_isolated = self.is_isolated();
        let own_rank = rank(life, seed(self.me.vm.as_str()));
        let members = self.lock();
        let peers = members.peers().map(|peer| {
            let addr = SocketAddr::new(peer.latest.addr.ip(), self.datagram_port);
            let rank = rank(life, seed(peer.latest.who.vm.as_str()));
            (rank, standing(peer, is_isolated, now), addr)
        });
        counter(own_rank, counts, peers)
    }
}

fn standing(peer: &Peer, is_isolated: bool, now: Moment) -> Standing {
    match peer.latest.status {
        // To a VM that hears nobody, all others may count.
        Status::Alive if is_isolated => Standing::Absent,
        Status::Alive => Standing::Alive,
        Status::Suspect => Standing::Absent,
        Status::Dead if now.since(peer.since) < ABSENCE => Standing::Absent,
        Status::Dead | Status::Leaving => Standing::Gone,
    }
}
