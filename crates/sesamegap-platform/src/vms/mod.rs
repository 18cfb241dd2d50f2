//! The platform's list of VMs, which lags behind their actual state.

mod http;

pub use http::HttpVms;

use crate::error::PlatformError;
use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};
use sesamegap_wire::{DomainId, ServiceId, SoftwareVersion, UpstreamId, VmId};
use std::fmt;
use std::net::SocketAddr;

/// What runs on a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum VmRole {
    /// The system's own processes.
    Entry {
        /// The VM's name.
        vm: VmId,
        /// Address of the locator on the VM.
        locator: SocketAddr,
    },
    /// A model engine.
    Engine {
        /// The engine's name.
        id: UpstreamId,
    },
    /// The kept-KV store.
    Store {
        /// The store's name.
        id: UpstreamId,
    },
    /// A worker of a plain service.
    Worker {
        /// The worker's name.
        id: UpstreamId,
        /// The service it belongs to.
        service: ServiceId,
    },
}

/// Lifecycle state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to be removed; it must get no new requests.
    Leaving,
}

/// One entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// What runs on the VM.
    pub role: VmRole,
    /// Address at which it listens; for an entry VM, that of its router.
    pub addr: SocketAddr,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Lifecycle state.
    pub state: VmState,
    /// Version of the software that runs on it, where the platform states one.
    #[serde(default)]
    pub software: SoftwareVersion,
}

/// The list of live and leaving VMs.
pub trait VmList: Send + Sync + fmt::Debug {
    /// Reads the platform's current list.
    ///
    /// # Errors
    /// If the platform cannot be reached or its response is not a list.
    fn list(&self) -> BoxFuture<'_, Result<Vec<VmEntry>, PlatformError>>;
}
