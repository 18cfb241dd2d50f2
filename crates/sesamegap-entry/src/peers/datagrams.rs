//! UDP datagrams among entry VMs: loads to some or all peers, events to all peers.
//!
//! An event is something that one VM found or did and that the others would otherwise discover by themselves, at the
//! cost of a caller's wait or of a call: engines that are paused or gone, upstreams and stores that do not respond,
//! and readings of the store. The content of a lost datagram is recovered from the next one, from an upstream's own
//! response, or by reading the store.
//!
//! A roll of weights takes half of the engines out almost at once, and all VMs must know. With an HTTP request for each
//! engine and peer, 84 VMs and 140 engines kept the VM that carries out the roll busy for seconds, and it never gave an
//! order to any engine.

use super::client::answer_suspicions;
use super::loads::UpstreamLoad;
use super::message::{EngineUpdate, apply_engine_updates};
use super::relay::{Delegated, Relayed, broadcast, relay, run_readings, send_for};
use crate::clock;
use crate::core::{Core, Phase};
use crate::follow::{self, TablePart, TableUpdate};
use crate::placing::{self, PlacementMessage};
use crate::quarantine;
use crate::quota;
use crate::resumption;
use crate::telemetry::events;
use rustc_hash::FxHashSet;
use serde::{Deserialize, Serialize};
use sesamegap_policy::agreement::membership::{MemberUpdate, Status};
use sesamegap_policy::routing::dissemination::{FANOUT, RecipientSelector, Recipients, Sum};
use sesamegap_policy::routing::silence::SilenceReport;
use sesamegap_policy::routing::upstream_limits;
use sesamegap_wire::{DomainId, VmId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tracing::{info, warn};

/// Time between datagrams while something changes: a fifth of the time that an engine needs for a prompt.
const TICK: Duration = Duration::from_millis(50);

/// Most reports on silent upstreams in one datagram; at 15 bytes each they fit.
const MAX_SILENCE_REPORTS: usize = 64;

/// Most engine updates in one datagram; with the engines' names they stay below the MTU of a link.
const MAX_ENGINE_UPDATES: usize = 16;

/// Ticks between two passes that forget old limits of upstreams.
const LIMIT_EXPIRY_TICKS: u32 = 100;

/// Longest datagram, in bytes; loads of about fifty upstreams fit.
pub(super) const MAX_DATAGRAM_BYTES: usize = 1_400;

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum Datagram {
    /// The load that a VM has placed on upstreams.
    Loads(VmId, Vec<UpstreamLoad>),
    /// Updates on engines.
    Engines(Vec<EngineUpdate>),
    /// A VM's reports on upstreams that do not respond.
    Silent(VmId, Vec<SilenceReport>),
    /// What a VM of an earlier release has read from the store for all VMs.
    Reading(TableUpdate),
    /// A kept-KV store does not respond.
    StoreOut(SocketAddr),
    /// A message to or from the owner of a shard.
    Placing(PlacementMessage),
    /// A message about requests during which upstreams crashed.
    Quarantine(quarantine::Message),
    /// A message about rate limits of teams.
    Quota(sesamegap_policy::quota::Message),
    /// An update on a VM, with its failure domain if the VM itself sends it.
    Member(MemberUpdate, Option<DomainId>),
    /// A message about streams that callers may take up again.
    Resumption(sesamegap_policy::resumption::Message),
    /// An event that the receiver relays to other VMs.
    Relayed(Relayed),
    /// A part of what a VM has read from the store for all VMs, and the age of the reading in milliseconds.
    Part(TablePart, u32),
    /// An event that the receiver sends to all VMs by relays.
    Delegated(Delegated),
    /// A message about the limits of upstreams.
    Limits(upstream_limits::Message),
}

impl Datagram {
    /// Encodes the datagram; logs the reason and returns `None` if it cannot be sent.
    pub(super) fn encode(&self) -> Option<Vec<u8>> {
        match rmp_serde::to_vec(self) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => Some(bytes),
            Ok(bytes) => {
                info!(
                    event = events::PEER,
                    bytes = bytes.len(),
                    "message exceeds the datagram size limit"
                );
                None
            }
            Err(error) => {
                warn!(event = events::PEER, %error, "failed to encode a datagram");
                None
            }
        }
    }
}

