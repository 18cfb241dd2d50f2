//! The other entry VMs.
//!
//! Periodic probes maintain a membership table ([`Members`]). Each probe and its reply carry state that the other side
//! may lack: a newer document and newer weights. A VM whose calls the store rejects thus continues with the state of
//! its peers, at the cost of one small message exchange per round. Updates on engines that are about to load weights
//! are broadcast to all VMs.

mod client;
mod counting;
mod datagrams;
mod error;
mod loads;
mod message;
pub mod numbers;
mod outbox;
mod relay;
pub mod repeated;
mod server;
mod socket;

pub use client::{ask_document, broadcast_state, pull, run_probes};
pub use datagrams::{
    broadcast_store_unavailable, encode_limits, encode_placing, encode_quarantine, encode_quota,
    encode_resumption, run_datagrams,
};
pub use error::PeerError;
pub use loads::{Loads, UpstreamLoad};
pub use message::{
    EngineUpdate, NamedWeights, apply_engine_updates, apply_state, broadcast_engine_update,
    learn_weights, named_weights,
};
pub use numbers::MessageNumbers;
pub use outbox::Outbox;
pub use relay::{broadcast_quarantine, broadcast_resumption};
pub use repeated::take_repeated;
pub use server::{CopyServer, endpoints};
pub use socket::PeerSocket;

use crate::clock;
use crate::settings::Settings;
use crate::telemetry::events;
use rand::Rng;
use rand::seq::IndexedRandom;
use rustc_hash::FxHashMap;
use sesamegap_policy::agreement::ProcessId;
use sesamegap_policy::agreement::membership::{
    MemberUpdate, Members, MembershipConfig, Probe, Status,
};
use sesamegap_policy::routing::engines::{rank, seed};
use sesamegap_policy::routing::gateways::{Avoided, Place};
use sesamegap_policy::routing::probing::Probing;
use sesamegap_policy::routing::reading::Hearing;
use sesamegap_wire::{DomainId, Incarnation, Moment, VmId};
use std::cmp::Reverse;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;
use tracing::info;

/// How long a suspected peer has to refute the suspicion; callers are not sent to it in the meantime.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long the roster of VMs is cached: building it for each request costs more than placing the request.
const ROSTER_TTL: Duration = Duration::from_millis(200);

/// How long a dead peer stays in the membership table.
const DEAD_PEER_RETENTION: Duration = Duration::from_secs(20);

/// Longest wait for the store's list of VMs at the start of a process.
const LIST_WAIT: Duration = Duration::from_millis(700);

/// Longest list of VMs that are all contacted when a process starts.
const MAX_CONTACTED: usize = 16;

/// Addresses of peers by membership status.
#[derive(Debug, Default)]
pub struct PeerAddrs {
    /// Peers that are alive.
    pub alive: Vec<SocketAddr>,
    /// Listed peers of which nothing is known yet.
    pub presumed: Vec<SocketAddr>,
    /// Peers that did not answer recently.
    pub suspected: Vec<SocketAddr>,
}

/// Minimum time between two log lines about answers of the locator, which come hundreds of times a second.
const ANSWER_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The membership table, shared by all tasks.
#[derive(Debug)]
pub struct Peers {
    me: ProcessId,
    members: Mutex<Members>,
    /// Updates that are still to be broadcast.
    pub outbox: Outbox,
    client: reqwest::Client,
    /// Whether another VM's state has been applied since this process started.
    peer_state_applied: watch::Sender<bool>,
    /// Whether the store's list of VMs was read, or cannot be.
    list_known: watch::Sender<bool>,
    /// Socket for events to all peers.
    pub(crate) socket: PeerSocket,
    domain: DomainId,
    /// Failure domains of peers, as far as known.
    domains: Mutex<FxHashMap<IpAddr, DomainId>>,
    datagram_port: u16,
    roster: Mutex<Roster>,
    /// Peers that recently could not send a request on for this VM.
    avoided_gateways: Mutex<Avoided<SocketAddr>>,
    hearing: Mutex<Hearing>,
    probing: Mutex<Probing<IpAddr>>,
    /// Wakes the task that keeps this VM's entry on the store's list when peers took it for dead.
    pub list_doubted: Notify,
    /// When an answer of the locator was last logged.
    answer_logged: Mutex<Moment>,
}

