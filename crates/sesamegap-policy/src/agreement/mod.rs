//! Rules by which processes agree through the platform's log, or without it.
//!
//! [`claims`] decides which router may run a request that carries its caller's idempotency key,
//! [`tickets`] does the same for keys that a router minted and needs no log, [`lease`] decides
//! which controller may give orders, and [`membership`] which peers are alive. [`timelines`] tells
//! which history of the log an answer belongs to. All are step
//! machines: what a process hears goes in, what it must do comes out. So a test can pause, crash
//! and reorder at every step.

pub mod cas_lease;
pub mod claims;
pub mod lease;
pub mod membership;
pub mod tickets;
pub mod timelines;

use serde::{Deserialize, Serialize};
use sesamegap_wire::{Incarnation, VmId};
use std::fmt;

/// One life of one process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// VM it runs on.
    pub vm: VmId,
    /// Its incarnation there.
    pub incarnation: Incarnation,
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{:x}", self.vm, self.incarnation.0)
    }
}
