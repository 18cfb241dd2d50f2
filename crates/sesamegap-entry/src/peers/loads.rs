//! What each entry VM has at each upstream, told in datagrams.
//!
//! Load: weights change or a prefix is hot, and all VMs turn to the same few engines at once. Each
//! sees only its own requests, a seventh of what makes the queue, and an answer's own word on load
//! comes when the wait is over. Harm prevented: queues of seconds at one engine beside idle ones.
//! A lost datagram is made up for by the next; what was not heard again in time no longer counts.

use crate::clock;
use crate::core::{Core, Phase};
use crate::fleet::Upstream;
use crate::telemetry::events;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use sesamegap_wire::{Moment, VmId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tracing::{info, warn};

/// Time between datagrams while something changes: a fifth of what an engine needs for a prompt.
const TICK: Duration = Duration::from_millis(50);

/// Ticks after which unchanged loads are told again, so that a lost datagram does no lasting harm.
const REPEAT: u32 = 8;

/// Peers told in one tick; with more, turns are taken. It bounds what a VM sends to some 150
/// datagrams a second, however many VMs there are.
const FANOUT: usize = 8;

/// How long a peer's word counts while all peers are told in each tick.
const COUNTS: Duration = Duration::from_secs(1);

/// Bytes of a datagram at most; some hundred upstreams fit.
const LONGEST: usize = 1_400;

/// Number under which tokens are told that were just sent through the store of kept cache.
pub const STORE: u64 = 0;

/// What a VM has at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The upstream's number, the same in all VMs.
    pub seed: u64,
    /// Requests there.
    pub running: u32,
    /// Prompt tokens there that are not read yet.
    pub unread: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct Datagram {
    vm: VmId,
    held: Vec<Held>,
}

#[derive(Debug)]
struct Word {
    at: Moment,
    held: Vec<Held>,
}

/// What peers have at upstreams, as far as they said so lately.
#[derive(Debug, Default)]
pub struct Loads {
    words: FxHashMap<VmId, Word>,
    sums: FxHashMap<u64, Held>,
}

impl Loads {
    /// Takes a peer's word, in place of its former one.
    pub fn take(&mut self, vm: VmId, held: Vec<Held>, now: Moment) {
        self.words.insert(vm, Word { at: now, held });
        self.sum(now);
    }

    /// What all peers together have at an upstream.
    pub fn at(&self, seed: u64) -> Option<&Held> {
        self.sums.get(&seed)
    }

    /// Forgets words that are too old and adds up the others.
    pub fn sum(&mut self, now: Moment) {
        let turns = self.words.len().div_ceil(FANOUT).max(1);
        let counts = COUNTS * u32::try_from(turns).unwrap_or(u32::MAX);
        self.words.retain(|_, word| now.since(word.at) < counts);
        self.sums.clear();
        for held in self.words.values().flat_map(|word| &word.held) {
            let sum = self.sums.entry(held.seed).or_insert(Held {
                seed: held.seed,
                running: 0,
                unread: 0,
            });
            sum.running += held.running;
            sum.unread += held.unread;
        }
    }
}

/// Tells peers and hears them until the process ends.
pub async fn exchange(core: Arc<Core>) {
    let addr = core.settings().listen.loads;
    let socket = match UdpSocket::bind(addr).await {
        Ok(socket) => Arc::new(socket),
        Err(error) => {
            // Without it the process places by its own requests alone.
            warn!(event = events::PEER, %addr, %error, "loads are not exchanged");
            return;
        }
    };
    tokio::spawn(hear(Arc::clone(&core), Arc::clone(&socket)));
    let mut last: Vec<Held> = Vec::new();
    let mut unchanged = 0;
    let mut turn = 0;
    while core.phase() < Phase::Ended {
        sleep(TICK).await;
        let held = own(&core);
        unchanged = if held == last { unchanged + 1 } else { 0 };
        if unchanged % REPEAT == 0 && !(held.is_empty() && unchanged > REPEAT) {
            tell(&core, &socket, &held, &mut turn).await;
        }
        last = held;
    }
}

/// What this VM has at upstreams.
fn own(core: &Core) -> Vec<Held> {
    let mut fleet = core.fleet.lock();
    let now = clock::now();
    fleet.loads.sum(now);
    let moving = fleet.moves.sum(now);
    let store = (moving > 0).then_some(Held {
        seed: STORE,
        running: 0,
        unread: moving,
    });
    let upstreams = fleet.upstreams().filter_map(Upstream::held);
    upstreams.chain(store).collect()
}

async fn tell(core: &Core, socket: &UdpSocket, held: &[Held], turn: &mut usize) {
    let datagram = Datagram {
        vm: core.settings().vm.clone(),
        held: held.to_vec(),
    };
    let bytes = match rmp_serde::to_vec(&datagram) {
        Ok(bytes) if bytes.len() <= LONGEST => bytes,
        Ok(bytes) => {
            info!(
                event = events::PEER,
                bytes = bytes.len(),
                "too much load for a datagram"
            );
            return;
        }
        Err(error) => {
            warn!(event = events::PEER, %error, "loads cannot be written");
            return;
        }
    };
    let port = core.settings().listen.loads.port();
    let peers = core.peers.known().alive;
    for at in 0..peers.len().min(FANOUT) {
        let peer = peers[(*turn + at) % peers.len()];
        let to = SocketAddr::new(peer.ip(), port);
        // A full link drops datagrams; the next tick tells again.
        drop(socket.send_to(&bytes, to).await);
    }
    *turn = turn.wrapping_add(FANOUT);
}

async fn hear(core: Arc<Core>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; LONGEST];
    while core.phase() < Phase::Ended {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            sleep(TICK).await;
            continue;
        };
        match rmp_serde::from_slice::<Datagram>(&buffer[..length]) {
            Ok(word) => {
                let mut fleet = core.fleet.lock();
                fleet.loads.take(word.vm, word.held, clock::now());
            }
            Err(error) => {
                info!(event = events::PEER, %from, %error, "a datagram cannot be read");
            }
        }
    }
}
