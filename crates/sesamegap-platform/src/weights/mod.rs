//! The platform's store of model weights, from which engines load.

mod http;

pub use http::HttpWeights;

use crate::error::PlatformError;
use futures_util::future::BoxFuture;
use sesamegap_wire::{ModelId, WeightsVersion};
use std::fmt;

/// A client of the store of model weights.
pub trait WeightStore: Send + Sync + fmt::Debug {
    /// Returns the versions of a model that engines can load, in ascending order.
    ///
    /// # Errors
    /// If the store cannot be reached or does not have the model.
    fn versions<'a>(
        &'a self,
        model: &'a ModelId,
    ) -> BoxFuture<'a, Result<Vec<WeightsVersion>, PlatformError>>;
}
