//! Datagrams among entry VMs: loads to some peers or all, news to all.
//!
//! News is what one VM found or did and all others would otherwise find out for themselves, at the cost
//! of a caller's wait or a call: engines that are out or gone, upstreams and stores that are silent, and
//! what was read of the store. What a lost datagram would have told is made up for by the next one, by an
//! upstream's own answer, or by reading the store.
//!
//! Load: a roll takes half of the engines out within a moment, and all VMs must know. Harm
//! prevented: with 84 VMs and 140 engines, a request over HTTP for each engine and peer kept the VM
//! that rolls busy for seconds, and no engine was ever ordered.

use super::loads::UpstreamLoad;
use super::message::EngineUpdate;
use crate::clock;
use crate::core::{Core, Phase};
use crate::fleet::Upstream;
use crate::follow::{self, Reading};
use crate::placing::{self, Say};
use crate::quarantine;
use crate::telemetry::events;
use serde::{Deserialize, Serialize};
use sesamegap_policy::routing::belief::Change;
use sesamegap_policy::routing::dissemination::{FANOUT, RecipientSelector, Recipients, Sum};
use sesamegap_policy::routing::silence::SilenceReport;
use sesamegap_wire::VmId;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tracing::{info, warn};

/// Time between datagrams while something changes: a fifth of what an engine needs for a prompt.
const TICK: Duration = Duration::from_millis(50);

/// Words on silent upstreams in one datagram; at 15 bytes each they fit.
const WORDS: usize = 64;

/// Pieces of news in one datagram; with their names they stay under a link's packet.
const PIECES: usize = 16;

/// Bytes of a datagram at most; loads at some fifty upstreams fit.
const LONGEST: usize = 1_400;

#[derive(Debug, Serialize, Deserialize)]
enum Datagram {
    /// What a VM has at upstreams.
    Loads(VmId, Vec<UpstreamLoad>),
    /// News of engines.
    Engines(Vec<EngineUpdate>),
    /// What a VM says of upstreams that do not answer.
    Silent(VmId, Vec<SilenceReport>),
    /// What a VM has read of the store for all.
    Reading(Reading),
    /// A store of kept cache does not answer.
    StoreOut(SocketAddr),
    /// To or from the owner of a shard.
    Placing(Say),
    /// Of requests under which upstreams ended.
    Quarantine(quarantine::Message),
}

impl Datagram {
    /// Its bytes, if it can be sent; else it is logged why not.
    fn encode(&self) -> Option<Vec<u8>> {
        match rmp_serde::to_vec(self) {
            Ok(bytes) if bytes.len() <= LONGEST => Some(bytes),
            Ok(bytes) => {
                info!(
                    event = events::PEER,
                    bytes = bytes.len(),
                    "too much for a datagram"
                );
                None
            }
            Err(error) => {
                warn!(event = events::PEER, %error, "a datagram cannot be written");
                None
            }
        }
    }
}

/// A message to or from an owner as it is sent, unless it cannot be.
pub fn placing(say: Say) -> Option<Vec<u8>> {
    Datagram::Placing(say).encode()
}

/// A message about requests under which upstreams ended as it is sent, unless it cannot be.
pub fn quarantine(message: quarantine::Message) -> Option<Vec<u8>> {
    Datagram::Quarantine(message).encode()
}

/// Tells peers and hears them until the process ends.
pub async fn run_datagrams(core: Arc<Core>) {
    let addr = core.settings().listen.loads;
    let socket = match UdpSocket::bind(addr).await {
        Ok(socket) => Arc::new(socket),
        Err(error) => {
            // Without it the process places by its own requests alone.
            warn!(event = events::PEER, %addr, %error, "loads are not exchanged");
            return;
        }
    };
    core.desk.open(Arc::clone(&socket));
    core.quarantine.open(Arc::clone(&socket));
    tokio::spawn(hear(Arc::clone(&core), Arc::clone(&socket)));
    let mut last: Vec<UpstreamLoad> = Vec::new();
    let mut telling = RecipientSelector::default();
    let mut turn = 0;
    let mut ticks: u32 = 0;
    while core.phase() < Phase::Ended {
        sleep(TICK).await;
        ticks = ticks.wrapping_add(1);
        quarantine::tick(&core, ticks).await;
        for datagram in news(&core) {
            send(
                &core,
                &socket,
                &datagram,
                &core.peers.addrs_by_status().alive,
            )
            .await;
        }
        for (owner, words) in core.desk.words() {
            core.desk.send(words, owner).await;
        }
        let held = own(&core);
        let peers = core.peers.addrs_by_status().alive;
        let changed = held != last;
        let told = match telling.tick(sum(&held), changed, peers.len()) {
            Recipients::Nobody => Vec::new(),
            Recipients::Rotation => some(&peers, &mut turn),
            Recipients::All => peers,
        };
        if !told.is_empty() {
            let datagram = Datagram::Loads(core.settings().vm.clone(), held.clone());
            send(&core, &socket, &datagram, &told).await;
        }
        last = held;
    }
}

/// What all peers are told at once.
fn news(core: &Core) -> Vec<Datagram> {
    let me = &core.settings().vm;
    let outbox = &core.peers.outbox;
    let words = core.fleet.lock().silences.take_outgoing();
    let engines = outbox.take();
    let mut all = Vec::new();
    all.extend(
        engines
            .chunks(PIECES)
            .map(|news| Datagram::Engines(news.to_vec())),
    );
    all.extend(
        words
            .chunks(WORDS)
            .map(|words| Datagram::Silent(me.clone(), words.to_vec())),
    );
    all.extend(outbox.readings().into_iter().map(Datagram::Reading));
    all.extend(outbox.stores().into_iter().map(Datagram::StoreOut));
    all
}

