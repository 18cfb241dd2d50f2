//! HTTP client of the VM list: `GET /vms` returns a JSON array of [`VmEntry`].

use super::{VmEntry, VmList};
use crate::client;
use crate::error::PlatformError;
use futures_util::future::{BoxFuture, FutureExt};
use sesamegap_http::{Pool, Settings};

/// A client of the platform's VM list.
#[derive(Debug, Clone)]
pub struct HttpVms {
    pool: Pool,
}

impl HttpVms {
    /// Creates a client of the list at `http://IP:PORT`.
    pub fn new(base: impl Into<String>, settings: Settings) -> Self {
        Self {
            pool: Pool::new(base, settings),
        }
    }
}

impl VmList for HttpVms {
    fn list(&self) -> BoxFuture<'_, Result<Vec<VmEntry>, PlatformError>> {
        client::get_json(&self.pool, "/vms").boxed()
    }
}
