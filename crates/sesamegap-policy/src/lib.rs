//! Decisions of sesamegap as pure code, without sockets or clocks.
//!
//! A router gives each request to its [`Decider`], which admits, queues, places or refuses it.
//! [`placing`] knows which engine holds which prefix and picks the engine, [`load`] holds queues,
//! limits and budgets, [`shifting`] decides which engine holds which model, and [`agreement`] the
//! rules by which processes agree through the platform's log. Time and randomness are arguments
//! everywhere, so that a test or the measuring driver can run any hour in a moment.

pub mod agreement;
pub mod decider;
pub mod load;
pub mod placing;
pub mod quarantine;
pub mod routing;
pub mod shifting;

pub use decider::{Decider, DeciderBuilder, Decision, Observation, Refusal, RefusalCode, Work};
pub use placing::{Need, Placement, PlacementOutcome, PlacementRequest, Placer, Room};
