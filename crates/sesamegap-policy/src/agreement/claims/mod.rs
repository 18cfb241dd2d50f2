//! Which router runs a request that carries its caller's own idempotency key.
//!
//! Before a router dispatches such a request it appends a claim to the log, reads the log up to
//! that claim, and runs the request only if its claim is the first for the key. The order of the
//! log is the same for every reader, so at most one router ever runs it; [`Claims`] is that fold
//! and [`Claimant`] the way of one request through it.
//!
//! A claim is never taken over. Its holder may be dead, or only paused and about to dispatch, and
//! no one can tell; so a claimed key whose holder is gone answers `ran: unknown` for good. Only the
//! holder itself, which knows that it never dispatched, gives a claim back with a release.
//!
//! The log keeps records for a limited time, after which a claim is forgotten. A key that carries
//! its time (a UUID of version 7) is refused once its claim could have been forgotten; a key
//! without a time is honoured for as long as the log keeps its claim.

mod age;
mod claimant;
mod fold;

pub use age::{KeyAge, KeyValidity};
pub use claimant::{Appended, ClaimOutcome, Claimant, Step};
pub use fold::{Claims, KeyState};

use super::Holder;
use serde::{Deserialize, Serialize};
use sesamegap_wire::TeamId;
use smol_str::SmolStr;
use std::fmt;

/// A caller's idempotency key; two teams' equal texts are two keys.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Team of the caller.
    pub team: TeamId,
    /// The key as the caller sent it.
    pub key: SmolStr,
}

/// One attempt to claim a key; appending it twice claims once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId(pub u128);

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A record of the log's claims stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimRecord {
    /// A router wants to run the request with this key.
    Claim {
        /// The key.
        key: ClaimKey,
        /// This attempt.
        claim: ClaimId,
        /// Who will run it.
        holder: Holder,
    },
    /// The holder never dispatched the request and never will under this claim.
    Release {
        /// The key.
        key: ClaimKey,
        /// The attempt given up.
        claim: ClaimId,
    },
}
