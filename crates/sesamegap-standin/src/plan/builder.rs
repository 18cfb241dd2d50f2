//! Builds a [`Plan`].

use super::{EngineLimits, EnginePlan, Plan, PlatformLimits, WorkerPlan};
use crate::host::ANY_PORT;
use blake3::Hash;
use sesamegap_wire::{
    DomainId, ModelId, ServiceId, SoftwareVersion, Tokens, UpstreamId, WeightsVersion,
};
use std::net::SocketAddr;
use std::time::Duration;

/// Which engines refuse orders with an old fencing number.
#[derive(Debug, Clone, Copy)]
enum Fencing {
    All,
    Nobody,
    EverySecond,
}

/// Builds a [`Plan`]; machines are dealt out to the failure domains in turn.
#[derive(Debug, Clone)]
pub struct Builder {
    domains: Vec<DomainId>,
    engines: usize,
    fencing: Fencing,
    software: Vec<SoftwareVersion>,
    models: Vec<(ModelId, Vec<WeightsVersion>)>,
    workers: Vec<(ServiceId, usize)>,
    store: bool,
    block: Tokens,
    between: Duration,
    work: Duration,
    engine: EngineLimits,
    platform: PlatformLimits,
    control: SocketAddr,
    operator: Hash,
}

impl Default for Builder {
    fn default() -> Self {
        Self {
            domains: vec![name("domain-1")],
            engines: 1,
            fencing: Fencing::EverySecond,
            software: Vec::new(),
            models: Vec::new(),
            workers: Vec::new(),
            store: false,
            block: Tokens(4096),
            between: Duration::ZERO,
            work: Duration::from_millis(1),
            engine: EngineLimits::default(),
            platform: PlatformLimits::default(),
            control: ANY_PORT,
            operator: blake3::hash(b"operator"),
        }
    }
}

impl Builder {
    /// Failure domains, of which there must be at least one.
    #[must_use]
    pub fn domains(mut self, domains: Vec<DomainId>) -> Self {
        if !domains.is_empty() {
            self.domains = domains;
        }
        self
    }

    /// Number of engines, named `engine-1` and on.
    #[must_use]
    pub fn engines(mut self, count: usize) -> Self {
        self.engines = count;
        self
    }

    /// Whether all engines or none refuse old fencing numbers; otherwise every second one does.
    #[must_use]
    pub fn fencing(mut self, all: bool) -> Self {
        self.fencing = if all { Fencing::All } else { Fencing::Nobody };
        self
    }

    /// Software versions, which the engines have in turn; otherwise they state none.
    #[must_use]
    pub fn software(mut self, versions: Vec<SoftwareVersion>) -> Self {
        self.software = versions;
        self
    }

    /// A model with its versions; engines start with the first one.
    #[must_use]
    pub fn model(mut self, model: ModelId, versions: &[u32]) -> Self {
        let versions = versions.iter().copied().map(WeightsVersion).collect();
        self.models.push((model, versions));
        self
    }

    /// A plain service with a number of workers, named `SERVICE-1` and on.
    #[must_use]
    pub fn workers(mut self, service: ServiceId, count: usize) -> Self {
        self.workers.push((service, count));
        self
    }

    /// Adds a kept-KV store, named `store-1`.
    #[must_use]
    pub fn store(mut self) -> Self {
        self.store = true;
        self
    }

    /// Block size.
    #[must_use]
    pub fn block(mut self, tokens: Tokens) -> Self {
        self.block = tokens;
        self
    }

    /// Time for a round trip between two failure domains.
    #[must_use]
    pub fn between(mut self, time: Duration) -> Self {
        self.between = time;
        self
    }

    /// Time a worker of a plain service takes for a call.
    #[must_use]
    pub fn work(mut self, time: Duration) -> Self {
        self.work = time;
        self
    }

    /// Limits and speed of each engine.
    #[must_use]
    pub fn engine(mut self, limits: EngineLimits) -> Self {
        self.engine = limits;
        self
    }

    /// Limits and speed of the platform.
    #[must_use]
    pub fn platform(mut self, limits: PlatformLimits) -> Self {
        self.platform = limits;
        self
    }

    /// Where the control listens.
    #[must_use]
    pub fn control(mut self, addr: SocketAddr) -> Self {
        self.control = addr;
        self
    }

    /// Key that the control address asks for.
    #[must_use]
    pub fn operator(self, key: &str) -> Self {
        self.operator_hash(blake3::hash(key.as_bytes()))
    }

    /// Hash of the key that the control address asks for.
    #[must_use]
    pub fn operator_hash(mut self, hash: Hash) -> Self {
        self.operator = hash;
        self
    }

    /// The plan.
    pub fn build(mut self) -> Plan {
        if self.models.is_empty() {
            self.models = vec![(name("model-1"), vec![WeightsVersion(1)])];
        }
        Plan {
            engines: self.engine_plans(),
            store: self.store.then(|| (name("store-1"), self.domain(0))),
            workers: self.worker_plans(),
            models: self.models,
            block: self.block,
            between: self.between,
            work: self.work,
            engine: self.engine,
            platform: self.platform,
            control: self.control,
            operator: self.operator,
        }
    }

    fn engine_plans(&self) -> Vec<EnginePlan> {
        let first = |(model, versions): &(ModelId, Vec<WeightsVersion>)| {
            versions.first().map(|version| (model.clone(), *version))
        };
        let loaded: Vec<_> = self.models.iter().filter_map(first).collect();
        let plan = |index: usize| EnginePlan {
            id: name(&format!("engine-{}", index + 1)),
            domain: self.domain(index),
            loaded: loaded.clone(),
            fencing: match self.fencing {
                Fencing::All => true,
                Fencing::Nobody => false,
                Fencing::EverySecond => index.is_multiple_of(2),
            },
            software: self
                .software
                .get(index % self.software.len().max(1))
                .cloned()
                .unwrap_or_default(),
        };
        (0..self.engines).map(plan).collect()
    }

    fn worker_plans(&self) -> Vec<WorkerPlan> {
        let mut plans = Vec::new();
        for (service, count) in &self.workers {
            for index in 0..*count {
                plans.push(WorkerPlan {
                    id: worker_name(service, index),
                    service: service.clone(),
                    domain: self.domain(index),
                });
            }
        }
        plans
    }

    fn domain(&self, index: usize) -> DomainId {
        self.domains[index % self.domains.len()].clone()
    }
}

/// A worker's name; one that would be too long is cut, since the number tells workers apart.
fn worker_name(service: &ServiceId, index: usize) -> UpstreamId {
    let stem: String = service.as_str().chars().take(48).collect();
    name(&format!("{stem}-{}", index + 1))
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("names made here are valid")
}
