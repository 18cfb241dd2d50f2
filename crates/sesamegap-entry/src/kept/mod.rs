//! Whether the stores of kept KV cache answer.
//!
//! What a store holds is not followed: it answers a few followers only, however many VMs there are,
//! and asking it for parts that it does not hold costs a millisecond. Asking a dead one holds a prompt
//! up by a tenth of a second or more. So a few VMs keep a waiting call at each store, and tell all
//! others when it fails.

use crate::clock;
use crate::core::{Core, Phase};
use crate::fleet::SharedFleet;
use crate::peers::{UpstreamLoad, broadcast_store_unavailable};
use crate::telemetry::events;
use rustc_hash::FxHashMap;
use sesamegap_policy::routing::engines::seed;
use sesamegap_wire::{Incarnation, Moment};
use smol_str::ToSmolStr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use tracing::{info, warn};

/// How long a store may wait with an answer; it takes no more.
const WAIT: Duration = Duration::from_secs(1);

/// Pause after a call that failed, and between looks for a new store.
const RETRY: Duration = Duration::from_millis(500);

/// VMs that watch one store: it answers eight to twelve such calls at once, and refuses others.
const WATCHERS: usize = 8;

/// How long a store that did not answer is left alone: two looks, so that the next one renews it.
const OUT: Duration = Duration::from_millis(1_500);

/// Stores that did not answer lately, and what is on its way from each.
#[derive(Debug, Default)]
pub struct KvStoreStates {
    out: FxHashMap<SocketAddr, Moment>,
    asked: FxHashMap<SocketAddr, u64>,
}

impl KvStoreStates {
    /// Whether prompts should not wait for this store.
    pub fn is_unavailable(&self, store: SocketAddr, now: Moment) -> bool {
        self.out.get(&store).is_some_and(|until| now < *until)
    }

    /// Leaves a store alone for a while.
    pub fn mark_unavailable(&mut self, store: SocketAddr, now: Moment) {
        self.out.retain(|_, until| now < *until);
        self.out.insert(store, now + OUT);
    }

    /// Tokens that this VM has asked of a store and that have not arrived.
    pub fn in_flight_tokens(&self, store: SocketAddr) -> u64 {
        self.asked.get(&store).copied().unwrap_or(0)
    }

    fn ask(&mut self, store: SocketAddr, tokens: u64) {
        *self.asked.entry(store).or_default() += tokens;
    }

    fn arrived(&mut self, store: SocketAddr, tokens: u64) {
        if let Some(asked) = self.asked.get_mut(&store) {
            *asked = asked.saturating_sub(tokens);
        }
    }

    /// What this VM has asked of all stores, for its peers.
    pub fn loads(&self) -> impl Iterator<Item = UpstreamLoad> {
        let asked = self.asked.iter().filter(|(_, tokens)| **tokens > 0);
        asked.map(|(store, tokens)| UpstreamLoad {
            life: load_key(*store),
            running: 0,
            unread: *tokens,
        })
    }
}

/// A store's number among the lives that VMs tell of.
pub fn load_key(store: SocketAddr) -> u64 {
    seed(&store.to_smolstr())
}

/// Tokens on their way from a store, until it is dropped.
#[derive(Debug)]
pub struct InFlightTokens {
    fleet: SharedFleet,
    store: SocketAddr,
    tokens: u64,
}

impl InFlightTokens {
    /// Counts tokens as asked of a store.
    pub fn new(fleet: &SharedFleet, store: SocketAddr, tokens: u64) -> Self {
        fleet.lock().kept.ask(store, tokens);
        Self {
            fleet: fleet.clone(),
            store,
            tokens,
        }
    }
}

impl Drop for InFlightTokens {
    fn drop(&mut self) {
        self.fleet.lock().kept.arrived(self.store, self.tokens);
    }
}

/// Watches stores until the process ends.
pub async fn watch(core: Arc<Core>) {
    let mut watched = Vec::new();
    while core.phase() < Phase::Ended {
        if let Some(catalogue) = core.catalogue() {
            for store in catalogue.kv_stores() {
                if !watched.contains(&store.addr) {
                    watched.push(store.addr);
                    tokio::spawn(watch_one(Arc::clone(&core), store.addr));
                }
            }
        }
        sleep(RETRY).await;
    }
}

async fn watch_one(core: Arc<Core>, store: SocketAddr) {
    let line = load_key(store);
    let mut since = 0;
    let mut born = None;
    let mut answers = true;
    while core.phase() < Phase::Ended {
        if !core.peers.is_among_first(WATCHERS, line) {
            sleep(RETRY * 4).await;
            continue;
        }
        match core.ports.engines.cache_update(store, since, WAIT).await {
            Ok(news) => {
                // The number of a former life points to other news, or to none.
                let restarted = born.is_some() && news.born != born;
                since = if restarted { 0 } else { news.next };
                born = news.born;
                if restarted {
                    info!(event = events::KEPT, store = %store, born = born.map(|Incarnation(born)| born), "the store of kept cache started again");
                }
                if !answers {
                    answers = true;
                    info!(event = events::KEPT, store = %store, "the store of kept cache answers again");
                }
                // News comes many times a second at full load, and says nothing but that it lives.
                sleep(RETRY).await;
            }
            Err(error) => {
                if answers {
                    answers = false;
                    warn!(event = events::KEPT, store = %store, error, "the store of kept cache does not answer");
                }
                core.fleet.lock().kept.mark_unavailable(store, clock::now());
                broadcast_store_unavailable(&core, store);
                sleep(RETRY).await;
            }
        }
    }
}
