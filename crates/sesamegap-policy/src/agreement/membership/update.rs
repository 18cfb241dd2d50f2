//! What processes tell each other of third ones.

use crate::agreement::Holder;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What is believed of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// It answers.
    Alive,
    /// It has said that it stops; it must not be named to callers.
    Leaving,
    /// It did not answer and has not refuted that yet.
    Suspect,
    /// It is gone.
    Dead,
}

/// One process as another believes it to be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The process.
    pub who: Holder,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Raised by the process itself, whenever it has something to say of itself.
    pub version: u32,
    /// What is believed.
    pub status: Status,
}

impl MemberUpdate {
    /// Whether this replaces `other`, which is of the same VM.
    ///
    /// A newer life wins, then the process's own newer word, then the graver belief: so all who
    /// have heard the same pieces believe the same, whatever the order in which they came.
    pub fn replaces(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    fn rank(&self) -> (u64, u32, Status) {
        (self.who.incarnation.0, self.version, self.status)
    }
}
