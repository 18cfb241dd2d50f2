//! The operator's configuration document.

use serde::{Deserialize, Serialize};
use sesamegap_policy::quota::RateLimit;
use sesamegap_wire::{DomainId, ServiceId, TeamId};
use smol_str::SmolStr;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Revision number of a document; increases, not necessarily by one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// How often a request on a route may run, and the form of its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once per attempt of the caller.
    Once,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that may be resumed at another upstream.
    ResumableStream,
}

impl Kind {
    /// Whether a request that may have run already can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// The name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::Once => "once",
            Self::Stream => "stream",
            Self::ResumableStream => "resumable_stream",
        }
    }

    /// Whether responses are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Weight of its share relative to the route's other targets.
    pub weight: u32,
}

/// Routing of the requests to a host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: SmolStr,
    /// Host in lower case, without a port.
    pub host: SmolStr,
    /// Path prefix; begins and ends with a slash.
    pub prefix: SmolStr,
    /// How often a request may run, and the form of its response.
    pub kind: Kind,
    /// Maximum time that a caller waits for its response.
    pub timeout: Duration,
    /// Time within which a response, or the first event of a stream, counts as on time.
    pub objective: Duration,
    /// Maximum number of upstreams that one attempt of a caller may run on.
    pub attempts: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that receive the requests; at least one.
    pub targets: Vec<Target>,
    /// Whether callers need no key.
    pub public: bool,
}

/// Properties of a service whose upstreams are model engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Capacity of an engine's KV cache, in tokens.
    pub memory: u64,
    /// Size of a token's KV cache in bytes, or zero if it is unknown.
    ///
    /// It is not sent to peers: a VM of another release could not decode it and would consider the sender dead.
    #[serde(skip)]
    pub token_bytes: u64,
}

/// A service and its properties.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Set if its upstreams are model engines.
    pub engine: Option<EngineSpec>,
}

/// A kept-KV store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvStore {
    /// Address from which engines fetch and to which they save.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Bandwidth of its link, in Mbit/s.
    pub link: u64,
}

impl KvStore {
    /// The store in a failure domain, or else the first one.
    pub fn nearest<'a>(stores: &'a [Self], domain: &DomainId) -> Option<&'a Self> {
        let near = stores.iter().find(|store| store.domain == *domain);
        near.or(stores.first())
    }
}

/// Limits on the size and duration of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub head: usize,
    /// Maximum size of a request's body, in bytes.
    pub body: usize,
    /// Maximum time for sending a head.
    pub head_time: Duration,
    /// Maximum time between requests on a connection.
    pub idle_time: Duration,
}

/// A team and its keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: TeamId,
    /// Keys that its callers present.
    pub keys: Vec<SmolStr>,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
    /// Whether it shares no cache entries with other teams.
    pub isolated: bool,
    /// Its rate limit over all VMs.
    ///
    /// It follows the document in a message of its own ([`Document::quotas`]): a VM of another release could not decode
    /// a longer team.
    #[serde(skip)]
    pub quota: Option<Quota>,
}

/// A team's rate limit over all VMs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Rate and burst.
    pub limit: RateLimit,
    /// What is counted.
    pub unit: Unit,
}

/// What a rate limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens of prompts and answers; a request that states none counts as this many.
    Tokens(f64),
}

impl Quota {
    /// What a request with this many tokens costs.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match self.unit {
            Unit::Requests => 1.0,
            Unit::Tokens(unstated) => tokens.map_or(unstated, |tokens| tokens as f64),
        }
    }
}

/// Rate limits of the teams of a document, by team.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Quotas(Vec<(TeamId, Quota)>);

/// What a document's encoding omits, because a VM of an earlier release could not decode it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Additions {
    quotas: Quotas,
    /// Size of a token's KV cache in bytes, by service.
    token_bytes: Vec<(ServiceId, u64)>,
}

impl Document {
    /// What the document's encoding omits, for a peer that receives the document.
    pub fn additions(&self) -> Additions {
        let services = self.services.iter();
        let token_bytes = services.filter_map(|service| {
            let engine = service.engine.as_ref()?;
            Some((service.name.clone(), engine.token_bytes))
        });
        Additions {
            quotas: self.quotas(),
            token_bytes: token_bytes.collect(),
        }
    }

    /// Adds what a peer sent with the document.
    pub fn add(&mut self, additions: Additions) {
        self.set_quotas(additions.quotas);
        for (name, bytes) in additions.token_bytes {
            let mut services = self.services.iter_mut();
            let service = services.find(|service| service.name == name);
            if let Some(engine) = service.and_then(|service| service.engine.as_mut()) {
                engine.token_bytes = bytes;
            }
        }
    }

    /// The rate limits, for a peer that receives the document.
    pub fn quotas(&self) -> Quotas {
        let limited = self.teams.iter();
        let limited = limited.filter_map(|team| Some((team.name.clone(), team.quota?)));
        Quotas(limited.collect())
    }

    /// Sets the rate limits that a peer sent with the document.
    pub fn set_quotas(&mut self, quotas: Quotas) {
        for (name, quota) in quotas.0 {
            let mut teams = self.teams.iter_mut();
            if let Some(team) = teams.find(|team| team.name == name) {
                team.quota = Some(quota);
            }
        }
    }
}

/// A complete configuration, as published by the operator.
///
/// The order of routes and teams has no meaning.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Document {
    /// Its revision.
    pub revision: Revision,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Kept-KV stores.
    pub kv_stores: Vec<KvStore>,
    /// Limits on callers' requests.
    pub limits: Limits,
    /// Teams; empty if callers need no keys.
    pub teams: Vec<Team>,
}