/// When the roster was built, and its VMs.
type Roster = (Option<Moment>, Arc<Vec<(u64, Option<SocketAddr>)>>);

impl Peers {
    /// Creates a table without peers.
    pub fn new(settings: &Settings) -> Self {
        let me = ProcessId {
            vm: settings.vm.clone(),
            incarnation: Incarnation(clock::unix_ms()),
        };
        let config = MembershipConfig {
            suspicion: SUSPICION_TIMEOUT,
            memory: DEAD_PEER_RETENTION,
            indirect: 0,
            contactable: MAX_CONTACTED,
        };
        let members = Members::new(me.clone(), settings.listen.peers, config);
        Self {
            me,
            members: Mutex::new(members),
            outbox: Outbox::default(),
            client: client::build(),
            peer_state_applied: watch::channel(false).0,
            list_known: watch::channel(false).0,
            socket: PeerSocket::default(),
            domain: settings.domain.clone(),
            domains: Mutex::default(),
            datagram_port: settings.listen.loads.port(),
            roster: Mutex::default(),
            avoided_gateways: Mutex::default(),
            hearing: Mutex::new(Hearing::begin(clock::now())),
            probing: Mutex::default(),
            list_doubted: Notify::new(),
            answer_logged: Mutex::default(),
        }
    }

    /// Waits until another VM's state has been applied, at most for `longest`.
    pub async fn wait_for_first_peer(&self, longest: Duration) {
        let mut applied = self.peer_state_applied.subscribe();
        drop(timeout(longest, applied.wait_for(|applied| *applied)).await);
    }

    /// Waits until the store's list of VMs is known or cannot be read, at most for [`LIST_WAIT`].
    ///
    /// Without the list, every VM of a fleet that starts would take on the duties that a few perform for all.
    pub async fn wait_for_list(&self) {
        let mut known = self.list_known.subscribe();
        drop(timeout(LIST_WAIT, known.wait_for(|known| *known)).await);
    }

    /// Ends [`Peers::wait_for_list`].
    pub fn set_list_known(&self) {
        self.list_known.send_replace(true);
    }

    /// Returns the id of this process.
    pub fn local_process(&self) -> &ProcessId {
        &self.me
    }

    /// Returns the number of entry VMs, including this one and suspected ones.
    ///
    /// Fleet-wide bounds are divided by it; a suspected VM may still use its share.
    pub fn count(&self) -> usize {
        self.lock().peers().count() + 1
    }

    /// Returns the number of entry VMs that the store lists or that were alive recently, including this one; zero if the
    /// list has not been read.
    ///
    /// A VM that is cut off from all others still counts them.
    pub fn listed_count(&self) -> u32 {
        let members = self.lock();
        if members.is_seeded() {
            u32::try_from(members.known() + 1).unwrap_or(u32::MAX)
        } else {
            0
        }
    }

    /// Records that a message of a peer has arrived.
    pub fn record_heard(&self, peer: IpAddr) {
        let now = clock::now();
        self.lock_hearing().record(now);
        self.lock_probing().record_heard(peer, now);
    }

    fn lock_probing(&self) -> MutexGuard<'_, Probing<IpAddr>> {
        self.probing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this VM has heard no peer for so long that it must do without them.
    pub fn is_isolated(&self) -> bool {
        self.count() > 1 && self.lock_hearing().is_isolated(clock::now())
    }

    /// Returns whether this VM knows peers and hears none of them.
    pub fn is_cut_off(&self) -> bool {
        self.count() > 1 && self.lock_hearing().is_cut_off(clock::now())
    }

    fn lock_hearing(&self) -> MutexGuard<'_, Hearing> {
        self.hearing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the addresses of peers by membership status.
    pub fn addrs_by_status(&self) -> PeerAddrs {
        let is_isolated = self.is_isolated();
        let members = self.lock();
        let mut addrs = PeerAddrs::default();
        for peer in members.peers() {
            match peer.latest.status {
                Status::Alive if is_isolated => addrs.suspected.push(peer.latest.addr),
                Status::Alive if peer.is_confirmed() => addrs.alive.push(peer.latest.addr),
                Status::Alive => addrs.presumed.push(peer.latest.addr),
                Status::Suspect | Status::Dead => addrs.suspected.push(peer.latest.addr),
                Status::Leaving => {}
            }
        }
        addrs
    }

