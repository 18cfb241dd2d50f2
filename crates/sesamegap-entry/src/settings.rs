//! Settings that a process is started with.

use sesamegap_policy::quota::Tolerance;
use sesamegap_policy::routing::budget::Bound;
use sesamegap_policy::routing::reading::SettingsBounds;
use sesamegap_wire::{DomainId, VmId};
use std::net::SocketAddr;
use std::time::Duration;

/// Addresses that a process listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks.
    pub ready: SocketAddr,
    /// Messages of peers.
    pub peers: SocketAddr,
    /// Datagrams of peers, and over TCP requests to send on for them; the port is the same on all VMs.
    pub loads: SocketAddr,
    /// Operators' requests for metrics or a dump.
    pub operators: SocketAddr,
    /// Locator requests of callers that ask which address to use.
    pub locator: SocketAddr,
}

/// Durations that the operators guarantee or require.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spans {
    /// From SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Longest time for which callers may cache a locator's answer.
    pub answer_ttl: Duration,
    /// Interval between two heartbeats of an upstream.
    pub heartbeat: Duration,
    /// Time after which an upstream that announced it is leaving must get no more work.
    pub drain: Duration,
    /// Time after the acknowledgement of a document from which it must be in force.
    pub apply: Duration,
    /// Time after a disturbance of a VM or its links from which its bounds hold again.
    pub contact: Duration,
    /// Time after weights were named from which no request may start on older weights.
    pub weights: Duration,
    /// Shortest time between the orders of two successive lease holders.
    pub lease: Duration,
    /// How long a lapsed entry may take to reappear after the store is available again.
    pub lapse: Duration,
}

impl Spans {
    /// The bounds on the age of documents.
    pub fn document_bounds(&self) -> SettingsBounds {
        SettingsBounds {
            apply: self.apply,
            contact: self.contact,
        }
    }
}

/// Decisions under load that are switched on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadControl {
    /// Whether prompts are admitted by the backlog of the engines.
    pub admission: bool,
}

/// Settings of one process, as read by its adapter.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where it listens.
    pub listen: Listen,
    /// Peers to contact at startup; the list may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Durations guaranteed or required by the operators.
    pub spans: Spans,
    /// The fleet-wide bound on retries.
    pub repeats: Bound,
    /// By how much a team's use may exceed its rate limit.
    pub tolerance: Tolerance,
    /// Memory for request bodies held at once, in bytes.
    pub body_memory: usize,
    /// Memory for upstreams' answers that cannot be passed on yet, in bytes.
    pub answer_memory: usize,
    /// Bandwidth of the VM's link, in Mbit/s.
    pub link_mbps: f64,
    /// Calls per second that the store accepts from all VMs together.
    pub store_calls_per_s: f64,
    /// Decisions under load that are switched on.
    pub load_control: LoadControl,
}
