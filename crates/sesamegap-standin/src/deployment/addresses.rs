//! Where the stand-ins listen.

use serde::{Deserialize, Serialize};
use sesamegap_wire::UpstreamId;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Where each stand-in of a deployment listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// The log service.
    pub log: SocketAddr,
    /// The VM list.
    pub vms: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
    /// The control address.
    pub control: SocketAddr,
    /// The model engines.
    pub engines: BTreeMap<UpstreamId, SocketAddr>,
    /// The kept-KV store.
    pub store: Option<SocketAddr>,
    /// The workers of plain services.
    pub workers: BTreeMap<UpstreamId, SocketAddr>,
}