/// Encodes a message to or from the owner of a shard, if it can be sent.
pub fn encode_placing(message: PlacementMessage) -> Option<Vec<u8>> {
    Datagram::Placing(message).encode()
}

/// Encodes a quarantine message, if it can be sent.
pub fn encode_quarantine(message: quarantine::Message) -> Option<Vec<u8>> {
    Datagram::Quarantine(message).encode()
}

/// Encodes a message about the limits of upstreams, if it can be sent.
pub fn encode_limits(message: &upstream_limits::Message) -> Option<Vec<u8>> {
    Datagram::Limits(message.clone()).encode()
}

/// Encodes a message about rate limits, if it can be sent.
pub fn encode_quota(message: &sesamegap_policy::quota::Message) -> Option<Vec<u8>> {
    Datagram::Quota(message.clone()).encode()
}

/// Encodes a message about streams that callers may take up again, if it can be sent.
pub fn encode_resumption(message: &sesamegap_policy::resumption::Message) -> Option<Vec<u8>> {
    Datagram::Resumption(message.clone()).encode()
}

/// Sends and receives datagrams until the process ends.
pub async fn run_datagrams(core: Arc<Core>) {
    let addr = core.settings().listen.loads;
    let socket = match UdpSocket::bind(addr).await {
        Ok(socket) => Arc::new(socket),
        Err(error) => {
            // Without the socket, the process places requests by its own load alone.
            warn!(event = events::PEER, %addr, %error, "failed to bind the datagram socket; loads are not exchanged");
            return;
        }
    };
    core.peers.socket.set(Arc::clone(&socket));
    core.placement_client.socket.set(Arc::clone(&socket));
    core.quarantine.socket.set(Arc::clone(&socket));
    core.quota.socket.set(Arc::clone(&socket));
    core.resumption.socket.set(Arc::clone(&socket));
    tokio::spawn(receive(Arc::clone(&core), Arc::clone(&socket)));
    tokio::spawn(run_readings(Arc::clone(&core)));
    let mut last_loads: Vec<UpstreamLoad> = Vec::new();
    let mut recipients = RecipientSelector::default();
    let mut next_peer = 0;
    let mut ticks: u32 = 0;
    while core.phase() < Phase::Exiting {
        sleep(TICK).await;
        ticks = ticks.wrapping_add(1);
        core.peers.log_changes();
        quarantine::tick(&core, ticks).await;
        quota::tick(&core);
        resumption::tick(&core).await;
        tick_limits(&core, ticks).await;
        for update in core.peers.outbox.members() {
            spread_member(&core, update).await;
        }
        for event in pending_events(&core) {
            broadcast(&core, event).await;
        }
        for (owner, reports) in core.placement_client.take_reports() {
            core.placement_client.send(reports, owner).await;
        }
        let loads = own_loads(&core);
        let peers = core.peers.datagram_addrs();
        let changed = loads != last_loads;
        let chosen = match recipients.tick(sum(&loads), changed, peers.len()) {
            Recipients::Nobody => Vec::new(),
            Recipients::Rotation => next_in_rotation(&peers, &mut next_peer),
            Recipients::All => peers,
        };
        if !chosen.is_empty() {
            let datagram = Datagram::Loads(core.settings().vm.clone(), loads.clone());
            send(&socket, &datagram, &chosen).await;
        }
        last_loads = loads;
    }
}

