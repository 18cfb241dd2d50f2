//! The kept-KV store, which takes the blocks that engines evict: `POST /v1/held`.

use crate::engine::cache::{Cache, Tag};
use poem::web::{Data, Json};
use poem::{EndpointExt, IntoEndpoint, Route, handler};
use sesamegap_upstream::wire::{HeldPrefixRequest, HeldPrefixResponse};
use sesamegap_wire::{BlockKey, UpstreamId};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How many times the blocks of one engine the store can hold.
pub(crate) const ENGINES_WORTH: usize = 8;

/// The kept-KV store.
#[derive(Debug)]
pub(crate) struct StoreStandin {
    id: UpstreamId,
    blocks: Mutex<Cache>,
}

impl StoreStandin {
    pub(crate) fn new(id: UpstreamId, capacity: usize) -> Arc<Self> {
        Arc::new(Self {
            id,
            blocks: Mutex::new(Cache::new(capacity)),
        })
    }

    pub(crate) fn id(&self) -> &UpstreamId {
        &self.id
    }

    pub(crate) fn endpoint(self: &Arc<Self>) -> impl IntoEndpoint<Endpoint: 'static> + use<> {
        Route::new()
            .at("/v1/held", poem::post(held))
            .data(Arc::clone(self))
    }

    pub(crate) fn put(&self, key: BlockKey, tag: Tag) {
        self.lock().store(key, tag);
    }

    pub(crate) fn export(&self, key: BlockKey) -> Option<Tag> {
        self.lock().tag(key)
    }

    fn lock(&self) -> MutexGuard<'_, Cache> {
        self.blocks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[handler]
fn held(
    Data(store): Data<&Arc<StoreStandin>>,
    Json(asked): Json<HeldPrefixRequest>,
) -> Json<HeldPrefixResponse> {
    let held = store.lock().held(&asked.keys);
    Json(HeldPrefixResponse { held })
}
