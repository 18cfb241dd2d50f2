//! The platform's store of model weights, from which engines load.

mod http;

pub use http::HttpWeights;

use crate::error::PlatformError;
use futures_util::future::BoxFuture;
use sesamegap_wire::{ModelId, WeightsVersion};
use std::fmt;

/// Which weights there are to load.
pub trait WeightStore: Send + Sync + fmt::Debug {
    /// The versions of a model that engines can load, rising.
    ///
    /// # Errors
    /// If the store cannot be reached or knows no such model.
    fn versions<'a>(
        &'a self,
        model: &'a ModelId,
    ) -> BoxFuture<'a, Result<Vec<WeightsVersion>, PlatformError>>;
}
