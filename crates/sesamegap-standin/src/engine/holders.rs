//! Who holds cache blocks that an engine may import.

use super::cache::Tag;
use crate::store::StoreStandin;
use sesamegap_wire::{BlockKey, UpstreamId};
use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError, Weak};

/// Somebody who gives blocks away.
pub(crate) trait Holder: Send + Sync + fmt::Debug {
    /// What a block was computed with, if it is held.
    fn export(&self, key: BlockKey) -> Option<Tag>;
}

/// All holders of a deployment.
#[derive(Debug, Default)]
pub(crate) struct Holders {
    store: Option<Arc<StoreStandin>>,
    known: Mutex<HashMap<UpstreamId, Weak<dyn Holder>>>,
}

impl Holders {
    pub(crate) fn new(store: Option<Arc<StoreStandin>>) -> Arc<Self> {
        Arc::new(Self {
            store,
            known: Mutex::default(),
        })
    }

    pub(crate) fn add(&self, id: &UpstreamId, holder: Weak<dyn Holder>) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.insert(id.clone(), holder);
    }

    /// Asks a holder for a block.
    pub(crate) fn export(&self, from: &UpstreamId, key: BlockKey) -> Option<Tag> {
        if let Some(store) = self.store.as_ref().filter(|store| store.id() == from) {
            return store.export(key);
        }
        let holder = {
            let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
            known.get(from)?.upgrade()?
        };
        holder.export(key)
    }

    /// Puts evicted blocks into the kept-KV store, if there is one.
    pub(crate) fn keep(&self, blocks: Vec<(BlockKey, Tag)>) {
        if let Some(store) = &self.store {
            for (key, tag) in blocks {
                store.put(key, tag);
            }
        }
    }
}
