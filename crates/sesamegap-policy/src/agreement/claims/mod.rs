//! Decides which router runs a request that carries an idempotency key chosen by its caller.
//!
//! Before a router dispatches such a request, it appends a claim to the log, reads the log up to
//! that claim, and runs the request only if its claim is the first for the key. All readers see the
//! log in the same order, so at most one router runs the request. [`Claims`] is the state folded
//! from the log, and [`Claimant`] is the state machine of one attempt.
//!
//! A claim is never taken over. Its holder may be dead, or paused and about to dispatch, and other
//! routers cannot tell which; so a claimed key whose holder is gone answers `ran: unknown`
//! permanently. Only the holder itself, which knows that it never dispatched, can release a claim.
//!
//! The log keeps records for a limited time, after which a claim is dropped. A key with a timestamp
//! (a UUID of version 7) is refused once its claim could have been dropped; a key without a
//! timestamp is honoured for as long as the log keeps its claim.

mod age;
mod claimant;
mod fold;

pub use age::{KeyAge, KeyValidity};
pub use claimant::{Appended, ClaimOutcome, Claimant, Step};
pub use fold::{Claims, KeyState};

use super::ProcessId;
use serde::{Deserialize, Serialize};
use sesamegap_wire::TeamId;
use smol_str::SmolStr;
use std::fmt;

/// An idempotency key, scoped to the caller's team.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Team of the caller.
    pub team: TeamId,
    /// The key as the caller sent it.
    pub key: SmolStr,
}

/// Identifies one attempt to claim a key; appending its record twice has no further effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId(pub u128);

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A record in the log's claims stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimRecord {
    /// A router asks to run the request with this key.
    Claim {
        /// The key to claim.
        key: ClaimKey,
        /// The attempt.
        claim: ClaimId,
        /// Process that will run the request.
        holder: ProcessId,
    },
    /// The holder never dispatched the request under this claim and never will.
    Release {
        /// The claimed key.
        key: ClaimKey,
        /// The attempt whose claim is released.
        claim: ClaimId,
    },
}