/// Tells peers of changed limits, and forgets old ones.
async fn tick_limits(core: &Core, ticks: u32) {
    let now = clock::now();
    for message in core.limits.take_news(now) {
        broadcast(core, Datagram::Limits(message)).await;
    }
    if ticks.is_multiple_of(LIMIT_EXPIRY_TICKS) {
        let fleet = core.fleet.lock();
        let mut limits = core.limits.known.lock();
        if !limits.is_empty() {
            let listed: FxHashSet<u64> = fleet.upstreams().map(|up| up.life).collect();
            limits.expire(|life| listed.contains(&life), now);
        }
    }
}

/// Handles a message about the limits of upstreams.
async fn receive_limits(core: &Core, from: SocketAddr, message: upstream_limits::Message) {
    let counter = |life| core.peers.counter(life, core.phase() == Phase::Serving);
    let received = core.limits.receive(from, message, counter, clock::now());
    for (life, change) in received.changes {
        let fleet = core.fleet.lock();
        let found = fleet.upstreams().find(|up| up.life == life);
        let upstream = found.map(|up| tracing::field::display(&up.id));
        info!(event = events::UPSTREAM_LIMIT, upstream, life, ?change, by = %from, "limit of an upstream");
    }
    for reply in received.replies {
        if let Some(bytes) = encode_limits(&reply) {
            core.peers.socket.send(&bytes, from).await;
        }
    }
}

/// Sends an update on a VM to all peers, and to that VM if it is suspected, so that it can refute it.
async fn spread_member(core: &Core, update: MemberUpdate) {
    let is_failed = update.status >= Status::Suspect;
    let addr = SocketAddr::new(update.addr.ip(), core.settings().listen.loads.port());
    let event = Datagram::Member(update, None);
    if is_failed && let Some(bytes) = event.encode() {
        core.peers.socket.send(&bytes, addr).await;
    }
    broadcast(core, event).await;
}

/// Takes the events to send to all peers.
fn pending_events(core: &Core) -> Vec<Datagram> {
    let me = &core.settings().vm;
    let outbox = &core.peers.outbox;
    let reports = core.fleet.lock().silence_reports.take_outgoing();
    let engines = outbox.take();
    let mut datagrams = Vec::new();
    datagrams.extend(
        engines
            .chunks(MAX_ENGINE_UPDATES)
            .map(|updates| Datagram::Engines(updates.to_vec())),
    );
    datagrams.extend(
        reports
            .chunks(MAX_SILENCE_REPORTS)
            .map(|reports| Datagram::Silent(me.clone(), reports.to_vec())),
    );
    datagrams.extend(outbox.stores().into_iter().map(Datagram::StoreOut));
    datagrams
}

/// Applies a VM's reports on upstreams that do not respond.
fn apply_silence_reports(core: &Core, vm: &VmId, reports: &[SilenceReport]) {
    let now = clock::now();
    let mut fleet = core.fleet.lock();
    for report in reports {
        let was_silent = fleet.silence_reports.is_silent(report.seed, now);
        fleet.silence_reports.apply(vm, *report, now);
        let is_silent = fleet.silence_reports.is_silent(report.seed, now);
        if was_silent != is_silent {
            let found = fleet.upstreams().find(|up| up.life == report.seed);
            let upstream = found.map(|up| up.id.clone());
            info!(event = events::UPSTREAM, upstream = ?upstream, change = if is_silent { "silent" } else { "answers" }, by = %vm, avoided_ms = report.avoided_ms, "others say so");
        }
    }
}

fn sum(loads: &[UpstreamLoad]) -> Sum {
    Sum {
        running: loads.iter().map(|load| load.running).sum(),
        unread: loads.iter().map(|load| load.unread).sum(),
    }
}

/// Returns this VM's load on upstreams and its tokens in flight from stores.
fn own_loads(core: &Core) -> Vec<UpstreamLoad> {
    let mut fleet = core.fleet.lock();
    fleet.loads.tick(clock::now());
    fleet.placements.expire(clock::now());
    fleet.expire_speeds(clock::now());
    let mut loads = fleet.held_loads();
    // A store is reported like an upstream whose unread tokens are those in flight, so no separate message is needed.
    loads.extend(fleet.kept.loads());
    loads
}