    /// Returns some peers that are alive, chosen at random: first one in this VM's failure domain, if any is known, then
    /// any.
    pub fn random_alive(&self, count: usize) -> Vec<SocketAddr> {
        let PeerAddrs {
            mut alive,
            presumed,
            ..
        } = self.addrs_by_status();
        alive.extend(presumed);
        let domains = self.lock_domains();
        let is_near = |addr: &&SocketAddr| domains.get(&addr.ip()) == Some(&self.domain);
        let near: Vec<SocketAddr> = alive.iter().filter(is_near).copied().collect();
        let mut rng = rand::rng();
        let first = near.choose(&mut rng).copied();
        let others = alive.sample(&mut rng, count).copied();
        let others = others.filter(|peer| Some(*peer) != first);
        first.into_iter().chain(others).take(count).collect()
    }

    /// Returns a peer that is alive and was heard of, chosen at random.
    fn random_confirmed(&self) -> Option<SocketAddr> {
        let alive = self.addrs_by_status().alive;
        alive.choose(&mut rand::rng()).copied()
    }

    /// Records the failure domain of a VM.
    pub fn set_domain(&self, vm: IpAddr, domain: DomainId) {
        self.lock_domains().insert(vm, domain);
    }

    /// Orders peers by failure domain, those of unknown domains last; within a domain the order stays.
    pub fn sort_by_domain(&self, peers: &mut [SocketAddr]) {
        let domains = self.lock_domains();
        peers.sort_by_cached_key(|addr| {
            let domain = domains.get(&addr.ip());
            (domain.is_none(), domain.cloned())
        });
    }

    fn lock_domains(&self) -> MutexGuard<'_, FxHashMap<IpAddr, DomainId>> {
        self.domains.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the VMs that are alive, including this one.
    pub fn alive(&self) -> Vec<VmId> {
        let is_isolated = self.is_isolated();
        let members = self.lock();
        let others = members.alive().filter(|_| !is_isolated);
        let others = others.map(|peer| peer.latest.who.vm.clone());
        others.chain([self.me.vm.clone()]).collect()
    }

    /// Returns the hash of each VM that is alive, with its datagram address; this VM has no address.
    pub fn roster(&self) -> Arc<Vec<(u64, Option<SocketAddr>)>> {
        let now = clock::now();
        let mut roster = self.roster.lock().unwrap_or_else(PoisonError::into_inner);
        if roster.0.is_none_or(|at| now.since(at) >= ROSTER_TTL) {
            let is_isolated = self.is_isolated();
            let members = self.lock();
            let others = members.alive().filter(|_| !is_isolated).map(|peer| {
                let addr = SocketAddr::new(peer.latest.addr.ip(), self.datagram_port);
                (seed(peer.latest.who.vm.as_str()), Some(addr))
            });
            let me = (seed(self.me.vm.as_str()), None);
            *roster = (Some(now), Arc::new(others.chain([me]).collect()));
        }
        Arc::clone(&roster.1)
    }

    /// Returns whether this VM is among the first `count` alive VMs in the ranking of a key.
    ///
    /// Assigns tasks that a few VMs perform for all, without any message.
    pub fn is_among_first(&self, count: usize, ranking_key: u64) -> bool {
        self.rank(ranking_key) < count
    }

    /// Returns the place of this VM among those that are alive, in the ranking of a key, from 0.
    pub fn rank(&self, ranking_key: u64) -> usize {
        let own_rank = rank(ranking_key, seed(self.me.vm.as_str()));
        let roster = self.roster();
        let higher = roster
            .iter()
            .filter(|(vm, _)| rank(ranking_key, *vm) > own_rank);
        higher.count()
    }

