//! Finds out which routers are alive.
//!
//! [`ProbedPeers`] holds the table of members; [`run`] sends one probe a round and, if the peer
//! does not answer, asks a few others to probe it in this router's place. Probes and answers
//! carry news of third ones, so all routers hear of a death, a start or a planned stop within a
//! few rounds, at a cost that does not grow with their number.

use super::message::{Hello, ProbeFor, Probed};
use super::{ListedPeers, Peer, Peers};
use crate::router::clock::Clock;
use crate::router::core::Core;
use crate::router::fleet::EntryVm;
use crate::router::lock;
use crate::router::phase::Phase;
use futures_util::future::join_all;
use sesamegap_policy::agreement::ProcessId;
use sesamegap_policy::agreement::membership::{
    MemberUpdate, Members, MembershipConfig, Probe, Status,
};
use sesamegap_wire::{Offset, VmId};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval};

/// Rounds that a suspected router has to refute it: a pause of that length must not cost it its
/// callers, and a dead one must not be asked for longer.
const SUSPICION_ROUNDS: u32 = 6;

/// Rounds that a dead router is remembered, so that late news of it does not bring it back.
const MEMORY_ROUNDS: u32 = 240;

/// Routers asked to probe in this one's place: with two, a broken link and one more failure at
/// the same time do not yet make a live router suspected.
const INDIRECT: usize = 2;

/// Knows from probes which other routers are alive.
#[derive(Debug)]
pub struct ProbedPeers {
    clock: Clock,
    said: ListedPeers,
    members: Mutex<Members>,
}

impl ProbedPeers {
    /// Starts with nobody but this router, which listens at `addr`; `round` is the time between
    /// two probes.
    pub fn new(me: ProcessId, addr: SocketAddr, clock: Clock, round: Duration) -> Self {
        let rules = MembershipConfig {
            suspicion: round * SUSPICION_ROUNDS,
            memory: round * MEMORY_ROUNDS,
            indirect: INDIRECT,
            contactable: usize::MAX,
        };
        Self {
            clock,
            said: ListedPeers::new(me.vm.clone(), round * SUSPICION_ROUNDS),
            members: Mutex::new(Members::new(me, addr, rules)),
        }
    }

    /// Takes the VM list as a hint whom to probe.
    fn seed(&self, listed: &[EntryVm]) {
        let seeds = listed.iter().map(|entry| (entry.vm.clone(), entry.router));
        lock(&self.members).seed(seeds, self.clock.now());
    }

    fn next(&self) -> Option<Probe> {
        lock(&self.members).tick(self.clock.now(), &mut rand::rng())
    }

    fn message(&self, news: Vec<MemberUpdate>) -> Probed {
        Probed {
            from: lock(&self.members).me().clone(),
            news,
        }
    }

    fn take(&self, heard: &Probed) {
        let now = self.clock.now();
        let mut members = lock(&self.members);
        members.apply_updates(&heard.news, now);
        members.apply_update(&heard.from, now);
    }

    /// Answers a probe, after taking in what it says.
    pub fn answer(&self, probe: &Probed) -> Probed {
        self.take(probe);
        let news = lock(&self.members).select_updates();
        self.message(news)
    }

    /// Says that this router is about to stop.
    pub fn leave(&self) {
        lock(&self.members).leave();
    }

    /// All that is believed, for a dump.
    pub fn beliefs(&self) -> Vec<MemberUpdate> {
        let members = lock(&self.members);
        members.peers().map(|peer| peer.latest.clone()).collect()
    }

    fn belief(&self, vm: &VmId) -> Option<MemberUpdate> {
        let members = lock(&self.members);
        members.peer(vm).map(|peer| peer.latest.clone())
    }
}

impl Peers for ProbedPeers {
    /// Those that the list names and that are not held dead, and those that only news names.
    ///
    /// A router of which nothing was heard yet counts as alive: at a start there is no other way
    /// to find the first one, and asking a dead one costs one failed connection.
    fn live(&self, listed: &[EntryVm]) -> Vec<Peer> {
        self.seed(listed);
        let mut peers = self.said.live(listed);
        peers.retain_mut(|peer| match self.belief(&peer.vm) {
            None => true,
            Some(news) => {
                peer.leaving |= news.status == Status::Leaving;
                if news.status != Status::Dead {
                    peer.router = news.addr;
                    peer.incarnation = Some(news.who.incarnation);
                }
                news.status != Status::Dead
            }
        });
        let members = lock(&self.members);
        let unlisted = members
            .alive()
            .filter(|peer| !listed.iter().any(|entry| entry.vm == peer.latest.who.vm));
        peers.extend(unlisted.map(|peer| Peer {
            vm: peer.latest.who.vm.clone(),
            router: peer.latest.addr,
            incarnation: Some(peer.latest.who.incarnation),
            leaving: false,
            settings: Offset(0),
        }));
        peers
    }

    fn heard(&self, hello: &Hello) {
        self.said.heard(hello);
    }
}

/// Probes one peer a round until the task is dropped.
pub async fn run(core: Arc<Core>) {
    let mut ticks = interval(core.config.timing.gossip);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if core.phases.now() > Phase::Serving && core.members.is_serving() {
            core.members.leave();
        }
        core.members.seed(&core.fleet.entries());
        if let Some(probe) = core.members.next() {
            send(&core, probe).await;
        }
    }
}

impl ProbedPeers {
    fn is_serving(&self) -> bool {
        lock(&self.members).me().status == Status::Alive
    }
}

async fn send(core: &Core, probe: Probe) {
    let message = core.members.message(probe.updates);
    let answer = match core.peer_client.probe(probe.addr, &message).await {
        Ok(answer) => Some(answer),
        Err(_) => through_others(core, probe.addr, &probe.through, &message).await,
    };
    if let Some(answer) = answer {
        core.members.take(&answer);
        return;
    }
    let now = core.members.clock.now();
    lock(&core.members.members).probe_failed(&probe.target, now);
}

/// Asks others to probe in this router's place; the first answer counts.
async fn through_others(
    core: &Core,
    target: SocketAddr,
    through: &[SocketAddr],
    probe: &Probed,
) -> Option<Probed> {
    let ask = ProbeFor {
        target,
        probe: probe.clone(),
    };
    let asked = through
        .iter()
        .map(|helper| core.peer_client.probe_for(*helper, &ask));
    join_all(asked).await.into_iter().find_map(Result::ok)
}
