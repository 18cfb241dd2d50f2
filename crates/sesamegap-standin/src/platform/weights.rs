//! The weight store: `GET /models/{model}` lists versions, and engines load from it.
//!
//! More than two loads at once share what two get, so each of them takes longer.

use crate::plan::PlatformLimits;
use crate::rate::Rate;
use poem::http::StatusCode;
use poem::web::{Data, Json, Path};
use poem::{EndpointExt, IntoResponse, Response, Route, handler};
use sesamegap_wire::{ModelId, WeightsVersion};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// Loads at once that do not slow one another.
const FULL_SPEED: u32 = 2;

/// Parts of a load, at each of which the number of loads is looked at again.
const PARTS: u32 = 8;

type Versions = BTreeMap<ModelId, Vec<WeightsVersion>>;

/// The weight store.
#[derive(Debug)]
pub(crate) struct WeightShelf {
    time: Duration,
    rate: Rate,
    versions: Mutex<Versions>,
    loading: AtomicU32,
    peak: AtomicU32,
}

struct Loading<'a>(&'a AtomicU32);

impl Drop for Loading<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl WeightShelf {
    pub(crate) fn new(
        models: &[(ModelId, Vec<WeightsVersion>)],
        limits: &PlatformLimits,
    ) -> Arc<Self> {
        Arc::new(Self {
            time: limits.load,
            rate: Rate::new(limits.weights),
            versions: Mutex::new(models.iter().cloned().collect()),
            loading: AtomicU32::new(0),
            peak: AtomicU32::new(0),
        })
    }

    /// Adds the store to what a machine serves.
    pub(crate) fn mount(self: &Arc<Self>, route: Route) -> Route {
        let store = poem::get(versions).data(Arc::clone(self));
        route.at("/models/:model", store)
    }

    /// Adds a version to load.
    pub(crate) fn add(&self, model: &ModelId, version: WeightsVersion) {
        let mut all = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let known = all.entry(model.clone()).or_default();
        if !known.contains(&version) {
            known.push(version);
            known.sort_unstable();
        }
    }

    /// The versions of a model, rising.
    pub(crate) fn of(&self, model: &ModelId) -> Option<Vec<WeightsVersion>> {
        let all = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        all.get(model).cloned()
    }

    /// Takes the time of one load.
    pub(crate) async fn load(&self) {
        let now = self.loading.fetch_add(1, Ordering::AcqRel) + 1;
        self.peak.fetch_max(now, Ordering::AcqRel);
        let _loading = Loading(&self.loading);
        for _ in 0..PARTS {
            let sharing = self.loading.load(Ordering::Acquire).max(FULL_SPEED);
            sleep(self.time / PARTS * sharing / FULL_SPEED).await;
        }
    }

    /// Loads under way, and the most there ever were at once.
    pub(crate) fn loads(&self) -> (u32, u32) {
        let now = self.loading.load(Ordering::Acquire);
        (now, self.peak.load(Ordering::Acquire))
    }
}

#[handler]
fn versions(Data(shelf): Data<&Arc<WeightShelf>>, Path(model): Path<ModelId>) -> Response {
    if !shelf.rate.allows() {
        return StatusCode::TOO_MANY_REQUESTS.into();
    }
    match shelf.of(&model) {
        Some(versions) => Json(versions).into_response(),
        None => StatusCode::NOT_FOUND.into(),
    }
}
