//! Whether the router serves, is leaving, or refuses.
//!
//! A planned stop goes through all three: callers keep an address for its time to live, so a
//! leaving router must serve for so long; only then does it refuse, naming other addresses.

use std::fmt;
use tokio::sync::watch;

/// Where a router stands between start and stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Takes requests.
    Serving,
    /// Takes requests, but is named to no new caller.
    Leaving,
    /// Refuses new requests and finishes those in flight.
    Refusing,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Refusing => "refusing",
        })
    }
}

/// The present phase, which only moves forward.
#[derive(Debug)]
pub struct Phases(watch::Sender<Phase>);

impl Default for Phases {
    fn default() -> Self {
        Self(watch::Sender::new(Phase::Serving))
    }
}

impl Phases {
    /// The present phase.
    pub fn now(&self) -> Phase {
        *self.0.borrow()
    }

    /// Moves on to a phase, never back.
    pub fn enter(&self, phase: Phase) {
        self.0.send_if_modified(|now| {
            let moved = phase > *now;
            *now = phase.max(*now);
            moved
        });
    }
}
