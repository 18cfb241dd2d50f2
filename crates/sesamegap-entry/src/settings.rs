//! Settings that a process is started with.

use sesamegap_policy::routing::budget::Bound;
use sesamegap_wire::{DomainId, VmId};
use std::net::SocketAddr;
use std::time::Duration;

/// Where a process listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listen {
    /// Callers.
    pub callers: SocketAddr,
    /// Readiness checks.
    pub ready: SocketAddr,
    /// Peers.
    pub peers: SocketAddr,
    /// Datagrams about loads; the port is the same on all VMs.
    pub loads: SocketAddr,
    /// Operators that ask for metrics or a dump.
    pub operators: SocketAddr,
    /// Callers that ask which address to use.
    pub locator: SocketAddr,
}

/// Spans of time that the operators promise or ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Durations {
    /// From SIGTERM to SIGKILL.
    pub grace: Duration,
    /// How long callers may keep a locator's answer.
    pub answer_ttl: Duration,
    /// Time between two heartbeats of an upstream.
    pub heartbeat: Duration,
    /// Time after which an upstream that said it leaves must get no more work.
    pub drain: Duration,
    /// Time after a naming of weights from which no request may begin on older ones.
    pub weights: Duration,
    /// Shortest time between orders of two lease holders.
    pub lease: Duration,
    /// How long a lapsed entry may take to come back after the store's return.
    pub lapse: Duration,
}

/// Settings of one process, as its adapter read them.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where it listens.
    pub listen: Listen,
    /// Peers to ask first; may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Spans promised or asked for.
    pub durations: Durations,
    /// The fleet's bound on repeats.
    pub retry_budget: Bound,
    /// Bytes of request bodies held at once.
    pub body_memory: usize,
}
