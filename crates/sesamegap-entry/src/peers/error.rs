//! Why a peer sent no reply.

use std::fmt;

/// Why a peer sent no reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerError {
    /// Its release knows no such request.
    Unknown,
    /// No reply came within the time limit; it may still come.
    Late,
    /// The call failed.
    Failed(String),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown => f.write_str("the peer's release knows no such request"),
            Self::Late => f.write_str("no reply in time"),
            Self::Failed(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for PeerError {}

impl PeerError {
    /// The failure of a call.
    pub(super) fn failed(error: impl fmt::Display) -> Self {
        Self::Failed(error.to_string())
    }
}
