//! Health checks of the kept-KV stores, and the tokens in flight from them.
//!
//! The contents of a store are not tracked: a store serves only a few followers, however many VMs there are, and a
//! fetch of parts that it does not hold costs only a millisecond. A fetch from a dead store delays a prompt by a tenth
//! of a second or more. Therefore a few VMs keep a long poll open at each store and notify all others when it fails.

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

/// How long a store may hold a long poll open; it accepts no longer wait.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between polls of a store, and between checks for new stores in the catalogue.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Number of VMs that watch each store. A store serves eight to twelve long polls at once and refuses others.
const WATCHERS: usize = 8;

/// How long a store that did not answer counts as unavailable. Covers two polls, so that the next failed poll renews
/// it.
const UNAVAILABLE_FOR: Duration = Duration::from_millis(1_500);

/// Stores that did not answer recently, and the tokens in flight from each store.
#[derive(Debug, Default)]
pub struct KvStoreStates {
    unavailable_until: FxHashMap<SocketAddr, Moment>,
    in_flight: FxHashMap<SocketAddr, u64>,
}

impl KvStoreStates {
    /// Returns whether prompts should not be fetched from this store.
    pub fn is_unavailable(&self, store: SocketAddr, now: Moment) -> bool {
        self.unavailable_until
            .get(&store)
            .is_some_and(|until| now < *until)
    }

    /// Marks a store as unavailable for a while.
    pub fn mark_unavailable(&mut self, store: SocketAddr, now: Moment) {
        self.unavailable_until.retain(|_, until| now < *until);
        self.unavailable_until.insert(store, now + UNAVAILABLE_FOR);
    }

    /// Returns the tokens that this VM has requested from a store and that have not arrived.
    pub fn in_flight_tokens(&self, store: SocketAddr) -> u64 {
        self.in_flight.get(&store).copied().unwrap_or(0)
    }

    fn add_in_flight(&mut self, store: SocketAddr, tokens: u64) {
        *self.in_flight.entry(store).or_default() += tokens;
    }

    fn remove_in_flight(&mut self, store: SocketAddr, tokens: u64) {
        if let Some(in_flight) = self.in_flight.get_mut(&store) {
            *in_flight = in_flight.saturating_sub(tokens);
        }
    }

    /// Returns this VM's tokens in flight from each store, for its peers.
    pub fn loads(&self) -> impl Iterator<Item = UpstreamLoad> {
        let in_flight = self.in_flight.iter().filter(|(_, tokens)| **tokens > 0);
        in_flight.map(|(store, tokens)| UpstreamLoad {
            key: load_key(*store),
            running: 0,
            unread: *tokens,
        })
    }
}

/// Returns the key of a store in the load reports that VMs exchange.
pub fn load_key(store: SocketAddr) -> u64 {
    seed(&store.to_smolstr())
}

/// Counts tokens as in flight from a store until the guard is dropped.
#[derive(Debug)]
pub struct InFlightTokens {
    fleet: SharedFleet,
    store: SocketAddr,
    tokens: u64,
}

impl InFlightTokens {
    /// Adds tokens to those in flight from a store.
    pub fn new(fleet: &SharedFleet, store: SocketAddr, tokens: u64) -> Self {
        fleet.lock().kept.add_in_flight(store, tokens);
        Self {
            fleet: fleet.clone(),
            store,
            tokens,
        }
    }
}

impl Drop for InFlightTokens {
    fn drop(&mut self) {
        self.fleet
            .lock()
            .kept
            .remove_in_flight(self.store, self.tokens);
    }
}

/// Watches all stores of the catalogue until the process ends.
pub async fn watch(core: Arc<Core>) {
    core.peers.wait_for_list().await;
    let mut watched = Vec::new();
    while core.phase() < Phase::Exiting {
        if let Some(catalogue) = core.catalogue() {
            for store in catalogue.kv_stores() {
                if !watched.contains(&store.addr) {
                    watched.push(store.addr);
                    tokio::spawn(watch_store(Arc::clone(&core), store.addr));
                }
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn watch_store(core: Arc<Core>, store: SocketAddr) {
    let ranking_key = load_key(store);
    let mut since = 0;
    let mut born = None;
    let mut answering = true;
    while core.phase() < Phase::Exiting {
        if !core.peers.is_among_first(WATCHERS, ranking_key) {
            sleep(POLL_INTERVAL * 4).await;
            continue;
        }
        match core
            .ports
            .engines
            .cache_update(store, since, POLL_TIMEOUT)
            .await
        {
            Ok(update) => {
                // A sequence number of an earlier incarnation refers to other events, or to none.
                let restarted = born.is_some() && update.born != born;
                since = if restarted { 0 } else { update.next };
                born = update.born;
                if restarted {
                    info!(event = events::KV_STORE, store = %store, born = born.map(|Incarnation(born)| born), "the kept-KV store restarted");
                }
                if !answering {
                    answering = true;
                    info!(event = events::KV_STORE, store = %store, "the kept-KV store responds again");
                }
                // At full load, updates arrive many times a second; all they show is that the store is alive.
                sleep(POLL_INTERVAL).await;
            }
            Err(error) => {
                if answering {
                    answering = false;
                    warn!(event = events::KV_STORE, store = %store, error, "the kept-KV store does not respond");
                }
                // A VM that lost its own links would keep itself and all others from a good store.
                if core.reaches_others(store).await {
                    core.fleet.lock().kept.mark_unavailable(store, clock::now());
                    broadcast_store_unavailable(&core, store);
                }
                sleep(POLL_INTERVAL).await;
            }
        }
    }
}
