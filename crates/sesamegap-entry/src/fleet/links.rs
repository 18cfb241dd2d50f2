//! What the VM that places a prompt for its shard knows of stores of kept cache.

use super::{Chosen, Fleet, Selection, Upstream};
use crate::catalogue::{Catalogue, KvStore};
use sesamegap_policy::routing::kept_parts::Key;
use sesamegap_policy::routing::placed::Stored;
use sesamegap_policy::routing::transfers::{self, AtStore, Fetch, Informed, Transfers};
use sesamegap_wire::{Moment, ServiceId};
use std::time::Duration;

/// What decides whether a transfer arrives in time.
#[derive(Debug, Clone, Copy)]
pub struct Links {
    /// Bytes of a cached token; zero if that is not known.
    pub token_bytes: u64,
    /// Time within which a caller should get its first token.
    pub objective: Duration,
}

impl Links {
    /// The links of a service's engines.
    pub fn of(catalogue: &Catalogue, service: &ServiceId, objective: Duration) -> Self {
        let service = catalogue.service(service);
        let engine = service.and_then(|service| service.engine.as_ref());
        Self {
            token_bytes: engine.map_or(0, |engine| engine.token_bytes),
            objective,
        }
    }
}

impl Links {
    /// Time that so many tokens take between a store and an engine; unset if the size of a token is not known.
    fn transfer(&self, store: &KvStore, engine: &Upstream, tokens: u64) -> Option<Duration> {
        let near = store.domain == engine.entry.domain;
        let per_ms = transfers::per_ms(store.link, self.token_bytes)?;
        let tokens = Fetch::load(tokens, near);
        let ahead = 0;
        Some(
            Fetch {
                tokens,
                ahead,
                per_ms,
            }
            .takes(),
        )
    }
}

/// What a prompt is worth at an engine.
#[derive(Debug, Clone, Copy)]
pub struct Worth {
    /// The transfers.
    pub transfers: Transfers,
    /// Its use of a store.
    pub stored: Option<Stored>,
    /// Time that this takes on a shard's part of the store's link.
    pub takes: Duration,
    /// Tokens that the engine must most likely read.
    pub unread: u64,
}

impl Fleet {
    /// The transfers that a prompt is worth at an engine of a shard that this VM owns.
    pub fn transfers(
        &self,
        selection: &Selection<'_>,
        chosen: &Chosen,
        links: &Links,
        now: Moment,
    ) -> Option<Worth> {
        let prompt = &selection.shape?.prompt;
        let engine = self.get(&chosen.id)?;
        let version = engine
            .version(&selection.shape?.model)
            .unwrap_or_default()
            .0;
        let inner = prompt.prefixes.last().copied()?;
        let own = prompt.tokens.saturating_sub(inner.tokens);
        let shards = selection
            .shard
            .map_or(1, |shard| 1 << shard.division.bits());
        let store = KvStore::nearest(selection.stores, &engine.entry.domain, engine.seed);
        let store = store.filter(|store| !self.is_store_out(store.addr, now));
        let at_store = store.map(|store| {
            let number = store.number();
            let key = Key {
                store: number,
                prefix: inner.hash,
                version,
            };
            if self.kept_parts.holds(key, store.room, shards) {
                let fetch = links.transfer(store, engine, inner.tokens * shards);
                let queue = self.kept_parts.queue(number, now);
                let arrives = fetch.is_none_or(|takes| queue + takes <= links.objective);
                AtStore::Held { arrives }
            } else {
                let room = self.kept_parts.may_save(number, now);
                AtStore::Missing { room }
            }
        });
        let served = self.recall.last(inner.hash, engine.life, version);
        let transfers = transfers::informed(&Informed {
            shared: inner.tokens,
            own,
            served: served.map(|at| now.since(at)),
            store: at_store,
        });
        let stored = store.map(|store| Stored {
            store: store.number(),
            fetched: if transfers.from_store {
                inner.tokens
            } else {
                0
            },
            saved: if transfers.save { prompt.tokens } else { 0 },
        });
        let takes = store
            .zip(stored)
            .and_then(|(store, stored)| {
                links.transfer(store, engine, (stored.fetched + stored.saved) * shards)
            })
            .unwrap_or_default();
        let is_there = transfers.from_store || !transfers.from_engine;
        let unread = if is_there { own } else { prompt.tokens };
        Some(Worth {
            transfers,
            stored,
            takes,
            unread,
        })
    }

    /// Counts the transfers of a prompt on its store's link.
    pub fn occupy(&mut self, worth: &Worth, now: Moment) {
        if let Some(stored) = worth.stored {
            self.kept_parts.occupy(stored.store, worth.takes, now);
        }
    }
}
