//! The one error of this crate, which says whether the work may have run.

use serde::{Deserialize, Serialize};
use std::error::Error;
use std::fmt;

/// Whether a request that failed was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// Certainly not: nothing was written, or the upstream itself said so.
    No,
    /// Nobody can tell.
    Unknown,
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::No => "no",
            Self::Unknown => "unknown",
        })
    }
}

/// What went wrong with an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// No connection.
    Unreached,
    /// The connection went mute or broke after something was written.
    Broken,
    /// The engine has another incarnation than the dispatch named.
    Incarnation,
    /// The engine holds other weights than asked for.
    Weights,
    /// The upstream is leaving and takes no new work.
    Leaving,
    /// The upstream is full.
    Busy,
    /// The upstream knows nothing of the request, or holds it no longer.
    Forgotten,
    /// The answer names another request; its connection must not be used again.
    Crossed,
    /// The upstream refused the request itself.
    Refused,
}

/// A call to an upstream that failed.
#[derive(Debug, Clone)]
pub struct UpstreamError {
    fault: Fault,
    ran: Ran,
    detail: String,
}

impl UpstreamError {
    /// Records what went wrong, whether the work may have run, and the cause in words.
    pub fn new(fault: Fault, ran: Ran, detail: impl Into<String>) -> Self {
        Self {
            fault,
            ran,
            detail: detail.into(),
        }
    }

    /// What went wrong.
    pub fn fault(&self) -> Fault {
        self.fault
    }

    /// Whether the work may have run.
    pub fn ran(&self) -> Ran {
        self.ran
    }
}

impl fmt::Display for UpstreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "upstream failed ({:?}, ran: {}): {}",
            self.fault, self.ran, self.detail
        )
    }
}

impl Error for UpstreamError {}
