//! Updates on the state of members, which processes exchange.

use crate::agreement::ProcessId;
use serde::{Deserialize, Serialize};
use sesamegap_wire::VmId;
use std::net::SocketAddr;
use std::time::Duration;

/// State of a process as another process sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// The process answers probes.
    Alive,
    /// The process announced that it is stopping; callers must not be directed to it.
    Leaving,
    /// The process did not answer a probe and has not refuted the suspicion yet.
    Suspect,
    /// The process is considered gone.
    Dead,
}

/// State of one process, as exchanged between peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The process described.
    pub who: ProcessId,
    /// Address on which the process listens.
    pub addr: SocketAddr,
    /// Incremented only by the process itself, when it changes its status or refutes a suspicion.
    pub version: u32,
    /// Status of the process.
    pub status: Status,
}

/// Change of a peer's status in a process's view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatusChange {
    /// The peer's VM.
    pub vm: VmId,
    /// Its former status; unset if it was unknown.
    pub former: Option<Status>,
    /// Its status now.
    pub status: Status,
    /// How long it had the former status.
    pub lasted: Duration,
}

impl MemberUpdate {
    /// Whether this update supersedes `other`, which is for the same VM.
    ///
    /// The newer incarnation wins, then the higher version, then the more severe status. Peers that
    /// received the same updates therefore agree, regardless of the order of arrival.
    pub fn replaces(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    fn precedence(&self) -> (u64, u32, Status) {
        (self.who.incarnation.0, self.version, self.status)
    }
}
