//! HTTP client of the weight store: `GET /models/{model}` returns a JSON array of versions.

use super::WeightStore;
use crate::client;
use crate::error::PlatformError;
use futures_util::future::{BoxFuture, FutureExt};
use sesamegap_http::{Pool, Settings};
use sesamegap_wire::{ModelId, WeightsVersion};

/// A client of the platform's weight store.
#[derive(Debug, Clone)]
pub struct HttpWeights {
    pool: Pool,
}

impl HttpWeights {
    /// Creates a client of the store at `http://IP:PORT`.
    pub fn new(base: impl Into<String>, settings: Settings) -> Self {
        Self {
            pool: Pool::new(base, settings),
        }
    }

    async fn fetch_versions(&self, model: &ModelId) -> Result<Vec<WeightsVersion>, PlatformError> {
        client::get_json(&self.pool, &format!("/models/{model}")).await
    }
}

impl WeightStore for HttpWeights {
    fn versions<'a>(
        &'a self,
        model: &'a ModelId,
    ) -> BoxFuture<'a, Result<Vec<WeightsVersion>, PlatformError>> {
        self.fetch_versions(model).boxed()
    }
}
