//! Exchange of rights and charges between entry VMs.

use crate::catalogue::{Catalogue, Revision};
use crate::clock;
use crate::core::Core;
use crate::job::Job;
use crate::peers::{self, MessageNumbers, PeerSocket};
use crate::settings::Settings;
use crate::telemetry::events;
use rustc_hash::{FxHashMap, FxHashSet};
use sesamegap_policy::quota::{
    Charge, Message, Node, Outgoing, RateLimit, SHARDS, Target, Tolerance, Verdict, shard_of,
};
use sesamegap_policy::routing::engines::seed;
use sesamegap_wire::TeamId;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tracing::{debug, info};

/// Timeout of a charge, after which it is sent once more: several times a round trip, and the time for which a small
/// VM may have to wait for its share of a core.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(50);

/// How often a charge is sent before the VM asked counts as unresponsive.
const SENDS: u32 = 2;

/// Fraction of a shard above which a VM is logged as holding it.
const HELD: f64 = 0.5;

/// Rights of this VM and its open charges.
#[derive(Debug)]
pub struct QuotaClient {
    state: Mutex<State>,
    /// Socket for all messages.
    pub(crate) socket: PeerSocket,
}

#[derive(Debug)]
struct State {
    node: Node,
    numbers: MessageNumbers,
    pending: FxHashMap<u64, oneshot::Sender<Verdict>>,
    /// Revision of the document whose teams have buckets.
    revision: Revision,
    /// Whether more than half of each shard was held at the last tick.
    held: [bool; SHARDS],
}

impl State {
    /// Drops the buckets of teams that a new document does not limit.
    fn retain_teams(&mut self, catalogue: &Catalogue) {
        if self.revision != catalogue.revision() {
            self.revision = catalogue.revision();
            let limited = catalogue.limited_teams();
            let limited: FxHashSet<&TeamId> = limited.map(|team| &team.name).collect();
            self.node.retain(|team| limited.contains(team));
        }
    }
}

impl QuotaClient {
    /// Creates the state of a process that has just started.
    pub fn new(settings: &Settings) -> Self {
        let node = Node::new(seed(settings.vm.as_str()), settings.tolerance, clock::now());
        Self {
            state: Mutex::new(State {
                node,
                numbers: MessageNumbers::default(),
                pending: FxHashMap::default(),
                revision: Revision::default(),
                held: [false; SHARDS],
            }),
            socket: PeerSocket::default(),
        }
    }

    /// Replaces the tolerance of the limits.
    pub fn set_tolerance(&self, tolerance: Tolerance) {
        self.lock().node.set_tolerance(tolerance);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends messages without waiting; one that the network drops is sent again, or its effect expires.
    fn send(&self, out: Vec<Outgoing>) {
        let mut encoded: Option<(Message, Vec<u8>)> = None;
        for (to, message) in out {
            // Claims to all VMs are the same message.
            if encoded.as_ref().is_none_or(|(last, _)| *last != message) {
                encoded = peers::encode_quota(&message).map(|bytes| (message, bytes));
            }
            if let Some((_, bytes)) = &encoded {
                self.socket.try_send(bytes, to);
            }
        }
    }
}

/// Charges a request where its team is counted; returns also where that was.
pub(super) async fn charge(
    core: &Core,
    job: &Job,
    team: &TeamId,
    limit: RateLimit,
    cost: f64,
) -> (Verdict, Target) {
    let shard = shard_of(seed(team.as_str()));
    let charge = Charge {
        team,
        cost,
        priority: job.priority(),
        limit,
        revision: job.catalogue.revision().0,
    };
    let target = core.quota.lock().node.target(shard, clock::now());
    let Target::Remote(addr) = target else {
        return (charge_here(core, shard, &charge), target);
    };
    let verdict = charge_at(core, addr, &charge).await;
    (verdict, target)
}

fn charge_here(core: &Core, shard: usize, charge: &Charge<'_>) -> Verdict {
    let mut out = Vec::new();
    let verdict = {
        let mut state = core.quota.lock();
        state.node.charge(shard, charge, clock::now(), &mut out)
    };
    core.quota.send(out);
    verdict
}

async fn charge_at(core: &Core, addr: SocketAddr, charge: &Charge<'_>) -> Verdict {
    let (sender, mut verdict) = oneshot::channel();
    let number = {
        let mut state = core.quota.lock();
        let number = state.numbers.allocate();
        state.pending.insert(number, sender);
        number
    };
    let _pending = PendingCharge { core, number };
    let message = Message::charge(number, charge);
    for _ in 0..SENDS {
        core.quota.send(vec![(addr, message.clone())]);
        if let Ok(Ok(verdict)) = timeout(ANSWER_TIMEOUT, &mut verdict).await {
            return verdict;
        }
    }
    core.quota.lock().node.record_unanswered(addr, clock::now());
    info!(event = events::PEER, %addr, team = %charge.team, "VM that counts a team's use does not answer");
    Verdict::NoRights(Duration::ZERO)
}

/// A charge that waits for its answer; dropping it forgets the charge.
struct PendingCharge<'a> {
    core: &'a Core,
    number: u64,
}