    /// Returns the datagram addresses of the first `count` VMs in the ranking of a key; `None` stands for this VM.
    pub fn first_ranked(&self, count: usize, ranking_key: u64) -> Vec<Option<SocketAddr>> {
        let roster = self.roster();
        let ranked = roster.iter();
        let mut ranked: Vec<_> = ranked
            .map(|(vm, addr)| (Reverse(rank(ranking_key, *vm)), *addr))
            .collect();
        if count < ranked.len() {
            ranked.select_nth_unstable_by_key(count, |(rank, _)| *rank);
            ranked.truncate(count);
        }
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, addr)| addr).collect()
    }

    /// Returns the datagram addresses of all other VMs that are alive.
    pub fn datagram_addrs(&self) -> Vec<SocketAddr> {
        self.roster().iter().filter_map(|(_, addr)| *addr).collect()
    }

    /// Returns the gateways for one attempt at an upstream in a failure domain, the best first.
    pub fn gateways_to(&self, upstream: &DomainId) -> Vec<SocketAddr> {
        let members = self.lock();
        let domains = self.lock_domains();
        let peers = members.peers().filter_map(|peer| {
            let ip = peer.latest.addr.ip();
            let place = match peer.latest.status {
                Status::Alive => Place::of(domains.get(&ip), upstream, &self.domain),
                Status::Leaving => Place::Stopping,
                Status::Suspect => Place::Unresponsive,
                Status::Dead => return None,
            };
            Some((SocketAddr::new(ip, self.datagram_port), place))
        });
        let avoided = self.lock_avoided();
        avoided.choose(peers.collect(), clock::now(), &mut rand::rng())
    }

    /// Returns whether a peer recently could not send a request on.
    pub fn is_gateway_avoided(&self, gateway: SocketAddr) -> bool {
        self.lock_avoided().contains(gateway, clock::now())
    }

    /// Records that a peer could not send a request on.
    pub fn avoid_gateway(&self, gateway: SocketAddr) {
        self.lock_avoided().avoid(gateway, clock::now());
    }

    fn lock_avoided(&self) -> MutexGuard<'_, Avoided<SocketAddr>> {
        self.avoided_gateways
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies an update on a peer; returns whether it shows that one is alive that was suspected or dead.
    pub fn apply_update(&self, update: &MemberUpdate, now: Moment) -> bool {
        self.lock().apply_update(update, now)
    }

    /// Records the failure of a probe; all peers learn of it at once.
    ///
    /// A VM that hears nobody is likely cut off itself. It learns nothing about its peers by probes, and would have to
    /// learn of each of them again afterwards.
    fn record_failed_probe(&self, vm: &VmId) {
        if self.is_cut_off() {
            return;
        }
        let suspicion = self.lock().probe_failed(vm, clock::now());
        if let Some(update) = suspicion {
            self.outbox.put_member(update);
        }
    }

    /// What this VM knows of all entry VMs.
    pub fn export(&self) -> Vec<MemberUpdate> {
        self.lock().export()
    }

    /// Applies what a peer knows of all entry VMs.
    pub fn import(&self, updates: &[MemberUpdate]) {
        self.lock().import(updates, clock::now());
    }

    /// The VMs whose entries are to be removed from the store's list.
    pub fn removable(&self) -> Vec<VmId> {
        self.lock().removable(clock::now())
    }

    /// Seeds the table with the store's list of entry VMs.
    pub fn seed_members(&self, vms: Vec<(VmId, SocketAddr)>) {
        self.lock().seed(vms, clock::now());
        self.roster.lock().unwrap_or_else(PoisonError::into_inner).0 = None;
    }

    /// Marks this process as leaving in all further updates.
    pub fn leave(&self) {
        self.lock().leave();
    }

    fn lock(&self) -> MutexGuard<'_, Members> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a line about an answer of the locator is due; if so, the next one is due after [`ANSWER_LOG_INTERVAL`].
    pub fn is_answer_log_due(&self) -> bool {
        let now = clock::now();
        let mut logged = self
            .answer_logged
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let is_due = now.since(*logged) >= ANSWER_LOG_INTERVAL;
        if is_due {
            *logged = now;
        }
        is_due
    }

    /// Logs the changes of peers' status since the last call.
    fn log_changes(&self) {
        let changes = self.lock().take_changes();
        for change in changes {
            info!(event = events::MEMBER, vm = %change.vm, former = ?change.former, status = ?change.status, lasted_ms = clock::millis(change.lasted), "the status of an entry VM changed");
        }
    }

    /// Expires suspicions, and selects the peers to probe in this round.
    fn tick(&self, rng: &mut dyn Rng) -> Vec<Probe> {
        let now = clock::now();
        let mut members = self.lock();
        let count = members.probes_due();
        (0..count).filter_map(|_| members.tick(now, rng)).collect()
    }

    fn local_update(&self) -> MemberUpdate {
        self.lock().me().clone()
    }
}
