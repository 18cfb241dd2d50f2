//! The other entry VMs.
//!
//! Rounds of probes keep a table of who is alive ([`Members`]). Each probe and its answer carry
//! what one side knows and the other does not: a newer document, newer weights. So a VM that the
//! store turns away goes on with what its peers know, at the cost of one small exchange a round.
//! News of engines that are about to load weights is pushed to all.

mod client;
mod datagrams;
mod loads;
mod message;
mod outbox;
mod server;

pub use client::{broadcast_state, run_probes};
pub use datagrams::{
    apply_engine_updates, broadcast_engine_update, broadcast_store_unavailable, placing,
    quarantine, run_datagrams,
};
pub use loads::{Loads, UpstreamLoad};
pub use message::{EngineUpdate, learn_weights};
pub use outbox::{Outbox, take_repeated};
pub use server::endpoints;

use crate::clock;
use crate::settings::Settings;
use rand::Rng;
use sesamegap_policy::agreement::ProcessId;
use sesamegap_policy::agreement::membership::{
    MemberUpdate, Members, MembershipConfig, Probe, Status,
};
use sesamegap_policy::routing::engines::{rank, seed};
use sesamegap_wire::{Incarnation, Moment, VmId};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

/// How long a suspected peer has to refute it; callers are not sent to it meanwhile.
const SUSPICION: Duration = Duration::from_millis(1_500);

/// How long a roster of VMs is used: looking them up for each request costs more than placing it.
const ROSTER: Duration = Duration::from_millis(200);

/// How long a dead peer is remembered.
const MEMORY: Duration = Duration::from_secs(20);

/// Peers by what is believed of them.
#[derive(Debug, Default)]
pub struct PeerAddrs {
    /// Those that answer.
    pub alive: Vec<SocketAddr>,
    /// Those that did not answer lately.
    pub suspected: Vec<SocketAddr>,
}

/// The table of peers, shared.
#[derive(Debug)]
pub struct Peers {
    me: ProcessId,
    members: Mutex<Members>,
    /// News of engines that is still to be sent.
    pub outbox: Outbox,
    client: reqwest::Client,
    /// Whether another VM has told what it knows since this process started.
    met: watch::Sender<bool>,
    loads_port: u16,
    roster: Mutex<Roster>,
}

/// When VMs were last looked up, and which there were.
type Roster = (Option<Moment>, Arc<Vec<(u64, Option<SocketAddr>)>>);

impl Peers {
    /// Starts with nobody known.
    pub fn new(settings: &Settings) -> Self {
        let me = ProcessId {
            vm: settings.vm.clone(),
            incarnation: Incarnation(clock::unix_ms()),
        };
        let rules = MembershipConfig {
            suspicion: SUSPICION,
            memory: MEMORY,
            indirect: 0,
        };
        let members = Members::new(me.clone(), settings.listen.peers, rules);
        Self {
            me,
            members: Mutex::new(members),
            outbox: Outbox::default(),
            client: client::build(),
            met: watch::channel(false).0,
            loads_port: settings.listen.loads.port(),
            roster: Mutex::default(),
        }
    }

    /// Waits until another VM has told what it knows, which has been taken in then.
    pub async fn wait_for_first_peer(&self, longest: Duration) {
        let mut met = self.met.subscribe();
        drop(timeout(longest, met.wait_for(|met| *met)).await);
    }

    /// This process.
    pub fn local_process(&self) -> &ProcessId {
        &self.me
    }

    /// Entry VMs that there are, this one and those in doubt included.
    ///
    /// Shares of fleet-wide bounds are divided by it; one in doubt may still spend its share.
    pub fn count(&self) -> usize {
        self.lock().peers().count() + 1
    }

    /// Peers by what is believed of them.
    pub fn addrs_by_status(&self) -> PeerAddrs {
        let members = self.lock();
        let mut known = PeerAddrs::default();
        for peer in members.peers() {
            match peer.latest.status {
                Status::Alive => known.alive.push(peer.latest.addr),
                Status::Suspect | Status::Dead => known.suspected.push(peer.latest.addr),
                Status::Leaving => {}
            }
        }
        known
    }

    /// VMs that answer, this one included.
    pub fn alive(&self) -> Vec<VmId> {
        let members = self.lock();
        let others = members.alive().map(|peer| peer.latest.who.vm.clone());
        others.chain([self.me.vm.clone()]).collect()
    }

    /// Numbers of the VMs that answer, with where each takes datagrams; this one has no address.
    pub fn roster(&self) -> Arc<Vec<(u64, Option<SocketAddr>)>> {
        let now = clock::now();
        let mut roster = self.roster.lock().unwrap_or_else(PoisonError::into_inner);
        if roster.0.is_none_or(|at| now.since(at) >= ROSTER) {
            let members = self.lock();
            let others = members.alive().map(|peer| {
                let addr = SocketAddr::new(peer.latest.addr.ip(), self.loads_port);
                (seed(peer.latest.who.vm.as_str()), Some(addr))
            });
            let me = (seed(self.me.vm.as_str()), None);
            *roster = (Some(now), Arc::new(others.chain([me]).collect()));
        }
        Arc::clone(&roster.1)
    }

    /// Whether this VM is among the first `count` of those that answer, in the order of a line.
    ///
    /// Duties that a few VMs have for all are given so, without a message.
    pub fn is_among_first(&self, count: usize, line: u64) -> bool {
        let place = |vm: &VmId| rank(line, seed(vm.as_str()));
        let mine = place(&self.me.vm);
        let alive = self.alive();
        alive.iter().filter(|vm| place(vm) > mine).count() < count
    }

    /// Where the first VMs in the order of a line take datagrams; none for this one.
    pub fn first_ranked(&self, count: usize, line: u64) -> Vec<Option<SocketAddr>> {
        let roster = self.roster();
        let mut order: Vec<_> = roster.iter().collect();
        order.sort_unstable_by_key(|(vm, _)| std::cmp::Reverse(rank(line, *vm)));
        let first = order.into_iter().take(count);
        first.map(|(_, addr)| *addr).collect()
    }

    /// Where all VMs that answer take datagrams.
    pub fn datagram_addrs(&self) -> Vec<SocketAddr> {
        self.roster().iter().filter_map(|(_, addr)| *addr).collect()
    }

    /// Takes in what a peer says of itself.
    pub fn apply_update(&self, news: &MemberUpdate, now: Moment) {
        self.lock().apply_update(news, now);
    }

    /// Takes the store's list of entry VMs.
    pub fn seed_members(&self, vms: Vec<(VmId, SocketAddr)>) {
        self.lock().seed(vms);
    }

    /// Says from now on that this process is about to stop.
    pub fn leave(&self) {
        self.lock().leave();
    }

    fn lock(&self) -> MutexGuard<'_, Members> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tick(&self, rng: &mut dyn Rng) -> Option<Probe> {
        self.lock().tick(clock::now(), rng)
    }

    fn me_now(&self) -> MemberUpdate {
        self.lock().me().clone()
    }
}