impl Drop for PendingCharge<'_> {
    fn drop(&mut self) {
        self.core.quota.lock().pending.remove(&self.number);
    }
}

/// Charges a further run of a request, or returns the tokens of one that did not run (negative).
pub(super) fn adjust(core: &Core, team: &TeamId, cost: f64, target: Target) {
    match target {
        Target::Local => core.quota.lock().node.adjust(team, cost),
        Target::Remote(addr) => {
            let message = Message::Adjust(team.clone(), cost);
            core.quota.send(vec![(addr, message)]);
        }
    }
}

/// Sends the claims that are due; called at fixed intervals.
pub fn tick(core: &Core) {
    let Some(catalogue) = core.catalogue().filter(|all| all.has_quotas()) else {
        return;
    };
    let roster = core.peers.roster();
    let others = roster.iter().filter_map(|(vm, addr)| Some((*vm, (*addr)?)));
    let others = others.collect();
    let all = core.peers.listed_count();
    let mut out = Vec::new();
    {
        let mut state = core.quota.lock();
        state.retain_teams(&catalogue);
        state.node.set_vms(others, all);
        state.node.tick(clock::now(), &mut out);
        log_rights(&mut state);
    }
    core.quota.send(out);
}

/// Logs which shards this VM has begun or ceased to hold.
fn log_rights(state: &mut State) {
    for shard in 0..SHARDS {
        let fraction = state.node.fraction(shard);
        let held = fraction > HELD;
        if held != state.held[shard] {
            state.held[shard] = held;
            info!(
                event = events::QUOTA_RIGHTS,
                shard, held, fraction, "rights to a shard of the rate limits changed"
            );
        }
    }
}

/// Gives up all rights, because the process is about to stop.
pub fn stop(core: &Core) {
    let mut out = Vec::new();
    core.quota.lock().node.stop(clock::now(), &mut out);
    core.quota.send(out);
}

/// Handles a message of another VM.
pub fn receive(core: &Core, from: SocketAddr, message: &Message) {
    let now = clock::now();
    let mut out = Vec::new();
    let mut state = core.quota.lock();
    if let Some((number, charge)) = message.as_charge() {
        let shard = shard_of(seed(charge.team.as_str()));
        let verdict = state.node.charge(shard, &charge, now, &mut out);
        out.push((from, Message::charged(number, verdict)));
    }
    match message {
        Message::Charge { .. } => {}
        Message::Charged(number, outcome) => {
            let sender = state.pending.remove(number);
            if let Some(sender) = sender
                && sender.send(outcome.verdict()).is_err()
            {
                debug!(number, "the answer to a charge came too late");
            }
        }
        other => state.node.receive(from, other, now, &mut out),
    }
    drop(state);
    core.quota.send(out);
}
