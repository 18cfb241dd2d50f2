//! The error type of this crate, which states whether the request may have run.

use serde::{Deserialize, Serialize};
use std::error::Error;
use std::fmt;

/// Whether a failed request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It did not run: nothing was sent, or the upstream said so.
    No,
    /// It may have run.
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

/// Why a call to an upstream failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// No connection was established.
    Unreached,
    /// The connection timed out or broke after the request may have been sent, or the response was
    /// invalid.
    Broken,
    /// The engine's incarnation is not the one named in the dispatch.
    Incarnation,
    /// The engine holds other weights than requested.
    Weights,
    /// The upstream is leaving and accepts no new requests.
    Leaving,
    /// The upstream is at capacity.
    Busy,
    /// The upstream does not know the request, or no longer keeps it.
    Forgotten,
    /// The response belongs to another request or attempt; its connection must not be reused.
    Crossed,
    /// The upstream rejected the request itself, or the request could not be built.
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
    /// Creates an error from its kind, whether the request may have run, and a description.
    pub fn new(fault: Fault, ran: Ran, detail: impl Into<String>) -> Self {
        Self {
            fault,
            ran,
            detail: detail.into(),
        }
    }

    /// Why the call failed.
    pub fn fault(&self) -> Fault {
        self.fault
    }

    /// Whether the request may have run.
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
