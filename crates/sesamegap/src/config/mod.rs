//! What a process learns from its settings file at start.

use sesamegap_wire::{DomainId, VmId};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;

/// What every process needs to know.
#[derive(Debug, Clone)]
pub struct ProcessConfig {
    /// VM the process runs on.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Address to listen on.
    pub listen: SocketAddr,
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
    /// Spans of time.
    pub timing: Timing,
    /// Bounds on memory.
    pub bounds: Bounds,
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
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            list: Duration::from_millis(500),
            report: Duration::from_millis(100),
            gossip: Duration::from_millis(500),
            silence: Duration::from_millis(400),
            connect: Duration::from_millis(250),
            age: Duration::from_mins(1),
            address: Duration::from_secs(2),
            keep: Duration::from_mins(2),
            log: Duration::from_secs(2),
            lease: Duration::from_secs(5),
            stop: Duration::from_mins(1),
        }
    }
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
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            body: 8 << 20,
            receive: Duration::from_secs(10),
            flights: 4096,
            ring: 8192,
            answer: 1 << 20,
            kept: 64 << 20,
        }
    }
}
