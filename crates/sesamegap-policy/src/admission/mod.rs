//! Admission of prompts to the engines of a shard.
//!
//! The load that this answers: bursts in which prompts arrive faster than the engines of a shard prefill them, of one
//! class or of several at once, beside engines that are out of service. Without a decision before the engines, every
//! prompt is sent on: engines hold seconds of prefill work, reject what they cannot queue, evict the prefixes that the
//! next prompts need, and answer nearly everything late. The urgent prompts suffer first, since their objectives are
//! the shortest.
//!
//! The VM that places the prompts of a shard knows the backlog of each engine and decides:
//!
//! - [`room`] tells whether an engine can begin a prompt within its objective, and without delaying more urgent ones
//!   beyond theirs. An engine without prefill work takes a prompt of any length.
//! - [`rate`] learns how many prompt tokens an engine works off per millisecond, cached ones included.
//! - [`reserve`] keeps slots for urgent prompts, as many as their demand needs.
//! - [`line`] orders the prompts that wait for room: urgent classes first, teams within their share before those beyond,
//!   and earlier prompts before later ones. A prompt waits at the VM that received it and asks again, so nothing is
//!   lost when the deciding VM fails.
//! - [`desk`] combines both. A prompt whose turn would come after its objective is refused at once, or as soon as
//!   that shows while it waits, with a time to return by which the backlog should have been worked off.

pub mod desk;
pub mod line;
pub mod rate;
pub mod reserve;
pub mod room;

pub use desk::{Desk, Verdict};
pub use room::{Ask, Backlog, Keep};

use serde::{Deserialize, Serialize};

/// Why a prompt was not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutOff {
    /// What its VM should do.
    pub action: Action,
    /// Prompts in line before it.
    pub before: u32,
    /// Expected time until its turn, in milliseconds.
    pub turn_ms: u32,
}

/// What becomes of a prompt that was not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// It waits and asks again after this many milliseconds.
    Wait(u32),
    /// It is refused, and its caller should return after this many milliseconds.
    Refuse(u32),
}
