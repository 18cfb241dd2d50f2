//! Other routers.
//!
//! [`Peers`] says who is alive, [`PeerClient`] speaks to them and [`endpoints`] answers them. Bodies
//! are `rmp-serde` in both directions, and every message carries the shared secret. [`gossip`]
//! exchanges digests, so that routers know each other's traffic, incarnations and settings.

mod client;
pub mod endpoints;
pub mod gossip;
pub mod message;
pub mod probing;

pub use client::{PeerClient, PeerError};
pub use probing::ProbedPeers;

use super::fleet::EntryVm;
use super::lock;
use message::Hello;
use sesamegap_wire::{Incarnation, Offset, VmId};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// Another router as far as is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its VM.
    pub vm: VmId,
    /// Where it listens.
    pub router: SocketAddr,
    /// Its present life, if it was heard.
    pub incarnation: Option<Incarnation>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Settings it has read up to.
    pub settings: Offset,
}

/// Knows which other routers are alive.
pub trait Peers: Send + Sync + fmt::Debug {
    /// The live ones among those that the VM list names, besides this router.
    fn live(&self, listed: &[EntryVm]) -> Vec<Peer>;

    /// Takes in what a peer says of itself.
    fn heard(&self, hello: &Hello);
}

/// Trusts the VM list and adds what peers say of themselves.
#[derive(Debug)]
pub struct ListedPeers {
    own: VmId,
    silence: Duration,
    heard: Mutex<HashMap<VmId, Heard>>,
}

#[derive(Debug)]
struct Heard {
    incarnation: Incarnation,
    leaving: bool,
    settings: Offset,
    at: Instant,
}

impl ListedPeers {
    /// Knows nothing yet; what a peer said is forgotten after `silence`.
    pub fn new(own: VmId, silence: Duration) -> Self {
        Self {
            own,
            silence,
            heard: Mutex::default(),
        }
    }
}

impl Peers for ListedPeers {
    fn live(&self, listed: &[EntryVm]) -> Vec<Peer> {
        let heard = lock(&self.heard);
        let others = listed.iter().filter(|entry| entry.vm != self.own);
        let peers = others.map(|entry| {
            let known = heard.get(&entry.vm);
            let fresh = known.filter(|known| known.at.elapsed() < self.silence);
            Peer {
                vm: entry.vm.clone(),
                router: entry.router,
                incarnation: fresh.map(|known| known.incarnation),
                leaving: entry.leaving || fresh.is_some_and(|known| known.leaving),
                settings: fresh.map_or(Offset(0), |known| known.settings),
            }
        });
        peers.collect()
    }

    fn heard(&self, hello: &Hello) {
        let mut all = lock(&self.heard);
        // A message of a former life may come late; a life's number only rises.
        if all
            .get(&hello.vm)
            .is_some_and(|known| known.incarnation > hello.incarnation)
        {
            return;
        }
        let heard = Heard {
            incarnation: hello.incarnation,
            leaving: hello.leaving,
            settings: hello.settings,
            at: Instant::now(),
        };
        all.insert(hello.vm.clone(), heard);
    }
}