/// Takes in what a VM says of upstreams that do not answer.
fn take_words(core: &Core, vm: &VmId, words: &[SilenceReport]) {
    let now = clock::now();
    let mut fleet = core.fleet.lock();
    for word in words {
        let was = fleet.silences.is_silent(word.seed, now);
        fleet.silences.apply(vm, *word, now);
        let is = fleet.silences.is_silent(word.seed, now);
        if was != is {
            let found = fleet.upstreams().find(|up| up.life == word.seed);
            let upstream = found.map(|up| up.id.clone());
            info!(event = events::UPSTREAM, upstream = ?upstream, change = if is { "silent" } else { "answers" }, by = %vm, avoided_ms = word.avoided_ms, "others say so");
        }
    }
}

fn sum(held: &[UpstreamLoad]) -> Sum {
    Sum {
        running: held.iter().map(|held| held.running).sum(),
        unread: held.iter().map(|held| held.unread).sum(),
    }
}

/// What this VM has at upstreams and has asked of stores.
fn own(core: &Core) -> Vec<UpstreamLoad> {
    let mut fleet = core.fleet.lock();
    fleet.loads.tick(clock::now());
    fleet.placed.expire(clock::now());
    let upstreams = fleet.upstreams().filter_map(Upstream::held);
    // A store is told like an upstream that reads what was asked of it, which needs no message of its own.
    upstreams.chain(fleet.kept.loads()).collect()
}

/// Peers whose turn it is.
fn some(peers: &[SocketAddr], turn: &mut usize) -> Vec<SocketAddr> {
    let count = peers.len().min(FANOUT);
    let chosen = (0..count).map(|at| peers[(*turn + at) % peers.len()]);
    let chosen = chosen.collect();
    *turn = turn.wrapping_add(count);
    chosen
}

async fn send(core: &Core, socket: &UdpSocket, datagram: &Datagram, peers: &[SocketAddr]) {
    let Some(bytes) = datagram.encode() else {
        return;
    };
    let port = core.settings().listen.loads.port();
    for peer in peers {
        // A full link drops datagrams; what matters is told again.
        drop(
            socket
                .send_to(&bytes, SocketAddr::new(peer.ip(), port))
                .await,
        );
    }
}

async fn hear(core: Arc<Core>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; LONGEST];
    while core.phase() < Phase::Ended {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            sleep(TICK).await;
            continue;
        };
        match rmp_serde::from_slice::<Datagram>(&buffer[..length]) {
            Ok(Datagram::Loads(vm, held)) => {
                core.fleet.lock().loads.record(vm, held, clock::now());
            }
            Ok(Datagram::Engines(news)) => apply_engine_updates(&core, &news),
            Ok(Datagram::Silent(vm, words)) => take_words(&core, &vm, &words),
            Ok(Datagram::Reading(reading)) => follow::hear(&core, reading),
            Ok(Datagram::StoreOut(store)) => {
                core.fleet.lock().kept.mark_unavailable(store, clock::now());
            }
            Ok(Datagram::Placing(Say::Ask(ask))) => {
                let answer = placing::answer(&core, from, &ask);
                core.desk.send(Say::Answer(answer), from).await;
            }
            Ok(Datagram::Placing(Say::Answer(answer))) => {
                core.desk.answered(answer.number, answer.found);
            }
            Ok(Datagram::Placing(Say::Words(words))) => placing::hear(&core, from, &words),
            Ok(Datagram::Quarantine(message)) => quarantine::receive(&core, from, message).await,
            Err(error) => {
                info!(event = events::PEER, %from, %error, "a datagram cannot be read");
            }
        }
    }
}

/// Takes in news of engines.
pub fn apply_engine_updates(core: &Core, news: &[EngineUpdate]) {
    let now = clock::now();
    let mut fleet = core.fleet.lock();
    for piece in news {
        match fleet.met(&piece.engine, piece.born) {
            // A take-out, or weights, of a former life say nothing about this one.
            Change::Former => {
                info!(event = events::DISCARDED, upstream = %piece.engine, born = piece.born.map(|born| born.0), "a peer's word is of a former life");
                continue;
            }
            Change::Restarted => {
                info!(event = events::UPSTREAM, upstream = %piece.engine, change = "Restarted", born = piece.born.map(|born| born.0), "a peer met a newer life");
            }
            _ => {}
        }
        let Some(engine) = fleet.get_mut(&piece.engine) else {
            continue;
        };
        let was_out = engine.is_paused(now);
        let until = now + Duration::from_millis(u64::from(piece.out_ms));
        if piece.gone {
            engine.leave_alone(until);
        } else {
            engine.pause(until);
        }
        if was_out != (piece.out_ms > 0) {
            info!(event = events::UPSTREAM, upstream = %piece.engine, change = if was_out { "back" } else { "out" }, out_ms = piece.out_ms, "a VM takes an upstream out or gives it back");
        }
        // Within a life weights only rise, and the word of an earlier load may come after that of a later one.
        if let Some(weights) = &piece.weights
            && engine.version(&weights.model) < Some(weights.version)
        {
            engine.holds(&weights.model, weights.version);
        }
    }
}

/// Tells all VMs that a store of kept cache does not answer.
pub fn broadcast_store_unavailable(core: &Core, store: SocketAddr) {
    core.peers.outbox.put_store(store);
}

/// Tells all VMs news of an engine, this one at once.
pub fn broadcast_engine_update(core: &Core, news: EngineUpdate) {
    apply_engine_updates(core, std::slice::from_ref(&news));
    core.peers.outbox.put(news);
}
