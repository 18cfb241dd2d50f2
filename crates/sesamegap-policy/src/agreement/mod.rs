//! Coordination protocols between processes, with or without the platform's log.
//!
//! - [`claims`] decides which router may run a request that carries its caller's idempotency key.
//! - [`tickets`] does the same for keys issued by a router, without the log.
//! - [`lease`] decides which controller may give orders to engines.
//! - [`cas_lease`] is a lease on a log that supports conditional appends but has no timestamps.
//! - [`membership`] detects which peers are alive.
//! - [`replication`] copies a large value among peers at the cost of what changed.
//! - [`timelines`] tells which history of a restored log a response belongs to.
//!
//! All are state machines without I/O: inputs are messages and the time, outputs are the actions to
//! take. Tests can therefore pause, crash and reorder processes between any two steps.

pub mod cas_lease;
pub mod claims;
pub mod lease;
pub mod membership;
pub mod replication;
pub mod tickets;
pub mod timelines;

use serde::{Deserialize, Serialize};
use sesamegap_wire::{Incarnation, VmId};
use std::fmt;

/// Identity of a process: its VM and its incarnation there.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// VM that the process runs on.
    pub vm: VmId,
    /// Incarnation of the process, which changes when it restarts.
    pub incarnation: Incarnation,
}

impl fmt::Display for ProcessId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{:x}", self.vm, self.incarnation.0)
    }
}