/// Returns the next peers in round-robin order.
fn next_in_rotation(peers: &[SocketAddr], next: &mut usize) -> Vec<SocketAddr> {
    let count = peers.len().min(FANOUT);
    let chosen = (0..count).map(|at| peers[(*next + at) % peers.len()]);
    let chosen = chosen.collect();
    *next = next.wrapping_add(count);
    chosen
}

async fn send(socket: &UdpSocket, datagram: &Datagram, peers: &[SocketAddr]) {
    let Some(bytes) = datagram.encode() else {
        return;
    };
    for peer in peers {
        // A saturated link drops datagrams; important content is sent again.
        drop(socket.send_to(&bytes, *peer).await);
    }
}

async fn receive(core: Arc<Core>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while core.phase() < Phase::Exiting {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            sleep(TICK).await;
            continue;
        };
        core.peers.record_heard(from.ip());
        match rmp_serde::from_slice::<Datagram>(&buffer[..length]) {
            Ok(Datagram::Relayed(relayed)) => relay(&core, relayed).await,
            Ok(Datagram::Delegated(delegated)) => send_for(&core, delegated).await,
            Ok(datagram) => handle(&core, datagram, from).await,
            Err(error) => {
                info!(event = events::PEER, %from, %error, "failed to decode a datagram");
            }
        }
    }
}

/// Applies a datagram from the VM that sent it first.
pub(super) async fn handle(core: &Arc<Core>, datagram: Datagram, from: SocketAddr) {
    match datagram {
        Datagram::Loads(vm, loads) => {
            core.fleet.lock().loads.record(vm, loads, clock::now());
        }
        Datagram::Engines(updates) => apply_engine_updates(core, &updates),
        Datagram::Silent(vm, reports) => apply_silence_reports(core, &vm, &reports),
        Datagram::Reading(reading) => follow::receive_update(core, reading, from),
        Datagram::Part(part, age_ms) => {
            let at = clock::ago(Duration::from_millis(u64::from(age_ms)));
            follow::receive_part(core, part, at, from);
        }
        Datagram::StoreOut(store) => {
            core.fleet.lock().kept.mark_unavailable(store, clock::now());
        }
        Datagram::Placing(PlacementMessage::Ask(ask)) => {
            let answer = placing::answer_query(core, from, &ask);
            core.placement_client
                .send(PlacementMessage::Answer(answer), from)
                .await;
        }
        Datagram::Placing(PlacementMessage::Answer(answer)) => {
            core.placement_client.complete_query(answer);
        }
        Datagram::Placing(PlacementMessage::Reports(reports)) => {
            placing::apply_reports(core, from, &reports);
        }
        Datagram::Quota(message) => quota::receive(core, from, &message),
        Datagram::Limits(message) => receive_limits(core, from, message).await,
        Datagram::Resumption(message) => resumption::receive(core, from, message),
        Datagram::Quarantine(message) => quarantine::receive(core, from, message).await,
        Datagram::Member(update, domain) => {
            if let Some(domain) = domain {
                core.peers.set_domain(update.addr.ip(), domain);
            }
            // Not sent on: every receiver of a broadcast would send another one.
            core.peers.apply_update(&update, clock::now());
            answer_suspicions(core);
        }
        Datagram::Relayed(_) | Datagram::Delegated(_) => {
            // A relay sends the event itself, so a second level cannot be meant for this VM.
            info!(event = events::PEER, %from, "discarded an event that was wrapped twice");
        }
    }
}

/// Tells all peers that a kept-KV store does not respond.
pub fn broadcast_store_unavailable(core: &Core, store: SocketAddr) {
    core.peers.outbox.put_store(store);
}
