//! What a process learns from its settings file at start.
//!
//! [`fields`] lists the settings with default and bounds, [`read`] reads a file and collects all
//! findings before anything starts, and [`builder`] makes the same in code.

pub mod builder;
pub mod fields;
pub mod read;

pub use builder::ProcessBuilder;
pub use read::Config;

use sesamegap_wire::{DomainId, VmId};
use smol_str::SmolStr;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// What every process needs to know.
#[derive(Clone)]
pub struct ProcessConfig {
    /// VM the process runs on.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address told to others.
    pub advertise: SocketAddr,
    /// Address of the platform's log, as `http://IP:PORT`.
    pub log: SmolStr,
    /// Address of the platform's VM list.
    pub vms: SmolStr,
    /// Address of the platform's weight store.
    pub weights: SmolStr,
    /// Secret shared by the system's own processes.
    pub secret: SmolStr,
    /// BLAKE3 hash of the operators' key, in hexadecimal.
    pub operator: SmolStr,
    /// Whether logs are JSON lines instead of text.
    pub json_logs: bool,
    /// Spans of time.
    pub timing: Timing,
    /// Bounds on memory.
    pub bounds: Bounds,
}

/// Leaves out the secret, so that it never gets into a log or a dump.
impl fmt::Debug for ProcessConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ProcessConfig")
            .field("vm", &self.vm)
            .field("domain", &self.domain)
            .field("listen", &self.listen)
            .field("advertise", &self.advertise)
            .field("log", &self.log)
            .field("vms", &self.vms)
            .field("weights", &self.weights)
            .field("timing", &self.timing)
            .field("bounds", &self.bounds)
            .finish_non_exhaustive()
    }
}

/// Spans of time that tests scale down.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Between two reads of the VM list.
    pub list: Duration,
    /// Between two load reports read from one engine.
    pub report: Duration,
    /// Between two rounds of probes and digests to peers.
    pub gossip: Duration,
    /// A connection without a chunk or heartbeat for so long is taken as mute.
    pub silence: Duration,
    /// To open a connection.
    pub connect: Duration,
    /// After so long a pooled connection is not used again.
    pub age: Duration,
    /// For which callers may keep the locator's answer.
    pub address: Duration,
    /// For which a finished answer is kept for a caller whose reply was lost.
    pub keep: Duration,
    /// For one call to the log.
    pub log: Duration,
    /// Length of the controller's lease.
    pub lease: Duration,
    /// Longest wait for requests in flight at a planned stop.
    pub stop: Duration,
    /// For which the log keeps records at least.
    pub retention: Duration,
}

/// Bounds on what a process keeps.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// Largest request body in bytes.
    pub body: usize,
    /// Time in which a caller must have sent a whole request.
    pub receive: Duration,
    /// Requests in flight in one router.
    pub flights: usize,
    /// Messages in the ring before the decider.
    pub ring: usize,
    /// Bytes of one answer kept for resumption.
    pub answer: usize,
    /// Bytes of all kept answers.
    pub kept: usize,
    /// Callers' connections at once.
    pub connections: usize,
}

/// What `sesamegap-ctl` needs to know.
#[derive(Clone)]
pub struct CtlConfig {
    /// Routers to speak to, as `http://IP:PORT`, tried in turn.
    pub routers: Vec<SmolStr>,
    /// Locators to ask for callers' addresses.
    pub locators: Vec<SmolStr>,
    /// The operators' key.
    pub key: Option<SmolStr>,
    /// Name under which changes are published.
    pub by: SmolStr,
    /// For one call to a router.
    pub call: Duration,
    /// For how long a publication with an unknown outcome is repeated.
    pub patience: Duration,
}

/// Leaves out the key.
impl fmt::Debug for CtlConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CtlConfig")
            .field("routers", &self.routers)
            .field("locators", &self.locators)
            .field("by", &self.by)
            .finish_non_exhaustive()
    }
}

/// What `sesamegap-standin` needs to know.
#[derive(Clone)]
pub struct StandinConfig {
    /// Address of the stand-ins' own control.
    pub listen: SocketAddr,
    /// BLAKE3 hash of the operators' key, in hexadecimal.
    pub operator: SmolStr,
    /// Secret shared by the system's own processes.
    pub secret: SmolStr,
    /// File with the site's machines and delays.
    pub site: SmolStr,
    /// Whether logs are JSON lines instead of text.
    pub json_logs: bool,
}

/// Leaves out the secret.
impl fmt::Debug for StandinConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StandinConfig")
            .field("listen", &self.listen)
            .field("site", &self.site)
            .finish_non_exhaustive()
    }
}
