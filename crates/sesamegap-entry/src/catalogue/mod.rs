//! What the operator lets callers do: routes, services, limits and teams.
//!
//! The operator publishes whole [`Document`]s with rising revisions. A [`Catalogue`] is one of
//! them indexed for requests. A process never goes back to an older revision, whatever the store
//! or a peer shows it.

mod index;

pub use index::{Catalogue, NoRoute};

use serde::{Deserialize, Serialize};
use sesamegap_wire::{DomainId, ServiceId, TeamId};
use smol_str::SmolStr;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of a document; rises in uneven steps.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    Once,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that may go on at another upstream.
    ResumableStream,
}

impl Kind {
    /// Whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// A name for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::Once => "once",
            Self::Stream => "stream",
            Self::ResumableStream => "resumable_stream",
        }
    }

    /// Whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that a route leads to, with its share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its share against the others.
    pub weight: u32,
}

/// Where requests to a host and path prefix go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: SmolStr,
    /// Host, lower case, without a port.
    pub host: SmolStr,
    /// Path prefix; begins and ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is on time; for streams, its first event.
    pub objective: Duration,
    /// Upstreams that one attempt of a caller may run on.
    pub attempts: u32,
    /// Rank, 0 the most urgent.
    pub priority: u8,
    /// Services, at least one.
    pub targets: Vec<Target>,
    /// Whether no key is needed.
    pub public: bool,
}

/// A service whose upstreams are model engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Tokens of KV cache that fit.
    pub memory: u64,
    /// Bytes of a token's KV cache; zero if they are not known.
    ///
    /// Peers are not told: a VM of another release could not read it, and would take the sender for dead.
    #[serde(skip)]
    pub token_bytes: u64,
}

/// A service and what is particular to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Set for model engines.
    pub engine: Option<EngineSpec>,
}

/// A store of kept KV cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvStore {
    /// Where engines fetch from and save to.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// What its link carries, Mbit/s.
    pub link: u64,
}

impl KvStore {
    /// The store in a failure domain, else any.
    pub fn nearest<'a>(stores: &'a [Self], domain: &DomainId) -> Option<&'a Self> {
        let near = stores.iter().find(|store| store.domain == *domain);
        near.or(stores.first())
    }
}

/// Bounds on what callers send and how long they take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Time to send a head.
    pub head_time: Duration,
    /// Time between requests on a connection.
    pub idle_time: Duration,
}

/// A team and its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: TeamId,
    /// Keys that callers show.
    pub keys: Vec<SmolStr>,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
    /// Whether its cache entries are shared with no other team.
    pub isolated: bool,
}

/// All that the operator published at once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Its number.
    pub revision: Revision,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Stores of kept KV cache.
    pub kv_stores: Vec<KvStore>,
    /// Bounds on callers.
    pub limits: Limits,
    /// Teams; none if no keys are asked for.
    pub teams: Vec<Team>,
}
