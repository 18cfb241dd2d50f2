//! Decision logic of sesamegap, without I/O or clocks.
//!
//! A router passes each request to its [`Decider`], which admits, queues, places or refuses it.
//! [`placing`] tracks which engine caches which prefix and picks the engine, [`load`] has queues,
//! limits and budgets, [`shifting`] decides which engine loads which model, [`quarantine`]
//! restricts requests that crash upstreams, [`quota`] enforces rate limits of teams over all entry
//! VMs, [`resumption`] finds the software version at which a stream goes on, and [`agreement`] has the
//! rules by which processes agree through the platform's log. Time and randomness are always passed as arguments, so that
//! tests and the measuring driver can simulate hours of traffic quickly.

pub mod admission;
pub mod agreement;
pub mod decider;
pub mod load;
pub mod placing;
pub mod quarantine;
pub mod quota;
pub mod resumption;
pub mod routing;
pub mod shifting;

pub use decider::{Decider, DeciderBuilder, Decision, Observation, Refusal, RefusalCode, Work};
pub use placing::{Need, Placement, PlacementOutcome, PlacementRequest, Placer, Room};
