//! Messages between VMs about requests that crash upstreams.

use serde::{Deserialize, Serialize};
use sesamegap_policy::quarantine::{Crash, Grant, Record};
use sesamegap_wire::Fingerprint;

/// A message between entry VMs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// Reports from a VM to the coordinator and its replicas.
    Reports(Vec<Report>),
    /// Records, broadcast by the coordinator or gossiped by any VM.
    Records(Vec<Record>),
    /// Asks the coordinator whether a suspect may run.
    Ask(TrialRequest),
    /// The coordinator's response.
    Answer(TrialResponse),
}

/// Report of one event of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// An upstream crashed while it ran the request.
    Crashed {
        /// The request.
        request: Fingerprint,
        /// The crash.
        crash: Crash,
    },
    /// The request completed.
    Completed {
        /// The request.
        request: Fingerprint,
        /// Epoch of the request's record, which increases each time the request is cleared.
        epoch: u32,
    },
    /// The trial of the request ended, with any outcome.
    Released {
        /// The request.
        request: Fingerprint,
    },
}

/// Request to the coordinator for permission to run a suspect.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TrialRequest {
    /// Number by which the sender matches the response.
    pub number: u64,
    /// The sender's record of the request.
    pub record: Record,
    /// Remaining time until the request's deadline, in milliseconds.
    pub left_ms: u32,
}

/// Response to a [`TrialRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TrialResponse {
    /// Number of the trial request.
    pub number: u64,
    /// The decision.
    pub grant: Grant,
    /// The coordinator's record of the request.
    pub record: Option<Record>,
}
