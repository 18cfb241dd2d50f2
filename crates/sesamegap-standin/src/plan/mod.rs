//! What a deployment of stand-ins consists of, and how fast it is.
//!
//! Every span of time stands here, so that a test can scale it down. The defaults are a tenth or
//! so of what a small accelerator takes, so that a demonstration stays lively.

mod builder;
mod limits;

pub use builder::Builder;
pub use limits::{EngineLimits, PlatformLimits};

use blake3::Hash;
use sesamegap_wire::{
    DomainId, ModelId, ServiceId, SoftwareVersion, Tokens, UpstreamId, WeightsVersion,
};
use std::net::SocketAddr;
use std::time::Duration;

/// One model engine.
#[derive(Debug, Clone)]
pub struct EnginePlan {
    /// Its name.
    pub id: UpstreamId,
    /// Failure domain it stands in.
    pub domain: DomainId,
    /// Weights it holds at the start.
    pub loaded: Vec<(ModelId, WeightsVersion)>,
    /// Whether it refuses orders with an old fencing number.
    pub fencing: bool,
    /// Version of its software, as the VM list states it.
    pub software: SoftwareVersion,
}

/// One worker of a plain service.
#[derive(Debug, Clone)]
pub struct WorkerPlan {
    /// Its name.
    pub id: UpstreamId,
    /// The service it belongs to.
    pub service: ServiceId,
    /// Failure domain it stands in.
    pub domain: DomainId,
}

/// A deployment of stand-ins.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The model engines.
    pub engines: Vec<EnginePlan>,
    /// The kept-KV store, if there is one, and its failure domain.
    pub store: Option<(UpstreamId, DomainId)>,
    /// The workers of plain services.
    pub workers: Vec<WorkerPlan>,
    /// Models of the weight store and their versions.
    pub models: Vec<(ModelId, Vec<WeightsVersion>)>,
    /// Block size.
    pub block: Tokens,
    /// Time for a round trip between two failure domains.
    pub between: Duration,
    /// Time a worker of a plain service takes for a call.
    pub work: Duration,
    /// Limits and speed of each engine.
    pub engine: EngineLimits,
    /// Limits and speed of the platform.
    pub platform: PlatformLimits,
    /// Where the control listens; port 0 is any free one.
    pub control: SocketAddr,
    /// Hash of the key that the control address asks for.
    pub operator: Hash,
}

impl Plan {
    /// Starts from one engine with one model, and the platform.
    pub fn builder() -> Builder {
        Builder::default()
    }
}
