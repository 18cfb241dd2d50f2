//! What the store of kept KV cache holds.
//!
//! Load: prompts of one dossier come seconds apart, and an engine's memory turns over sooner; what
//! was computed for the last one is gone from all engines. The store keeps it, but its link is ten
//! times slower than an engine's, so it is told to keep only what it does not hold yet, and asked
//! only for what it does. Measured at full load on twelve engines, shared tokens computed again
//! fell from 1.20 to 0.63 million in 50 s.
//!
//! The store's changes are followed over one waiting call. While that call fails the store counts
//! as empty: fetching from a dead one would hold each prompt up by a tenth of a second or more.

use crate::core::{Core, Phase};
use crate::ports::{KvChanges, Part};
use crate::telemetry::events;
use rustc_hash::{FxHashMap, FxHashSet, FxHasher};
use sesamegap_policy::routing::engines::{rank, seed};
use sesamegap_wire::{Moment, VmId};
use smol_str::SmolStr;
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use tracing::{info, warn};

/// How long the store may wait with an answer; it takes no more.
const WAIT: Duration = Duration::from_secs(1);

/// Pause after a call that failed.
const RETRY: Duration = Duration::from_millis(500);

/// VMs that follow the store at most: it answers twelve such calls at once, and refuses others.
const FOLLOWERS: usize = 10;

/// Requests to keep that are remembered until the store's own word comes: the prompt must first be
/// read, and changes are told late.
const PENDING: usize = 512;

/// Parts that the store holds, each under its namespace.
#[derive(Debug, Default)]
pub struct Kept {
    held: FxHashSet<u64>,
    asked: FxHashMap<u64, u64>,
    turn: u64,
    live: bool,
}

impl Kept {
    /// Whether the store holds all these parts.
    pub fn holds(&self, namespace: &SmolStr, parts: &[Part]) -> bool {
        self.live && !parts.is_empty() && parts.iter().all(|part| self.has(namespace, &part.name))
    }

    /// Whether the store should be told to keep these parts; they count as asked for from now on.
    pub fn ask(&mut self, namespace: &SmolStr, parts: &[Part]) -> bool {
        let Some(last) = parts.last() else {
            return false;
        };
        if !self.live || self.holds(namespace, parts) {
            return false;
        }
        let key = key(namespace, &last.name);
        self.turn += 1;
        let turn = self.turn;
        self.asked.retain(|_, at| turn - *at < PENDING as u64);
        self.asked.insert(key, turn).is_none()
    }

    fn has(&self, namespace: &SmolStr, part: &SmolStr) -> bool {
        self.held.contains(&key(namespace, part))
    }

    fn clear(&mut self) {
        *self = Self::default();
    }

    fn take(&mut self, changes: &KvChanges) {
        for change in &changes.changes {
            let key = key(&change.namespace, &change.part);
            self.asked.remove(&key);
            if change.held {
                self.held.insert(key);
            } else {
                self.held.remove(&key);
            }
        }
    }
}

/// Span over which transfers through the store are added up.
const SPAN: Duration = Duration::from_millis(400);

/// Transfers through the store that were just asked for.
///
/// Nobody tells when a transfer ends, so what its link can carry in a span bounds what is asked of
/// it in one: beyond that, transfers wait in one line, short prompts behind long ones.
#[derive(Debug, Default)]
pub struct Moves {
    asked: VecDeque<(Moment, u64)>,
}

impl Moves {
    /// Notes tokens that a request will move.
    pub fn note(&mut self, tokens: u64, now: Moment) {
        self.asked.retain(|(at, _)| now.since(*at) < SPAN);
        self.asked.push_back((now, tokens));
    }

    /// Tokens asked for within the span.
    pub fn sum(&self, now: Moment) -> u64 {
        let recent = self.asked.iter().filter(|(at, _)| now.since(*at) < SPAN);
        recent.map(|(_, tokens)| tokens).sum()
    }
}

fn key(namespace: &SmolStr, part: &SmolStr) -> u64 {
    let mut hasher = FxHasher::default();
    namespace.hash(&mut hasher);
    part.hash(&mut hasher);
    hasher.finish()
}

/// Follows the store until the process ends.
pub async fn follow(core: Arc<Core>) {
    let mut at: Option<(u64, u64)> = None;
    while core.phase() < Phase::Ended {
        let catalogue = core.catalogue();
        let store = catalogue.and_then(|catalogue| catalogue.kv_store().map(|store| store.addr));
        let Some(addr) = store.filter(|_| is_follower(&core)) else {
            sleep(RETRY * 4).await;
            continue;
        };
        match step(&core, addr, at).await {
            Ok(next) => at = Some(next),
            Err(error) => {
                let was = std::mem::take(&mut core.fleet.lock().kept);
                if was.live {
                    warn!(event = events::KEPT, store = %addr, error, "the store of kept cache does not answer");
                }
                at = None;
                sleep(RETRY).await;
            }
        }
    }
}

/// Takes in the next changes; the epoch and number to go on from.
async fn step(core: &Core, addr: SocketAddr, at: Option<(u64, u64)>) -> Result<(u64, u64), String> {
    let Some((epoch, since)) = at else {
        let all = core.ports.engines.held(addr).await?;
        let mut fleet = core.fleet.lock();
        fleet.kept.clear();
        fleet.kept.live = true;
        fleet.kept.take(&all);
        info!(event = events::KEPT, store = %addr, parts = all.changes.len(), "following the store of kept cache");
        return Ok((all.epoch, all.next));
    };
    let changes = core.ports.engines.changes(addr, since, WAIT).await?;
    if changes.epoch != epoch || changes.lost {
        return Err("it restarted, or changes were missed".to_owned());
    }
    core.fleet.lock().kept.take(&changes);
    Ok((epoch, changes.next))
}

/// Whether this VM is among those that follow the store.
fn is_follower(core: &Core) -> bool {
    let hash = |vm: &VmId| rank(1, seed(vm.as_str()));
    let mine = hash(&core.settings().vm);
    let before = core
        .peers
        .alive()
        .iter()
        .filter(|vm| hash(vm) > mine)
        .count();
    before < FOLLOWERS
}
